// Package target implements the HTTP client by which an agent runs tasks on its target, the
// back end beside it.
package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Request headers that carry the department, owner and kind of a task to the target.
const (
	HeaderDepartment = "Rosemarybay-Department"
	HeaderOwner      = "Rosemarybay-Owner"
	HeaderKind       = "Rosemarybay-Kind"
)

// MaxOutputBytes is the size limit of a task's output.
const MaxOutputBytes = 256 << 10

const dialTimeout = time.Second

// Client sends tasks to one target. It is safe for concurrent use.
type Client struct {
	url    string
	client *http.Client
}

// New returns a client for the target at url that opens at most maxConnections connections.
func New(url string, maxConnections int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		url: url,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     maxConnections,
				MaxIdleConnsPerHost: maxConnections,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run runs one task on the target and returns its output. The verdict of the error states
// whether the task may have run. The request is sent at most once: its method is not
// idempotent and its body cannot be rewound, so net/http never resends it.
func (c *Client) Run(ctx context.Context, department, owner string, task *apiv1.Task) ([]byte, *verdict.Error) {
	body := io.NopCloser(bytes.NewReader(task.GetPayload()))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, body)
	if err != nil {
		return nil, verdict.NotRunError(apiv1.Reason_REASON_INTERNAL, "%v", err)
	}
	request.ContentLength = int64(len(task.GetPayload()))
	request.Header.Set(HeaderDepartment, department)
	request.Header.Set(HeaderOwner, owner)
	request.Header.Set(HeaderKind, task.GetKind())
	response, err := c.client.Do(request)
	if err != nil {
		return nil, requestError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	output, err := io.ReadAll(io.LimitReader(response.Body, MaxOutputBytes+1))
	switch {
	case response.StatusCode != http.StatusOK:
		return nil, statusError(response.StatusCode)
	case err != nil:
		return nil, verdict.New(verdict.Ran, reasonOf(ctx), "read output: %v", err)
	case len(output) > MaxOutputBytes:
		return nil, verdict.New(verdict.Ran, apiv1.Reason_REASON_TARGET_FAILED, "output exceeds %d bytes", MaxOutputBytes)
	}
	return output, nil
}

// proofOfStatus returns what the status of a response proves about the task. Only the target
// itself answers with 500 or refuses the task by a 4xx; overload and what stands in front of
// the target say nothing about the task.
func proofOfStatus(code int) verdict.Proof {
	switch {
	case code == http.StatusOK, code == http.StatusInternalServerError:
		return verdict.ProvesExecuted
	case code == http.StatusTooManyRequests:
		return verdict.ProvesNothing
	case code >= 400 && code < 500:
		return verdict.ProvesExecuted
	default:
		return verdict.ProvesNothing
	}
}

// statusError returns the error for a response with a status other than 200.
func statusError(code int) *verdict.Error {
	var tries verdict.Tries
	v := tries.Record(proofOfStatus(code))
	reason := apiv1.Reason_REASON_TARGET_FAILED
	if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
		reason = apiv1.Reason_REASON_TARGET_FULL
	}
	return verdict.New(v, reason, "target answered %d", code)
}

// requestError returns the error for a request without a response. Only a failed dial proves
// that the task has not run.
func requestError(ctx context.Context, err error) *verdict.Error {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, apiv1.Reason_REASON_TARGET_FAILED, "%v", err)
	}
	return verdict.New(verdict.MayHaveRun, reasonOf(ctx), "%v", err)
}

// reasonOf distinguishes a failure caused by the cancellation of ctx from a failure of the
// target.
func reasonOf(ctx context.Context) verdict.Reason {
	if ctx.Err() != nil {
		return apiv1.Reason_REASON_CANCELLED
	}
	return apiv1.Reason_REASON_TARGET_FAILED
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

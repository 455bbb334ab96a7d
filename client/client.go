// Package client submits jobs to a fleet. It fetches tickets in batches, so
// that a submission costs one round trip, and resubmits a job under its own
// ticket, which never starts a task twice.
package client

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Error is a refusal or failure. Its Verdict says whether the request may have
// run.
type Error = verdict.Error

// Verdict says whether a request may have run.
type Verdict = apiv1.Verdict

// The verdicts.
const (
	NotRun     = verdict.NotRun
	MayHaveRun = verdict.MayHaveRun
	Ran        = verdict.Ran
)

const (
	// ticketBatch is the number of tickets fetched at once.
	ticketBatch = 64
	// expiryMargin keeps a ticket from being used shortly before it expires.
	expiryMargin = time.Minute
)

// Config configures a Client.
type Config struct {
	// URL is the address of an entry or of the balancer before the entries.
	URL string
	// Department and Owner identify the caller.
	Department string
	Owner      string
	// HTTP carries the requests; nil uses a client of its own.
	HTTP *http.Client
}

// Client submits jobs of one owner. It is safe for concurrent use.
type Client struct {
	config Config
	jobs   apiv1connect.JobServiceClient

	mu      sync.Mutex
	tickets [][]byte
	expires time.Time
}

// maxIdleConns is the number of connections kept open between calls.
const maxIdleConns = 64

// maxIdleTime is less than the time after which an entry cuts an idle
// connection, so that no request meets the cut.
const maxIdleTime = time.Minute

// New returns a client. It makes no call.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: maxIdleTime}}
	}
	return &Client{config: c, jobs: apiv1connect.NewJobServiceClient(c.HTTP, c.URL)}
}

// Job is what a caller asks for.
type Job struct {
	Label    string
	Deadline time.Duration
	Tasks    []*apiv1.Task
}

// Ticket returns a submission ID, from the batch fetched before if one is left.
// Errors are NotRun.
func (c *Client) Ticket(ctx context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 || time.Now().After(c.expires) {
		if err := c.fetchTickets(ctx); err != nil {
			return nil, err
		}
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

func (c *Client) fetchTickets(ctx context.Context) error {
	response, err := c.jobs.IssueTickets(ctx, connect.NewRequest(&apiv1.IssueTicketsRequest{
		Department: c.config.Department,
		Owner:      c.config.Owner,
		Count:      ticketBatch,
	}))
	if err != nil {
		e := *verdict.FromError(err)
		e.Verdict = NotRun
		return &e
	}
	lifetime := time.Duration(response.Msg.GetExpiresInMs()) * time.Millisecond
	c.tickets = response.Msg.GetTickets()
	c.expires = time.Now().Add(lifetime - min(expiryMargin, lifetime/2))
	return nil
}

// Submit runs a job under a new ticket and waits for its answer.
func (c *Client) Submit(ctx context.Context, j Job) (*apiv1.Answer, error) {
	ticket, err := c.Ticket(ctx)
	if err != nil {
		return nil, err
	}
	return c.Resubmit(ctx, ticket, j)
}

// Resubmit submits a job under a ticket that may have been used for it before,
// and waits for its answer. An answer that failed is returned as an *Error.
func (c *Client) Resubmit(ctx context.Context, ticket []byte, j Job) (*apiv1.Answer, error) {
	response, err := c.jobs.Submit(ctx, connect.NewRequest(c.request(ticket, j)))
	if err != nil {
		e := verdict.FromError(err)
		if e.Reason == apiv1.Reason_REASON_HOME_LOST {
			c.Discard(ticket)
		}
		return nil, e
	}
	answer, err := check(response.Msg.GetAnswer())
	if answer.GetFailure().GetReason() == apiv1.Reason_REASON_HOME_LOST {
		c.Discard(ticket)
	}
	return answer, err
}

// Discard drops the fetched tickets that the same entry issued as the given one.
// It is used when that entry is lost, since a task that may not be repeated no
// longer runs under its tickets.
func (c *Client) Discard(lost []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = slices.DeleteFunc(c.tickets, func(t []byte) bool { return ticket.IsSameHome(t, lost) })
}

// Start submits a job without waiting for its answer.
func (c *Client) Start(ctx context.Context, ticket []byte, j Job) error {
	r := c.request(ticket, j)
	r.NoWait = true
	if _, err := c.jobs.Submit(ctx, connect.NewRequest(r)); err != nil {
		return verdict.FromError(err)
	}
	return nil
}

func (c *Client) request(ticket []byte, j Job) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
		Label:      j.Label,
		DeadlineMs: uint32(j.Deadline.Milliseconds()),
		Tasks:      j.Tasks,
	}
}

// Get returns a job's answer, waiting for it up to wait. The answer of a job in
// progress has the state running.
func (c *Client) Get(ctx context.Context, ticket []byte, wait time.Duration) (*apiv1.Answer, error) {
	response, err := c.jobs.GetJob(ctx, connect.NewRequest(&apiv1.GetJobRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
		WaitMs:     uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, verdict.FromError(err)
	}
	return check(response.Msg.GetAnswer())
}

// Cancel stops a job and returns its answer.
func (c *Client) Cancel(ctx context.Context, ticket []byte) (*apiv1.Answer, error) {
	response, err := c.jobs.CancelJob(ctx, connect.NewRequest(&apiv1.CancelJobRequest{
		Ticket:     ticket,
		Department: c.config.Department,
		Owner:      c.config.Owner,
	}))
	if err != nil {
		return nil, verdict.FromError(err)
	}
	return check(response.Msg.GetAnswer())
}

// check returns the error of a failed answer.
func check(a *apiv1.Answer) (*apiv1.Answer, error) {
	if f := a.GetFailure(); f != nil {
		return a, verdict.FromFailure(f)
	}
	return a, nil
}

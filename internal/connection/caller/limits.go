package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// CloseReason is the reason why the server closed a connection.
type CloseReason string

// Reasons for closing a connection.
const (
	// CloseReasonSlow: a request did not arrive completely, or the client did not read a
	// response, within the time limit.
	CloseReasonSlow CloseReason = "slow"
	// CloseReasonMalformed: the input is not valid HTTP or TLS, or exceeds the size limits.
	CloseReasonMalformed CloseReason = "malformed"
)

// closeReason classifies the error that ended a connection. It returns false if the caller
// or Close ended it.
func closeReason(err error) (CloseReason, bool) {
	var timeout net.Error
	var operation *net.OpError
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return "", false
	case errors.As(err, &timeout) && timeout.Timeout(), strings.Contains(err.Error(), "timeout"):
		return CloseReasonSlow, true
	case errors.As(err, &operation), strings.Contains(err.Error(), "connection reset"), strings.Contains(err.Error(), "broken pipe"):
		return "", false
	default:
		return CloseReasonMalformed, true
	}
}

// rateLimitRetryAfter is the retry delay sent to a connection that exceeds its rate limit.
const rateLimitRetryAfter = time.Second

// withLimits refuses requests that exceed the rate limit of their connection or the body
// size limit. It also adds the Failure detail to errors that the RPC library generates.
func (s *Server) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.allowRequest(engineConn(w)) {
			e := verdict.New(verdictOfUnreadRequest(r), apiv1.Reason_REASON_RATE_LIMIT, "more than %d requests a second on this connection", s.options.RequestsPerSecond)
			e.RetryAfter = rateLimitRetryAfter
			s.refuse(w, r, e)
			return
		}
		if r.ContentLength > MaxBodyBytes {
			s.refuse(w, r, verdict.New(verdictOfUnreadRequest(r), apiv1.Reason_REASON_INVALID_ARGUMENT, "body of %d bytes, the limit is %d", r.ContentLength, MaxBodyBytes))
			return
		}
		buffered := &errorResponseWriter{ResponseWriter: w}
		next.ServeHTTP(buffered, r)
		if message, ok := buffered.messageWithoutDetails(); ok {
			s.refuse(w, r, verdict.New(verdictOfUnreadRequest(r), apiv1.Reason_REASON_INVALID_ARGUMENT, "%s", message))
			return
		}
		buffered.flush()
	})
}

// methodsWithTicket lists the JobService methods whose requests carry a ticket.
var methodsWithTicket = []string{"/Submit", "/GetJob", "/CancelJob"}

// verdictOfUnreadRequest returns the verdict for a request that is refused before its body
// is decoded. If the method takes a ticket, an earlier request with the same ticket may
// have run.
func verdictOfUnreadRequest(r *http.Request) verdict.Verdict {
	for _, method := range methodsWithTicket {
		if strings.HasSuffix(r.URL.Path, method) {
			return verdict.MayHaveRun
		}
	}
	return verdict.NotRun
}

// refuse responds with e and reports its reason to Options.OnRefused.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	if s.options.OnRefused != nil {
		s.options.OnRefused(e.Reason)
	}
	w.Header().Del("Content-Encoding")
	writer := connect.NewErrorWriter()
	if writer.IsSupported(r) {
		_ = writer.Write(w, r, e.ToConnect())
		return
	}
	http.Error(w, e.Error(), http.StatusBadRequest)
}

// errorResponseWriter buffers the body of a response with status 400 or 415 until it is
// known whether it carries a Failure detail.
type errorResponseWriter struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (w *errorResponseWriter) WriteHeader(status int) {
	w.status = status
	if !w.isBuffered() {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *errorResponseWriter) Write(b []byte) (int, error) {
	if w.isBuffered() {
		return w.body.Write(b)
	}
	return w.ResponseWriter.Write(b)
}

func (w *errorResponseWriter) isBuffered() bool {
	return w.status == http.StatusBadRequest || w.status == http.StatusUnsupportedMediaType
}

// rpcError is the JSON encoding of an RPC library error.
type rpcError struct {
	Message string            `json:"message"`
	Details []json.RawMessage `json:"details"`
}

// messageWithoutDetails returns the message of an error response that carries no Failure
// detail. It returns false for any other response.
func (w *errorResponseWriter) messageWithoutDetails() (string, bool) {
	if !w.isBuffered() {
		return "", false
	}
	var e rpcError
	if err := json.Unmarshal(w.body.Bytes(), &e); err != nil {
		return http.StatusText(w.status), true
	}
	return e.Message, len(e.Details) == 0
}

// flush writes the buffered response, if any.
func (w *errorResponseWriter) flush() {
	if w.isBuffered() {
		w.ResponseWriter.WriteHeader(w.status)
		_, _ = w.ResponseWriter.Write(w.body.Bytes())
	}
}

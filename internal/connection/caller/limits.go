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

// Cut says why the server cut a connection.
type Cut string

// The reasons of a cut.
const (
	// CutSlow: no whole request arrived, or an answer was not taken, in time.
	CutSlow Cut = "slow"
	// CutMalformed: what arrived is not HTTP, or not TLS, or exceeds the limits.
	CutMalformed Cut = "malformed"
)

// cutOf classifies the error that ended a connection. An end by the caller, or
// by Close, is no cut.
func cutOf(err error) (Cut, bool) {
	var timeout net.Error
	var operation *net.OpError
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return "", false
	case errors.As(err, &timeout) && timeout.Timeout(), strings.Contains(err.Error(), "timeout"):
		return CutSlow, true
	case errors.As(err, &operation), strings.Contains(err.Error(), "connection reset"), strings.Contains(err.Error(), "broken pipe"):
		return "", false
	default:
		return CutMalformed, true
	}
}

// rateRetryAfter is when a connection above its rate should try again.
const rateRetryAfter = time.Second

// withLimits refuses requests above the rate of their connection or the size of
// a body, and gives errors of the RPC library the typed form of all others.
func (s *Server) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.allow(engineConn(w)) {
			e := verdict.New(unstartedVerdict(r), apiv1.Reason_REASON_RATE_LIMIT, "more than %d requests a second on this connection", s.options.Rate)
			e.RetryAfter = rateRetryAfter
			s.refuse(w, r, e)
			return
		}
		if r.ContentLength > MaxBodyBytes {
			s.refuse(w, r, verdict.New(unstartedVerdict(r), apiv1.Reason_REASON_INVALID_ARGUMENT, "body of %d bytes, the limit is %d", r.ContentLength, MaxBodyBytes))
			return
		}
		typed := &typedWriter{ResponseWriter: w}
		next.ServeHTTP(typed, r)
		if message, ok := typed.untyped(); ok {
			s.refuse(w, r, verdict.New(unstartedVerdict(r), apiv1.Reason_REASON_INVALID_ARGUMENT, "%s", message))
			return
		}
		typed.flush()
	})
}

// ticketedCalls are the methods of JobService whose requests name a ticket.
var ticketedCalls = []string{"/Submit", "/GetJob", "/CancelJob"}

// unstartedVerdict returns the verdict of a request that is refused unread. An
// earlier request with the same ticket may have run.
func unstartedVerdict(r *http.Request) verdict.Verdict {
	for _, call := range ticketedCalls {
		if strings.HasSuffix(r.URL.Path, call) {
			return verdict.MayHaveRun
		}
	}
	return verdict.NotRun
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, e *verdict.Error) {
	if s.options.Refused != nil {
		s.options.Refused(e.Reason)
	}
	w.Header().Del("Content-Encoding")
	writer := connect.NewErrorWriter()
	if writer.IsSupported(r) {
		_ = writer.Write(w, r, e.ToConnect())
		return
	}
	http.Error(w, e.Error(), http.StatusBadRequest)
}

// typedWriter holds back the body of a bad-request answer until it is known
// whether it carries a Failure.
type typedWriter struct {
	http.ResponseWriter
	status int
	held   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (w *typedWriter) WriteHeader(status int) {
	w.status = status
	if !w.isHeld() {
		w.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (w *typedWriter) Write(b []byte) (int, error) {
	if w.isHeld() {
		return w.held.Write(b)
	}
	return w.ResponseWriter.Write(b)
}

func (w *typedWriter) isHeld() bool {
	return w.status == http.StatusBadRequest || w.status == http.StatusUnsupportedMediaType
}

// rpcError is the JSON form of an error of the RPC library.
type rpcError struct {
	Message string            `json:"message"`
	Details []json.RawMessage `json:"details"`
}

// untyped returns the message of an error answer without a Failure.
func (w *typedWriter) untyped() (string, bool) {
	if !w.isHeld() {
		return "", false
	}
	var e rpcError
	if err := json.Unmarshal(w.held.Bytes(), &e); err != nil {
		return http.StatusText(w.status), true
	}
	return e.Message, len(e.Details) == 0
}

func (w *typedWriter) flush() {
	if w.isHeld() {
		w.ResponseWriter.WriteHeader(w.status)
		_, _ = w.ResponseWriter.Write(w.held.Bytes())
	}
}

package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	failed = apiv1.Reason_REASON_TARGET_FAILED
	full   = apiv1.Reason_REASON_TARGET_FULL
)

func answer(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// cutBody sends the header of a response and breaks off within the body.
func cutBody(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.WriteHeader(code)
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func breakOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a lost connection only after the body
	<-r.Context().Done()
}

// Only a failed dial proves that a task has not run, and only the target's own answer to the
// task that it has.
func TestAnswerOfTargetProvesNoMoreThanItSays(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc // nil for a target that does not listen
		want    verdict.Verdict  // 0 for success
		reason  verdict.Reason
	}{
		{"not listening", nil, verdict.NotRun, failed},
		{"200", answer(http.StatusOK), 0, 0},
		{"200, body cut", cutBody(http.StatusOK), verdict.Ran, failed},
		{"500", answer(http.StatusInternalServerError), verdict.Ran, failed},
		{"500, body cut", cutBody(http.StatusInternalServerError), verdict.Ran, failed},
		{"400", answer(http.StatusBadRequest), verdict.Ran, failed},
		{"429", answer(http.StatusTooManyRequests), verdict.MayHaveRun, full},
		{"503", answer(http.StatusServiceUnavailable), verdict.MayHaveRun, full},
		{"503, body cut", cutBody(http.StatusServiceUnavailable), verdict.MayHaveRun, full},
		{"502", answer(http.StatusBadGateway), verdict.MayHaveRun, failed},
		{"504", answer(http.StatusGatewayTimeout), verdict.MayHaveRun, failed},
		{"broken off", breakOff, verdict.MayHaveRun, failed},
		{"reset", reset, verdict.MayHaveRun, failed},
		{"no answer", hang, verdict.MayHaveRun, apiv1.Reason_REASON_CANCELLED},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.handler(w, r)
			}))
			t.Cleanup(server.Close)
			if c.handler == nil {
				server.Close()
			}
			client := New(server.URL, 1)
			t.Cleanup(client.Close)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := client.Run(ctx, "desk", "mama", &apiv1.Task{Payload: []byte("{}")})
			if c.want == 0 {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || err.Verdict != c.want || err.Reason != c.reason || calls.Load() > 1 {
				t.Errorf("got %v after %d calls, want %s: %s", err, calls.Load(), verdict.Name(c.want), verdict.ReasonName(c.reason))
			}
		})
	}
}

// A status without a class proves nothing.
func TestEachStatusHasAProof(t *testing.T) {
	const first, last = 100, 599
	ownAnswer := func(code int) bool {
		switch code {
		case http.StatusOK, http.StatusInternalServerError:
			return true
		default:
			return code >= 400 && code < 500 && code != http.StatusTooManyRequests
		}
	}
	for code := first; code <= last; code++ {
		want := verdict.ProvesNothing
		if ownAnswer(code) {
			want = verdict.ProvesExecuted
		}
		if got := proofOfStatus(code); got != want {
			t.Errorf("status %d proves %v, want %v", code, got, want)
		}
	}
}

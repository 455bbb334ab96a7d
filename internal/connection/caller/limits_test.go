package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// closeCounter counts the connections that the server closed, by reason.
type closeCounter struct {
	mu     sync.Mutex
	counts map[CloseReason]int
}

func (c *closeCounter) add(reason CloseReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[CloseReason]int)
	}
	c.counts[reason]++
}

// wait waits until at least n connections were closed for the given reason.
func (c *closeCounter) wait(t *testing.T, reason CloseReason, n int) {
	t.Helper()
	for range 500 {
		c.mu.Lock()
		count := c.counts[reason]
		c.mu.Unlock()
		if count >= n {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("closed connections by reason: %v, want %d %s", c.counts, n, reason)
}

// waitClosed reads until the server closes the connection.
func waitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("connection is still open")
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A connection that does not send a complete request within the idle time is closed. One
// that waits longer than that for its response is not.
func TestSlowConnectionsAreClosed(t *testing.T) {
	const idle = 500 * time.Millisecond
	var closed closeCounter
	address := listen(t, Options{IdleTimeout: idle, OnClose: closed.add, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * idle)
		_, _ = io.WriteString(w, "whole")
	})})
	slow := []net.Conn{dial(t, address), dial(t, address), dial(t, address)}
	_, _ = io.WriteString(slow[1], "POST / HT")
	_, _ = io.WriteString(slow[2], "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")
	response, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if string(body) != "whole" {
		t.Errorf("response body %q, error %v", body, err)
	}
	for _, conn := range slow {
		waitClosed(t, conn)
	}
	closed.wait(t, CloseReasonSlow, len(slow))
}

// Random bytes close the connection that sent them and are closed; other connections
// are not affected.
func TestMalformedConnectionsAreClosed(t *testing.T) {
	keys, client := httpsKeys(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	for scheme, o := range map[string]Options{
		"http":  {Handler: handler},
		"https": {Handler: handler, Keys: keys},
	} {
		t.Run(scheme, func(t *testing.T) {
			var closed closeCounter
			o.OnClose = closed.add
			address := listen(t, o)
			random := rand.NewChaCha8([32]byte{1})
			const connections = 20
			for range connections {
				conn := dial(t, address)
				garbage := make([]byte, 4<<10)
				_, _ = random.Read(garbage)
				garbage[0] = 0 // neither an HTTP method nor a TLS record
				_, _ = conn.Write(garbage)
				waitClosed(t, conn)
			}
			closed.wait(t, CloseReasonMalformed, connections)
			response, err := client.Get(scheme + "://" + address)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		})
	}
}

func TestRefusedRequestsCarryFailureDetail(t *testing.T) {
	var mu sync.Mutex
	var refused []verdict.Reason
	address := listen(t, Options{Handler: errorsWithoutDetails(), OnRefused: func(reason verdict.Reason) {
		mu.Lock()
		defer mu.Unlock()
		refused = append(refused, reason)
	}})
	const oversized = MaxBodyBytes + 1
	for _, c := range []struct {
		path, body string
		reason     verdict.Reason
		verdict    verdict.Verdict
	}{
		{"/x/Submit", "{", apiv1.Reason_REASON_INVALID_ARGUMENT, verdict.MayHaveRun},
		{"/x/Change", "{", apiv1.Reason_REASON_INVALID_ARGUMENT, verdict.NotRun},
		{"/x/Submit", strings.Repeat(" ", oversized), apiv1.Reason_REASON_INVALID_ARGUMENT, verdict.MayHaveRun},
	} {
		got := post(t, address, c.path, c.body)
		if !strings.Contains(got, verdict.Name(c.verdict)+": "+verdict.ReasonName(c.reason)) || !strings.Contains(got, "rosemarybay.v1.Failure") {
			t.Errorf("%s: response %s", c.path, got)
		}
		mu.Lock()
		if n := len(refused); n == 0 || refused[n-1] != c.reason {
			t.Errorf("%s: refusals counted: %v", c.path, refused)
		}
		mu.Unlock()
	}
}

// Requests above the rate limit of one connection are refused; another connection is not
// affected.
func TestRateLimitIsPerConnection(t *testing.T) {
	var refused atomic.Int32
	address := listen(t, Options{RequestsPerSecond: 1, Handler: errorsWithoutDetails(), OnRefused: func(reason verdict.Reason) {
		if reason == apiv1.Reason_REASON_RATE_LIMIT {
			refused.Add(1)
		}
	}})
	const tries = 100
	for range tries {
		if got := post(t, address, "/x/Submit", "{"); strings.Contains(got, "may_have_run: rate_limit") {
			break
		}
	}
	if refused.Load() != 1 {
		t.Errorf("%d refusals counted, want 1", refused.Load())
	}
	http.DefaultClient.CloseIdleConnections()
	if got := post(t, address, "/x/Submit", "{"); strings.Contains(got, "rate_limit") {
		t.Errorf("first request of another connection: %s", got)
	}
}

// errorsWithoutDetails responds as the RPC library does to a body that it cannot decode.
func errorsWithoutDetails() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeInvalidArgument, errors.New("unmarshal message")))
	})
}

func post(t *testing.T, address, path, body string) string {
	t.Helper()
	response, err := http.Post(fmt.Sprintf("http://%s%s", address, path), "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got bytes.Buffer
	_, _ = got.ReadFrom(response.Body)
	return got.String()
}

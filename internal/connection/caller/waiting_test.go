package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestConnectionsOutOfMemoryAreClosedWithoutAnswer guards against an answer that promises that a job has
// not run: the request may be a repeated one whose job runs.
func TestConnectionsOutOfMemoryAreClosedWithoutAnswer(t *testing.T) {
	var closed closures
	intake := NewIntake(IntakeOptions{Bytes: 64 << 10, OnClose: closed.record})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.NotFoundHandler()})
	large, small := openConn(t, address), openConn(t, address)
	send(t, small, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
	send(t, large, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 90_000))
	if b, err := io.ReadAll(large); len(b) > 0 {
		t.Errorf("the largest request got %q (%v), expected no answer", b, err)
	}
	if n := closed.count(IntakeReasonMemory); n != 1 {
		t.Errorf("%d connections closed for memory, expected 1", n)
	}
	send(t, small, "67890")
	if got := answer(small); got != http.StatusNotFound {
		t.Errorf("the small request got %d", got)
	}
}

// TestRequestsWaitForMemory guards against large requests that together take more than the budget, and
// against small ones that wait behind them.
func TestRequestsWaitForMemory(t *testing.T) {
	release := make(chan struct{})
	var large, most atomic.Int64
	intake := NewIntake(IntakeOptions{Bytes: 400 << 10})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			most.Store(max(most.Load(), large.Add(1)))
			<-release
			large.Add(-1)
		}
	})})
	const requests = 5
	conns := make([]net.Conn, requests)
	for i := range conns {
		conns[i] = openConn(t, address)
		send(t, conns[i], "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000))
	}
	await(t, "a large request runs", func() bool { return large.Load() > 0 })
	ordinary := openConn(t, address)
	send(t, ordinary, get)
	if got := answer(ordinary); got != http.StatusOK {
		t.Errorf("the ordinary request got %d", got)
	}
	close(release)
	for i, conn := range conns {
		if got := answer(conn); got != http.StatusOK {
			t.Errorf("large request %d got %d", i, got)
		}
	}
	if most.Load() > 2 {
		t.Errorf("%d large requests ran at the same time, expected 2 at most", most.Load())
	}
}

// TestUnfinishedRequestsLeaveMemoryToSmallOnes guards against unfinished requests, each of them small, that
// take the whole budget, so that a request waits for memory that nobody releases.
func TestUnfinishedRequestsLeaveMemoryToSmallOnes(t *testing.T) {
	const budget = 400 << 10
	intake := NewIntake(IntakeOptions{Bytes: budget})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.NotFoundHandler()})
	for range 100 {
		conn := openConn(t, address)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n"+strings.Repeat("x", 4000))
	}
	await(t, "the budget is in use", func() bool { return intake.usedBytes() > budget/2 })
	for i := range 5 {
		ordinary := openConn(t, address)
		send(t, ordinary, get)
		if got := answer(ordinary); got != http.StatusNotFound {
			t.Fatalf("ordinary request %d got %d", i, got)
		}
	}
}

// TestLongRequestsLeaveMemoryToSmallOnes guards against small requests that together take the whole budget
// for as long as their senders choose. Younger ones stay: a burst of ordinary requests ends by itself.
func TestLongRequestsLeaveMemoryToSmallOnes(t *testing.T) {
	for age, closes := range map[time.Duration]bool{longRequest / 2: false, 2 * longRequest: true} {
		in := NewIntake(IntakeOptions{Bytes: 100 << 10})
		s := &Server{}
		var oldest *inbound
		for i := range 10 {
			c := &inbound{server: s, running: true, startedAt: time.Now().Add(-age - time.Duration(i)*time.Millisecond)}
			in.conns[c] = struct{}{}
			in.setUsageLocked(c, usage{running: 10 << 10})
			oldest = c
		}
		waiting := &inbound{server: s, queue: []*message{{weight: 10 << 10}}}
		in.conns[waiting] = struct{}{}
		var a actions
		in.offerLocked(waiting, &a)
		if closed := len(a.closures) == 1 && a.closures[0].c == oldest; closed != closes {
			t.Errorf("after %v %d connections were closed, the oldest: %v", age, len(a.closures), closed)
		}
	}
}

// TestEndedConnectionsDoNotWait guards against a list of connections that wait for memory, which grows with
// each one that ends meanwhile.
func TestEndedConnectionsDoNotWait(t *testing.T) {
	in := NewIntake(IntakeOptions{Bytes: 100 << 10})
	in.used, in.large = 100<<10, 1
	s := &Server{}
	for i := range 10 {
		c := &inbound{server: s}
		in.conns[c] = struct{}{}
		in.received(c, []*message{{weight: 10<<10 + i%2*smallRequest}}, 0, nil)
		if !c.waiting {
			t.Fatal("the request does not wait")
		}
		in.closed(c)
	}
	if n := len(in.smallWaiting) + len(in.largeWaiting); n != 0 || s.OpenRequests() != 0 {
		t.Errorf("%d connections wait, %d requests are open", n, s.OpenRequests())
	}
}

// TestLargestRequestRunsAlone guards against a budget below the largest request, which then is never
// served.
func TestLargestRequestRunsAlone(t *testing.T) {
	intake := NewIntake(IntakeOptions{Bytes: 100 << 10})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.NotFoundHandler()})
	conn := openConn(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"+strings.Repeat("x", 90_000))
	if got := answer(conn); got != http.StatusNotFound {
		t.Errorf("got %d", got)
	}
}

// TestHandlerIsRefusedMemory guards against handlers whose requests become larger than the budget.
func TestHandlerIsRefusedMemory(t *testing.T) {
	intake := NewIntake(IntakeOptions{Bytes: 1 << 20})
	release := make(chan struct{})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		if !Resize(r.Context(), size) {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		<-release
	})})
	request := func(size int) net.Conn {
		conn := openConn(t, address)
		send(t, conn, fmt.Sprintf("GET /?size=%d HTTP/1.1\r\nHost: a\r\n\r\n", size))
		return conn
	}
	first := request(600 << 10)
	await(t, "the first request has its memory", func() bool { return intake.usedBytes() == 600<<10 })
	if got := answer(request(300 << 10)); got != http.StatusGatewayTimeout {
		t.Errorf("the second large request got %d, expected 504", got)
	}
	small := request(10 << 10)
	close(release)
	if got := answer(small); got != http.StatusOK {
		t.Errorf("the small request got %d", got)
	}
	if got := answer(first); got != http.StatusOK {
		t.Errorf("the first request got %d", got)
	}
}

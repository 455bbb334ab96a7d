package caller

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// openConn opens a connection that is closed at the end of the test.
func openConn(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func send(t *testing.T, conn net.Conn, input string) {
	t.Helper()
	if _, err := io.WriteString(conn, input); err != nil {
		t.Fatal(err)
	}
}

// answer returns the status of the next response, or 0 if the connection ends without one.
func answer(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// await waits until holds returns true.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// used returns what the budget is charged with.
func (in *Intake) usedBytes() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.used
}

func (in *Intake) connections() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.conns)
}

func (in *Intake) queuedRequests() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := 0
	for c := range in.conns {
		n += len(c.queue)
	}
	return n
}

// closures counts the connections that an intake has closed.
type closures struct {
	mu       sync.Mutex
	byReason map[IntakeReason]int
}

func (c *closures) record(reason IntakeReason, _ net.Addr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = make(map[IntakeReason]int)
	}
	c.byReason[reason]++
}

func (c *closures) count(reason IntakeReason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byReason[reason]
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestRunningRequestsTakeWhatIsCharged guards against requests whose decoded form takes more memory than
// the budget is charged with: of a head of short fields, some forty times its bytes.
func TestRunningRequestsTakeWhatIsCharged(t *testing.T) {
	var fields strings.Builder
	for i := range 2000 {
		fields.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	for name, input := range map[string]string{
		"ordinary":     get,
		"short fields": "GET / HTTP/1.1\r\nHost: a\r\n" + fields.String() + "\r\n",
		"body":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("x", 30_000),
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 100
			release := make(chan struct{})
			var running atomic.Int64
			intake := NewIntake(IntakeOptions{})
			address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				running.Add(1)
				<-release
			})})
			conns := make([]net.Conn, requests)
			for i := range conns {
				conns[i] = openConn(t, address)
			}
			await(t, "all connections are open", func() bool { return intake.connections() == requests })
			before := heapBytes()
			for _, conn := range conns {
				send(t, conn, input)
			}
			await(t, "all requests run", func() bool { return running.Load() == requests })
			charged, taken := intake.usedBytes(), heapBytes()-before
			t.Logf("%d requests of %d bytes take %d each, charged with %d each", requests, len(input), taken/requests, charged/requests)
			if taken > charged {
				t.Errorf("%d requests take %d bytes and are charged with %d", requests, taken, charged)
			}
			close(release)
			await(t, "nothing is charged", func() bool { return intake.usedBytes() == 0 })
		})
	}
}

// TestQueuedRequestsHoldTheirBytes guards against decoded heads of requests that wait for their start: only
// their bytes are charged.
func TestQueuedRequestsHoldTheirBytes(t *testing.T) {
	const connections, queued = 50, 4
	var fields strings.Builder
	for i := range 2000 {
		fields.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	release := make(chan struct{})
	intake := NewIntake(IntakeOptions{})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })})
	input := "GET / HTTP/1.1\r\nHost: a\r\n" + fields.String() + "\r\n"
	conns := make([]net.Conn, connections)
	for i := range conns {
		conns[i] = openConn(t, address)
	}
	await(t, "all connections are open", func() bool { return intake.connections() == connections })
	before := heapBytes()
	for _, conn := range conns {
		send(t, conn, get)
		for range queued {
			send(t, conn, input)
		}
	}
	await(t, "all requests have arrived", func() bool { return intake.queuedRequests() == connections*queued })
	charged, taken := intake.usedBytes(), heapBytes()-before
	t.Logf("%d requests take %d bytes, charged with %d", connections*queued, taken, charged)
	if taken > charged {
		t.Errorf("%d requests take %d bytes, charged with %d", connections*queued, taken, charged)
	}
	close(release)
	await(t, "nothing is charged", func() bool { return intake.usedBytes() == 0 })
}

// TestIdleConnectionsTakeLittle guards against connections that take more memory than their number
// allows: they are not charged to the budget.
func TestIdleConnectionsTakeLittle(t *testing.T) {
	const connections = 200
	keys, client := httpsKeys(t)
	for name, c := range map[string]struct {
		keys  *Keys
		limit int
	}{
		"plain": {nil, 6 << 10},
		"TLS":   {keys, 40 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			intake := NewIntake(IntakeOptions{})
			address := listen(t, Options{Keys: c.keys, Intake: intake, NoLimits: true, Handler: http.NotFoundHandler()})
			config := client.Transport.(*http.Transport).TLSClientConfig.Clone()
			config.ServerName = "127.0.0.1"
			before := heapBytes()
			for range connections {
				conn := openConn(t, address)
				if c.keys != nil {
					conn = tls.Client(conn, config)
				}
				send(t, conn, get)
				if got := answer(conn); got != http.StatusNotFound {
					t.Fatalf("got %d", got)
				}
			}
			await(t, "nothing is charged", func() bool { return intake.usedBytes() == 0 })
			taken := heapBytes() - before
			t.Logf("a connection takes %d bytes, its client included", taken/connections)
			if taken/connections > c.limit {
				t.Errorf("a connection takes %d bytes, limit %d", taken/connections, c.limit)
			}
		})
	}
}

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

// TestUnreadResponsesAreBounded guards against clients that read no responses: each connection may hold
// one, and all together the budget.
func TestUnreadResponsesAreBounded(t *testing.T) {
	const budget, response = 8 << 20, 6 << 20
	var closed closures
	var calls atomic.Int64
	intake := NewIntake(IntakeOptions{Bytes: budget, OnClose: closed.record})
	address := listen(t, Options{Intake: intake, NoLimits: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write(make([]byte, response))
	})})
	first := openConn(t, address)
	send(t, first, get+get+get)
	await(t, "the first response is unread", func() bool { return intake.usedBytes() > 0 && calls.Load() == 1 })
	time.Sleep(50 * time.Millisecond)
	if n := calls.Load(); n != 1 {
		t.Errorf("%d requests were handled before the first response was read", n)
	}
	reader := bufio.NewReader(first)
	for i := range 3 {
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if n, _ := io.Copy(io.Discard, r.Body); n != response {
			t.Fatalf("response %d has %d bytes", i, n)
		}
	}
	await(t, "nothing is charged", func() bool { return intake.usedBytes() == 0 })
	for range 8 {
		send(t, openConn(t, address), get)
	}
	await(t, "connections are closed", func() bool { return closed.count(IntakeReasonMemory) > 0 })
	await(t, "the budget is kept", func() bool { return intake.usedBytes() <= budget })
}

// TestConnectionsToCloseForNewOnes guards against a crowd that keeps callers out: silent connections and
// those that send a byte now and then go first, then idle ones, then those that have been busy for longest.
func TestConnectionsToCloseForNewOnes(t *testing.T) {
	begun := time.Now()
	at := func(s int) time.Time { return begun.Add(time.Duration(s) * time.Second) }
	served := func(activeAt int) *inbound { return &inbound{served: true, activeAt: at(activeAt)} }
	unserved := func(openedAt int) *inbound { return &inbound{openedAt: at(openedAt), activeAt: at(openedAt)} }
	busy := func(startedAt int) *inbound { return &inbound{running: true, startedAt: at(startedAt)} }
	waiting := &inbound{server: &Server{}, queue: []*message{{}}, waiting: true, openedAt: at(0), startedAt: at(1)}
	old, fresh := unserved(1), unserved(9)
	idle, oldestIdle, longest := served(5), served(3), busy(2)
	for _, c := range []struct {
		name  string
		limit int
		conns []*inbound
		want  *inbound
	}{
		{"many without a request", 8, []*inbound{oldestIdle, idle, fresh, old, unserved(8)}, old},
		{"few without a request", 8, []*inbound{oldestIdle, idle, fresh, busy(0)}, oldestIdle},
		{"only one without a request", 8, []*inbound{fresh, longest}, fresh},
		{"one waits for memory", 4, []*inbound{waiting, idle, longest}, idle},
		{"all busy, one of them waiting", 2, []*inbound{waiting, longest}, waiting},
		{"all busy below the limit", 4, []*inbound{busy(7), longest}, nil},
		{"all busy at the limit", 2, []*inbound{busy(7), longest}, longest},
	} {
		in := NewIntake(IntakeOptions{Connections: c.limit})
		opened := unserved(10)
		in.conns[opened] = struct{}{}
		for _, conn := range c.conns {
			conn.closing = false
			in.conns[conn] = struct{}{}
		}
		var a actions
		in.closeOneLocked(opened, &a)
		var got *inbound
		if len(a.closures) > 0 {
			got = a.closures[0].c
		}
		if got != c.want {
			t.Errorf("%s: closed %+v, expected %+v", c.name, got, c.want)
		}
	}
}

// TestConnectionsGetInBesideBusyOnes guards against a limit of the engine that refuses new connections
// before the intake can close another one for them.
func TestConnectionsGetInBesideBusyOnes(t *testing.T) {
	const limit = 40
	intake := NewIntake(IntakeOptions{Connections: limit})
	var busy atomic.Int64
	address := listen(t, Options{Intake: intake, NoLimits: true, MaxConnections: limit, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			busy.Add(1)
			<-r.Context().Done()
			busy.Add(-1)
		}
	})})
	for range limit {
		send(t, openConn(t, address), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(10 * time.Millisecond) // the request runs then, or another one has been closed for it
	}
	await(t, "a caller is answered", func() bool {
		conn := openConn(t, address)
		_, err := io.WriteString(conn, get)
		return err == nil && answer(conn) == http.StatusOK
	})
}

// TestUnfinishedHandshakesAreBounded guards against handshakes that take memory without end.
func TestUnfinishedHandshakesAreBounded(t *testing.T) {
	keys, _ := httpsKeys(t)
	var closed closures
	intake := NewIntake(IntakeOptions{OnClose: closed.record})
	address := listen(t, Options{Keys: keys, Intake: intake, Handler: http.NotFoundHandler()})
	conn := openConn(t, address)
	message := append([]byte{1, 0, 0xff, 0xff}, make([]byte, 60_000)...)
	for len(message) > 0 {
		n := min(8<<10, len(message))
		if _, err := conn.Write(append([]byte{22, 3, 1, byte(n >> 8), byte(n)}, message[:n]...)); err != nil {
			break
		}
		message = message[n:]
		time.Sleep(time.Millisecond)
	}
	await(t, "the handshake is ended", func() bool { return closed.count(IntakeReasonHandshake) == 1 })
	await(t, "nothing is charged", func() bool { return intake.usedBytes() == 0 })
}

// TestBodyWithoutTokenIsRefused guards against bodies that are taken into memory before the token of
// their sender has been read.
func TestBodyWithoutTokenIsRefused(t *testing.T) {
	limits := func(r *http.Request) MessageLimits {
		if r != nil && r.Header.Get("Authorization") == "" {
			return MessageLimits{Body: 100, Unauthorized: true}
		}
		return MessageLimits{Body: 10_000}
	}
	address := listen(t, Options{Limits: limits, NoLimits: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r)
		if _, ok := r.Body.(*nbhttp.BodyReader); !ok || err != nil || len(body) != 5000 {
			w.WriteHeader(http.StatusBadRequest)
		}
	})})
	for header, want := range map[string]int{"": http.StatusUnauthorized, "Authorization: a\r\n": http.StatusOK} {
		conn := openConn(t, address)
		send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\n"+header+"Content-Length: 5000\r\n\r\n")
		if want == http.StatusOK {
			send(t, conn, strings.Repeat("x", 5000))
		}
		if got := answer(conn); got != want {
			t.Errorf("with %q: %d, expected %d", header, got, want)
		}
	}
}

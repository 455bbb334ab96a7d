package caller

import (
	"bufio"
	"crypto/tls"
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

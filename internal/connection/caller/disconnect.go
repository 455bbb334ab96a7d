package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// disconnectPollInterval is the interval at which the connections of all requests in progress
	// are polled. Polling finds those that were closed for another reason than the end of the
	// client's data, such as a failed write: the engine queues its close callback behind the
	// request itself.
	disconnectPollInterval = 10 * time.Millisecond
	// deadlineRenewInterval is the interval at which the read deadline of a request in progress is
	// renewed: the engine sets its own after it has begun to poll a new connection, possibly
	// after the request has arrived.
	deadlineRenewInterval = 100 * time.Millisecond
)

// pollableConn is an engine connection whose state can be polled.
type pollableConn interface {
	IsClosed() (bool, error)
	SetReadDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// disconnectWatcher cancels the contexts of requests whose clients disconnect: at once when the
// engine has read the end of a connection, since the client of one that is reset may send its
// request to another entry within milliseconds. One goroutine also polls all connections, while
// there are any requests.
type disconnectWatcher struct {
	mu sync.Mutex
	// requests holds the requests in progress, at most one of each connection.
	requests map[pollableConn]*watchedRequest
	// running is set while the goroutine runs.
	running bool
}

// watchedRequest is a request in progress.
type watchedRequest struct {
	conn   pollableConn
	cancel context.CancelFunc
	// renewAt is when its read deadline is renewed next.
	renewAt time.Time
}

// wrap cancels the context of a request of next when its client disconnects.
func (d *disconnectWatcher) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := engineConn(w).(pollableConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), connKey{}, conn))
		defer cancel()
		request := &watchedRequest{conn: conn, cancel: cancel, renewAt: time.Now().Add(deadlineRenewInterval)}
		d.add(request)
		defer d.remove(request)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (d *disconnectWatcher) add(r *watchedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = make(map[pollableConn]*watchedRequest)
	}
	d.requests[r.conn] = r
	if !d.running {
		d.running = true
		go d.run()
	}
}

func (d *disconnectWatcher) remove(r *watchedRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests[r.conn] == r {
		delete(d.requests, r.conn)
	}
}

// afterRead cancels the request in progress on a connection that the engine has read to its end.
// The engine calls it after each read, before it closes the connection.
func (d *disconnectWatcher) afterRead(conn pollableConn) {
	if r := d.find(conn); r != nil && hasEnded(conn) {
		r.cancel()
	}
}

// find returns the request in progress on a connection, or nil.
func (d *disconnectWatcher) find(conn pollableConn) *watchedRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests[conn]
}

// run polls the connections until no request is in progress.
func (d *disconnectWatcher) run() {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if !d.poll(now) {
			return
		}
	}
}

// poll polls all connections once. It reports false if no request is in progress.
func (d *disconnectWatcher) poll(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.requests {
		r.poll(now)
	}
	d.running = len(d.requests) > 0
	return d.running
}

func (r *watchedRequest) poll(now time.Time) {
	if closed, _ := r.conn.IsClosed(); closed {
		r.cancel()
		return
	}
	if now.After(r.renewAt) {
		r.renewAt = now.Add(deadlineRenewInterval)
		_ = r.conn.SetReadDeadline(now.Add(requestTimeout))
	}
}

// engineConn returns the connection below HTTP and TLS that the engine polls, or nil if
// w is not a response of the engine.
func engineConn(w http.ResponseWriter) net.Conn {
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	conn := response.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	if counted, ok := conn.(*responseConn); ok {
		conn = counted.Conn
	}
	if secured, ok := conn.(*llibtls.Conn); ok {
		conn = secured.Conn()
	}
	return conn
}

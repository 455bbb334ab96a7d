package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
)

// hangupInterval is the time between looks at the connection of a waiting
// request. The engine queues its close callback behind the request itself, so
// the connection has to be looked at.
const hangupInterval = 100 * time.Millisecond

// polled is a connection of the engine.
type polled interface {
	IsClosed() (bool, error)
	SetReadDeadline(time.Time) error
}

func withHangup(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := engineConn(w).(polled)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go watchRequest(ctx, cancel, conn)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// engineConn returns the connection that the engine polls for a response, below
// HTTP and TLS, or nil.
func engineConn(w http.ResponseWriter) net.Conn {
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	conn := response.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	if secured, ok := conn.(*llibtls.Conn); ok {
		conn = secured.Conn()
	}
	return conn
}

// watchRequest looks at the connection of a waiting request. It also sets the
// read deadline once more: the engine sets its own after it has begun to poll a
// new connection, which may be after the request has arrived.
func watchRequest(ctx context.Context, cancel context.CancelFunc, conn polled) {
	ticker := time.NewTicker(hangupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closed, _ := conn.IsClosed(); closed {
				cancel()
				return
			}
			if ctx.Err() == nil {
				_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
			}
		}
	}
}

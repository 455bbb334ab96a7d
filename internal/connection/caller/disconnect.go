package caller

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
)

// disconnectPollInterval is the interval at which the connection of a request in progress
// is polled. Polling is needed because the engine queues its close callback behind the
// request itself.
const disconnectPollInterval = 100 * time.Millisecond

// pollableConn is an engine connection whose state can be polled.
type pollableConn interface {
	IsClosed() (bool, error)
	SetReadDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// withDisconnect cancels the context of a request when its client disconnects.
func withDisconnect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := engineConn(w).(pollableConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(context.WithValue(r.Context(), connKey{}, conn))
		defer cancel()
		go watchDisconnect(ctx, cancel, conn)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
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
	if secured, ok := conn.(*llibtls.Conn); ok {
		conn = secured.Conn()
	}
	return conn
}

// watchDisconnect polls the connection of a request in progress and cancels the request
// when the client disconnects. It also renews the read deadline: the engine sets its own
// after it has begun to poll a new connection, possibly after the request has arrived.
func watchDisconnect(ctx context.Context, cancel context.CancelFunc, conn pollableConn) {
	ticker := time.NewTicker(disconnectPollInterval)
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

// Package caller serves callers and operators over HTTP on an nbhttp engine.
package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// MaxBodyBytes is the largest request body: 460 tasks of 64 KiB in JSON.
const MaxBodyBytes = 48 << 20

const (
	// hangupInterval is the time between looks at the connection of a waiting
	// request. The engine queues its close callback behind the request itself,
	// so the connection has to be looked at.
	hangupInterval = 100 * time.Millisecond
	// keepalive is the time between requests on a connection. The engine counts
	// it while a request waits too, so it exceeds the longest job.
	keepalive = 12 * time.Minute
)

// Server is an HTTP server. The context of a request ends when its caller hangs
// up.
type Server struct {
	engine *nbhttp.Engine
}

// Listen starts a server on a TCP address.
func Listen(address string, handler http.Handler) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	// The engine does not return when its own listening fails.
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	engine := nbhttp.NewEngine(nbhttp.Config{
		Network:           "tcp",
		Addrs:             []string{address},
		Listen:            func(string, string) (net.Listener, error) { return listener, nil },
		MaxHTTPBodySize:   MaxBodyBytes,
		KeepaliveTime:     keepalive,
		ServerExecutor:    func(f func()) { go f() },
		SupportServerOnly: true,
		Handler:           withHangup(handler),
	})
	if err := engine.Start(); err != nil {
		return nil, eris.Wrapf(err, "listen for callers on %s", address)
	}
	return &Server{engine: engine}, nil
}

// Close stops the server; ctx bounds the wait for open connections.
func (s *Server) Close(ctx context.Context) {
	_ = s.engine.Shutdown(ctx)
}

// closer is what a connection of the engine says of itself.
type closer interface {
	IsClosed() (bool, error)
}

func withHangup(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, ok := w.(*nbhttp.Response)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		if conn, ok := underlying(response.Parser.Conn).(closer); ok {
			go cancelOnHangup(ctx, cancel, conn)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// underlying returns the connection that the engine polls.
func underlying(conn net.Conn) net.Conn {
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		return wrapped.Conn
	}
	return conn
}

func cancelOnHangup(ctx context.Context, cancel context.CancelFunc, conn closer) {
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
		}
	}
}

// LocalAddress returns the host part of a listening address as an address for
// outgoing connections.
func LocalAddress(listen string) net.Addr {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

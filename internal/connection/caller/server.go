// Package caller serves callers and operators over HTTP on an nbhttp engine.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// MaxBodyBytes is the largest request body: 460 tasks of 64 KiB in JSON.
const MaxBodyBytes = 40 << 20

const (
	// maxReadBytes is the size at which a connection is cut instead of answered.
	maxReadBytes = MaxBodyBytes + 8<<20
	// requestTimeout exceeds the longest job.
	requestTimeout = 12 * time.Minute
	// writeTimeout is the time allowed for a caller to take its answer.
	writeTimeout = time.Minute
)

// Buffers of the engine are left to the garbage collector. With the engine's
// pool the race detector finds a buffer of one connection in use by another
// under TLS, and an answer must never reach another caller.
func init() { mempool.DefaultMemPool = mempool.NewSTD() }

// Options configures a Server.
type Options struct {
	// Address is the TCP address to listen on.
	Address string
	Handler http.Handler
	// Keys are those of HTTPS; nil serves plain HTTP.
	Keys *Keys
	// Rate is the largest number of requests a second of one connection.
	Rate int
	// Idle is the time allowed for the next request of a connection to arrive
	// whole.
	Idle time.Duration
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Refused is told of requests refused before they reach Handler.
	Refused func(verdict.Reason)
	// Closed is told why a connection was cut; nil for an end by the caller.
	Closed func(Cut)
	// MoreAddresses are served beside Address.
	MoreAddresses []string
	// Bare leaves limits and the form of errors to Handler.
	Bare bool
	// Closing reports that connections end after their present answer; nil for
	// never.
	Closing func() bool
}

// Server is an HTTP server. The context of a request ends when its caller hangs
// up.
type Server struct {
	options Options
	engine  *nbhttp.Engine
	// limiters holds a *rate.Limiter for each open connection.
	limiters sync.Map
	// requests counts those that have been read and not been answered.
	requests atomic.Int64
}

// Listen starts a server.
func Listen(o Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	// The engine does not return when its own listening fails.
	addresses := append([]string{o.Address}, o.MoreAddresses...)
	listeners, err := listenAll(addresses)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o}
	handler := o.Handler
	if !o.Bare {
		handler = s.withLimits(handler)
	}
	config := nbhttp.Config{
		Network:           "tcp",
		Listen:            func(_, address string) (net.Listener, error) { return listeners[address], nil },
		MaxLoad:           o.MaxConnections,
		ReadLimit:         maxReadBytes,
		MaxHTTPBodySize:   maxReadBytes,
		KeepaliveTime:     o.Idle,
		ServerExecutor:    func(f func()) { go f() },
		SupportServerOnly: true,
		Handler:           s.withDeadlines(withHangup(handler)),
	}
	if o.Keys == nil {
		config.Addrs = addresses
	} else {
		config.AddrsTLS = addresses
		config.TLSConfig = o.Keys.config()
	}
	s.engine = nbhttp.NewEngine(config)
	s.engine.OnClose(s.closed)
	if err := s.engine.Start(); err != nil {
		return nil, eris.Wrapf(err, "listen for callers on %s", o.Address)
	}
	return s, nil
}

func listenAll(addresses []string) (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
			return nil, eris.Wrap(err, "listen for callers")
		}
		listeners[address] = listener
	}
	return listeners, nil
}

const (
	// answerPoll is the time between looks at the requests in progress.
	answerPoll = 5 * time.Millisecond
	// answerFlush is the time allowed for the last answers to leave: the engine
	// writes an answer after its handler has returned.
	answerFlush = 100 * time.Millisecond
)

// Requests returns the number of requests in progress.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Drain waits until each request in progress has its answer, or ctx ends, and
// reports whether all have.
func (s *Server) Drain(ctx context.Context) bool {
	for s.Requests() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(answerPoll):
		}
	}
	time.Sleep(answerFlush)
	return s.Requests() == 0
}

// Close stops the server; ctx bounds the wait for open connections.
func (s *Server) Close(ctx context.Context) {
	_ = s.engine.Shutdown(ctx)
}

// closed is called when a connection has ended.
func (s *Server) closed(conn net.Conn, err error) {
	s.limiters.Delete(conn)
	if cut, ok := cutOf(err); ok && s.options.Closed != nil {
		s.options.Closed(cut)
	}
}

// withDeadlines gives a request that has arrived the time of the longest job,
// since the engine counts its keepalive while the request waits, and the caller
// a time to take the answer.
func (s *Server) withDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		defer s.requests.Add(-1)
		conn := engineConn(w)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
		next.ServeHTTP(w, r)
		if s.options.Closing != nil && s.options.Closing() {
			r.Close = true
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	})
}

// allow takes a request out of the rate of its connection.
func (s *Server) allow(conn net.Conn) bool {
	if conn == nil || s.options.Rate <= 0 {
		return true
	}
	limiter, ok := s.limiters.Load(conn)
	if !ok {
		limiter, _ = s.limiters.LoadOrStore(conn, rate.NewLimiter(rate.Limit(s.options.Rate), s.options.Rate))
	}
	return limiter.(*rate.Limiter).Allow()
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

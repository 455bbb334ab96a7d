// Package caller implements the HTTP server for callers and operators, built on the nbhttp
// engine.
package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// MaxBodyBytes is the largest request body, sized for 460 tasks of 64 KiB in JSON.
const MaxBodyBytes = 40 << 20

// MaxReadBytes is the length of a body from which on it is not read: one that is only a little longer
// than MaxBodyBytes is refused with the error format.
const MaxReadBytes = MaxBodyBytes + 8<<20

const (
	// requestTimeout is longer than the longest job.
	requestTimeout = 12 * time.Minute
	// writeTimeout is the time limit for a caller to read its response.
	writeTimeout = time.Minute
)

// The engine's buffers are left to the garbage collector. With the engine's buffer pool
// the race detector finds one connection's buffer in use by another under TLS, and a
// response must never reach another caller.
func init() { mempool.DefaultMemPool = mempool.NewSTD() }

// Options configures a Server.
type Options struct {
	// Address is the TCP address to listen on.
	Address string
	Handler http.Handler
	// Keys is the certificate and key for HTTPS; nil serves plain HTTP.
	Keys *Keys
	// RequestsPerSecond limits the requests per second of one connection; 0 means no limit.
	RequestsPerSecond int
	// IdleTimeout is the time limit for the next request of a connection to arrive completely.
	IdleTimeout time.Duration
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// OnRefused, if not nil, is called for each request refused before it reaches Handler.
	OnRefused func(verdict.Reason)
	// OnClose, if not nil, is called with the reason when the server closes a connection on
	// an error. It is not called when the caller or Close ends the connection.
	OnClose func(CloseReason)
	// ExtraAddresses lists further TCP addresses to listen on.
	ExtraAddresses []string
	// NoLimits leaves the rate limit, the body limit and the error format to Handler.
	NoLimits bool
	// Intake bounds what the connections make the process hold; nil means that of this server alone,
	// without limits.
	Intake *Intake
	// Limits returns the limits of one request: with nil those of its head, then those of its body.
	// nil means the defaults, and with the limits of this server a body somewhat longer than MaxBodyBytes,
	// which is refused with the error format.
	Limits func(*http.Request) MessageLimits
	// HandlerBytes returns the memory that Handler takes for a request, beside the request itself; nil
	// means none. A handler that knows better calls Resize.
	HandlerBytes func(head, body []byte) int
	// IsStopping reports whether connections are to be closed after their current response;
	// nil means never.
	IsStopping func() bool
}

// Server is an HTTP server. The context of a request is cancelled when its caller
// disconnects.
type Server struct {
	options Options
	engine  *nbhttp.Engine
	// limiters holds a *rate.Limiter for each open connection.
	limiters    sync.Map
	disconnects disconnectWatcher
	// openRequests counts the requests whose handler has not returned, queuedRequests those that are
	// read and wait for their start.
	openRequests, queuedRequests atomic.Int64
	// opened counts connections. Reading it before the input of a connection orders the two for the
	// memory model: the engine orders them by the kernel alone.
	opened atomic.Int64
}

// Listen starts a server.
func Listen(o Options) (*Server, error) {
	logging.SetLevel(logging.LevelNone)
	// Listeners are opened here because the engine's Start does not return if its own
	// listen call fails.
	addresses := append([]string{o.Address}, o.ExtraAddresses...)
	listeners, err := listenAll(addresses)
	if err != nil {
		return nil, err
	}
	if o.Intake == nil {
		o.Intake = NewIntake(IntakeOptions{})
	}
	s := &Server{options: o}
	handler := o.Handler
	if !o.NoLimits {
		handler = s.withLimits(handler)
	}
	config := nbhttp.Config{
		Network:           "tcp",
		Listen:            func(_, address string) (net.Listener, error) { return listeners[address], nil },
		MaxLoad:           o.MaxConnections,
		ReadLimit:         MaxReadBytes,
		MaxHTTPBodySize:   MaxReadBytes,
		KeepaliveTime:     o.IdleTimeout,
		ServerExecutor:    func(f func()) { go f() },
		SupportServerOnly: true,
		Handler:           s.withDeadlines(s.disconnects.wrap(handler)),
	}
	if o.Keys == nil {
		config.Addrs = addresses
	} else {
		config.AddrsTLS = addresses
		config.TLSConfig = o.Keys.config()
	}
	s.engine = nbhttp.NewEngine(config)
	s.engine.OnClose(s.connectionClosed)
	s.guardInput()
	s.engine.OnReadBufferFree(func(conn *nbio.Conn, _ *[]byte) { s.disconnects.afterRead(conn) })
	if err := s.engine.Start(); err != nil {
		return nil, eris.Wrapf(err, "listen for callers on %s", o.Address)
	}
	return s, nil
}

// guardInput puts an inbound between the engine and the parser of each connection.
func (s *Server) guardInput() {
	s.engine.Engine.OnOpen(func(conn *nbio.Conn) {
		if parser, ok := conn.Session().(*nbhttp.Parser); ok {
			c := newInbound(s, conn, parser)
			conn.SetSession(c)
			s.options.Intake.opened(c)
			s.opened.Add(1)
		}
	})
	s.engine.OnData(func(conn *nbio.Conn, data []byte) {
		c, ok := conn.Session().(*inbound)
		if !ok {
			return
		}
		s.opened.Load()
		conn.DataHandler()(conn, data)
		if s.options.Keys != nil {
			c.readEncrypted(len(data))
		}
	})
	s.engine.OnWrittenSize(func(conn *nbio.Conn, _ []byte, n int) {
		c, ok := conn.Session().(*inbound)
		if !ok {
			return
		}
		c.written(n)
		if c.hasUnread.Load() {
			// The caller holds the lock of the connection, which starting a request needs.
			go c.flushed()
		}
	})
}

// limits returns the limits of a request.
func (s *Server) limits(r *http.Request) MessageLimits {
	switch {
	case s.options.Limits != nil:
		return s.options.Limits(r)
	case s.options.NoLimits:
		return MessageLimits{}
	}
	return MessageLimits{Body: MaxReadBytes}
}

// listenAll opens a listener for each address, or none if one of them fails.
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
	// drainPollInterval is the interval at which Drain polls the requests in progress.
	drainPollInterval = 5 * time.Millisecond
	// responseFlushDelay is the time allowed for the last responses to be sent: the engine
	// writes a response after its handler has returned.
	responseFlushDelay = 100 * time.Millisecond
)

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int { return int(s.openRequests.Load() + s.queuedRequests.Load()) }

// Drain waits until all requests in progress are answered or ctx ends, and reports whether
// all are answered.
func (s *Server) Drain(ctx context.Context) bool {
	for s.OpenRequests() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPollInterval):
		}
	}
	time.Sleep(responseFlushDelay)
	return s.OpenRequests() == 0
}

// Close stops the server; ctx limits the wait for open connections.
func (s *Server) Close(ctx context.Context) {
	_ = s.engine.Shutdown(ctx)
}

// connectionClosed is the engine's callback for a closed connection.
func (s *Server) connectionClosed(conn net.Conn, err error) {
	s.limiters.Delete(conn)
	if reason, ok := closeReason(err); ok && s.options.OnClose != nil {
		s.options.OnClose(reason)
	}
}

// withDeadlines extends the read deadline of a request to requestTimeout, since the
// engine's keepalive time-out also runs while the request waits for its handler. After the
// handler it sets the write deadline for the response.
func (s *Server) withDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.openRequests.Add(1)
		defer s.openRequests.Add(-1)
		conn := engineConn(w)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx := r.Context()
		if c := inboundOf(conn); c != nil {
			defer c.responded()
			ctx = context.WithValue(ctx, inboundKey{}, c)
		}
		_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
		next.ServeHTTP(w, r.WithContext(ctx))
		if s.options.IsStopping != nil && s.options.IsStopping() {
			r.Close = true
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	})
}

// inboundOf returns the input of an engine connection, or nil.
func inboundOf(conn net.Conn) *inbound {
	engineConn, ok := conn.(*nbio.Conn)
	if !ok {
		return nil
	}
	c, _ := engineConn.Session().(*inbound)
	return c
}

// allowRequest reports whether the rate limit of conn admits another request.
func (s *Server) allowRequest(conn net.Conn) bool {
	if conn == nil || s.options.RequestsPerSecond <= 0 {
		return true
	}
	limiter, ok := s.limiters.Load(conn)
	if !ok {
		limiter, _ = s.limiters.LoadOrStore(conn, rate.NewLimiter(rate.Limit(s.options.RequestsPerSecond), s.options.RequestsPerSecond))
	}
	return limiter.(*rate.Limiter).Allow()
}

// LocalAddress returns the host of a listen address as the local address for outgoing
// connections, or nil if listen has no host and port.
func LocalAddress(listen string) net.Addr {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

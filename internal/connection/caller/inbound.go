package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// errHandshakeTooLong ends the handshake of a client that sends more than any handshake needs.
var errHandshakeTooLong = eris.New("handshake too long")

// What a request takes beside the bytes of its head and body, in bytes.
const (
	// requestOverhead is the decoded request, the response and the goroutine of the handler.
	requestOverhead = 10 << 10
	// fieldOverhead is a header field beside its own bytes: its entry in the map, a slice and two
	// strings.
	fieldOverhead = 192
	// maxHandshakeBytes bounds the input of a TLS handshake. Clients need some two KiB.
	maxHandshakeBytes = 16 << 10
)

// inbound is the input of one connection. It stands between the engine, which reads and decrypts it,
// and the engine's processor, which calls the handler.
type inbound struct {
	server *Server
	intake *Intake
	conn   *nbio.Conn
	parser *nbhttp.Parser
	// engineConn is the connection that the engine expects of its session.
	engineConn net.Conn
	// unwritten is the number of bytes of responses that the kernel has not taken.
	unwritten atomic.Int64
	// hasUnread is set while the intake counts unread responses of the connection.
	hasUnread atomic.Bool

	// Only the goroutine that reads the connection uses these.
	reader      messageReader
	handshake   int
	established bool

	// mu guards the processor, which the engine's own callback releases when the connection ends.
	mu    sync.Mutex
	ended bool

	// The intake guards the fields below.
	usage usage
	queue []*message
	// activeAt is the time of the opening or the last answer, startedAt that since when the request in
	// progress runs or waits.
	openedAt, activeAt, startedAt time.Time
	// running is set from the start of a request until its response has been passed on, waiting
	// while the next one waits for memory. served is set once a request has been answered.
	running, waiting, served, closing bool
	// next is the request to start.
	next *message
}

// newInbound puts the intake between the engine and its parser.
func newInbound(s *Server, conn *nbio.Conn, parser *nbhttp.Parser) *inbound {
	c := &inbound{server: s, intake: s.options.Intake, conn: conn, parser: parser, engineConn: parser.Conn}
	if wrapped, ok := parser.Conn.(*nbhttp.Conn); ok {
		parser.Conn = &nbhttp.Conn{Conn: &responseConn{Conn: wrapped.Conn, inbound: c}, Parser: parser}
	}
	return c
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (c *inbound) UnderlayerConn() net.Conn { return c.engineConn }

// Parse implements nbhttp.ParserCloser. It reads decrypted input.
func (c *inbound) Parse(input []byte) error {
	c.established = true
	done, err := c.reader.read(input, c.server.limits, nil)
	for _, m := range done {
		m.weight = c.weight(m)
	}
	c.intake.received(c, done, c.reader.held(), err)
	return nil
}

// readEncrypted accounts for input that did not end the handshake.
func (c *inbound) readEncrypted(n int) {
	if c.established {
		return
	}
	c.handshake += n
	var err error
	if c.handshake > maxHandshakeBytes {
		err = errHandshakeTooLong
	}
	c.intake.received(c, nil, c.handshake, err)
}

// weight returns the memory that the process takes for a request until its handler returns: its
// bytes twice, as the engine copies the body, and what is decoded of them.
func (c *inbound) weight(m *message) int {
	// The allocator rounds sizes up by an eighth at most.
	weight := requestOverhead + fieldOverhead*m.fields + 2*(len(m.head)+len(m.body))*9/8
	if f := c.server.options.HandlerBytes; f != nil {
		weight += f(m.head, m.body)
	}
	return weight
}

// start passes the next request on to the engine, which calls the handler.
func (c *inbound) start() {
	m := c.next
	c.next = nil
	r, err := m.request()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	if err != nil {
		_ = c.conn.CloseWithError(err)
		return
	}
	p := c.parser.Processor
	p.OnMethod(c.parser, r.Method)
	if err := p.OnURL(c.parser, r.URL.RequestURI()); err != nil {
		_ = c.conn.CloseWithError(err)
		return
	}
	_ = p.OnProto(c.parser, r.Proto)
	p.OnHeader(c.parser, "Host", r.Host)
	for key, values := range r.Header {
		for _, value := range values {
			p.OnHeader(c.parser, key, value)
		}
	}
	p.OnContentLength(c.parser, len(m.body))
	if len(m.body) > 0 {
		_ = p.OnBody(c.parser, m.body)
	}
	p.OnComplete(c.parser)
}

// responded is called when the handler has returned. The engine sends the rest of the response
// before it runs the next job of the connection.
func (c *inbound) responded() {
	c.conn.Execute(func() { c.intake.responded(c) })
}

// countQueued changes the number of requests of the server that wait for their start.
func (c *inbound) countQueued(n int) {
	if n != 0 {
		c.server.queuedRequests.Add(int64(n))
	}
}

// close closes the connection, after a status if that is not nil.
func (c *inbound) close(status []byte) {
	if status != nil {
		_, _ = c.parser.Conn.Write(status) // the client may have left
	}
	_ = c.conn.CloseWithError(errLimit)
}

// CloseAndClean implements nbhttp.ParserCloser.
func (c *inbound) CloseAndClean(err error) {
	c.mu.Lock()
	c.ended = true
	c.parser.CloseAndClean(err)
	c.mu.Unlock()
	c.intake.closed(c)
}

// written records that the kernel has taken n bytes.
func (c *inbound) written(n int) {
	for {
		before := c.unwritten.Load()
		if before == 0 {
			return
		}
		if c.unwritten.CompareAndSwap(before, max(before-int64(n), 0)) {
			return
		}
	}
}

// flushed updates the intake after the kernel has taken a part of the responses.
func (c *inbound) flushed() { c.intake.updateUnread(c) }

// responseConn counts the bytes of responses that are passed on to a connection. With TLS the kernel
// takes some more bytes, so that the count is a little too low.
type responseConn struct {
	net.Conn
	inbound *inbound
}

// Write implements net.Conn.
func (w *responseConn) Write(b []byte) (int, error) {
	c := w.inbound
	c.unwritten.Add(int64(len(b)))
	n, err := w.Conn.Write(b)
	if c.unwritten.Load() > 0 {
		c.hasUnread.Store(true)
		c.flushed()
	}
	return n, err
}

// inboundKey is the context key of the connection of a request.
type inboundKey struct{}

// Resize tells the intake how much memory the handler of a request with this context takes from now on
// until it returns, in bytes. It reports false if that does not fit into the budget of the process:
// the request must then be refused.
func Resize(ctx context.Context, bytes int) bool {
	c, ok := ctx.Value(inboundKey{}).(*inbound)
	return !ok || c.intake.resize(c, bytes)
}

// ReadBody returns the body of a request. It must not be used after the handler has returned.
func ReadBody(r *http.Request) ([]byte, error) {
	body, ok := r.Body.(*nbhttp.BodyReader)
	if !ok {
		return io.ReadAll(r.Body)
	}
	switch buffers := body.RawBodyBuffers(); len(buffers) {
	case 0:
		return nil, nil
	case 1:
		return buffers[0], nil
	}
	return io.ReadAll(r.Body)
}

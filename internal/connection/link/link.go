// Package link carries frames between two nodes over one stream of a QUIC connection with
// mutual TLS. Calls use further streams of the same connection.
package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// Limits of a link.
const (
	// maxQueuedFrames limits the frames queued for a slow peer; a link that exceeds it is
	// closed.
	maxQueuedFrames   = 1 << 16
	readBufferSize    = 32 << 10
	handshakeTimeout  = 3 * time.Second
	maxStreamsPerPeer = 1024
)

// IdleTimeout is the time without a datagram from the peer after which a link ends.
const IdleTimeout = 2 * time.Second

// Application error codes of a closed connection.
const (
	errorCodeClosed quic.ApplicationErrorCode = iota
	errorCodeProtocol
)

// ErrClosed reports that the link is closed.
var ErrClosed = eris.New("link is closed")

// Config returns the QUIC configuration of links. 0-RTT is off, since early data can be
// replayed.
func Config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       IdleTimeout,
		MaxIncomingStreams:   maxStreamsPerPeer,
	}
}

// Link is one end of a connection between two nodes. Its methods are safe for concurrent
// use, except that only one goroutine may call Receive.
type Link struct {
	conn   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader
	remote identity.Identity
	stats  *Stats

	mu     sync.Mutex
	queue  []*peerv1.Frame
	buffer []byte
	// writing is set while the writer goroutine writes a batch taken from the queue.
	writing bool
	closed  bool
	wake    chan struct{}
}

// Dialer opens links from one UDP socket.
type Dialer struct {
	Transport *quic.Transport
	TLS       *tls.Config
	Stats     *Stats
	// KeepAlive is the interval of keep-alive packets; 0 lets idle links end after IdleTimeout.
	KeepAlive time.Duration
}

// Dial opens a link to address.
func (d *Dialer) Dial(ctx context.Context, address string) (*Link, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "parse peer address")
	}
	config := Config()
	config.KeepAlivePeriod = d.KeepAlive
	conn, err := d.Transport.Dial(ctx, net.UDPAddrFromAddrPort(addrPort), d.TLS, config)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(errorCodeClosed, "")
		return nil, eris.Wrap(err, "open stream")
	}
	return newLink(conn, stream, d.Stats)
}

// Accept waits for the first stream of an accepted connection and returns its link.
func Accept(ctx context.Context, conn *quic.Conn, stats *Stats) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		_ = conn.CloseWithError(errorCodeProtocol, "no stream")
		return nil, eris.Wrap(err, "accept stream")
	}
	return newLink(conn, stream, stats)
}

func newLink(conn *quic.Conn, stream *quic.Stream, stats *Stats) (*Link, error) {
	remote, err := identity.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(errorCodeProtocol, "no identity")
		return nil, err
	}
	l := &Link{
		conn:   conn,
		stream: stream,
		reader: bufio.NewReaderSize(stream, readBufferSize),
		remote: remote,
		stats:  stats,
		wake:   make(chan struct{}, 1),
	}
	go l.writeQueued()
	return l, nil
}

// Remote returns the identity from the peer's certificate.
func (l *Link) Remote() identity.Identity { return l.remote }

// Conn returns the QUIC connection, on which calls open their own streams.
func (l *Link) Conn() *quic.Conn { return l.conn }

// Done returns a channel that is closed when either side closes the link.
func (l *Link) Done() <-chan struct{} { return l.conn.Context().Done() }

// Send writes a frame, or queues it if the peer is slow. It never blocks. If it returns
// ErrClosed, the frame is never written; if it returns nil, it may or may not be written.
func (l *Link) Send(f *peerv1.Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if len(l.queue) == 0 && !l.writing {
		if err := l.tryWrite(f); !errors.Is(err, quic.ErrWouldBlock) {
			return err
		}
	}
	if len(l.queue) >= maxQueuedFrames {
		l.closed = true
		go l.Close()
		return ErrClosed
	}
	l.queue = append(l.queue, f)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// tryWrite writes a frame if the connection accepts it without blocking. This saves the
// switch to the writer goroutine, which is most of a link's latency at low load.
func (l *Link) tryWrite(f *peerv1.Frame) error {
	l.buffer = AppendFrame(l.buffer[:0], f)
	err := l.stream.TryWriteAll(l.buffer)
	switch {
	case err == nil:
		l.stats.recordSent(f, len(l.buffer))
	case !errors.Is(err, quic.ErrWouldBlock):
		l.closed = true
		err = ErrClosed
	}
	return err
}

// Receive returns the next frame. Any error closes the link.
func (l *Link) Receive() (*peerv1.Frame, error) {
	f, size, err := ReadFrame(l.reader)
	if err != nil {
		l.stats.recordReadError(err)
		l.Close()
		return nil, err
	}
	l.stats.recordReceived(f, size)
	return f, nil
}

// Close closes the connection; queued frames are dropped.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.conn.CloseWithError(errorCodeClosed, "")
}

// ReceiveWithin returns the next frame like Receive, but closes the link if ctx ends first.
func (l *Link) ReceiveWithin(ctx context.Context) (*peerv1.Frame, error) {
	stop := context.AfterFunc(ctx, l.Close)
	f, err := l.Receive()
	if !stop() && err == nil {
		return nil, context.Cause(ctx)
	}
	return f, err
}

// Flush waits until all frames are written, the link is closed or ctx ends.
func (l *Link) Flush(ctx context.Context) {
	const interval = time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for l.hasUnwritten() {
		select {
		case <-ctx.Done():
			return
		case <-l.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasUnwritten reports whether a frame is queued or being written.
func (l *Link) hasUnwritten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0 || l.writing
}

// writeQueued writes queued frames until the connection ends. It writes all frames in the
// queue as one batch, which may block while the peer is slow.
func (l *Link) writeQueued() {
	defer l.Close()
	var buffer []byte
	for {
		select {
		case <-l.Done():
			return
		case <-l.wake:
		}
		batch := l.takeBatch()
		buffer = buffer[:0]
		for _, f := range batch {
			before := len(buffer)
			buffer = AppendFrame(buffer, f)
			l.stats.recordSent(f, len(buffer)-before)
		}
		if _, err := l.stream.Write(buffer); err != nil {
			return
		}
		l.endBatch()
	}
}

// endBatch lets Send write directly again. Send has already signalled the writer for any
// frames queued during the batch.
func (l *Link) endBatch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
}

// takeBatch empties the queue and marks a batch as being written.
func (l *Link) takeBatch() []*peerv1.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	l.writing = true
	return batch
}

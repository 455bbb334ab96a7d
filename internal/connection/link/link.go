// Package link carries frames between two processes of the system over one
// stream of a QUIC connection with mutual TLS.
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
	// maxQueuedFrames bounds the frames that wait for a slow peer.
	maxQueuedFrames   = 1 << 16
	readBufferSize    = 32 << 10
	handshakeTimeout  = 3 * time.Second
	maxStreamsPerPeer = 1024
)

// IdleTimeout is the time after which a link ends without a datagram from the
// peer.
const IdleTimeout = 2 * time.Second

// Application error codes of a closed connection.
const (
	codeClosed quic.ApplicationErrorCode = iota
	codeProtocolError
)

// ErrClosed reports that the link is closed.
var ErrClosed = eris.New("link is closed")

// Config returns the QUIC configuration of links. 0-RTT stays off, since early
// data can be replayed.
func Config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       IdleTimeout,
		MaxIncomingStreams:   maxStreamsPerPeer,
	}
}

// Link is one end of a connection. Its methods are safe for concurrent use,
// but only one goroutine may call Receive.
type Link struct {
	conn   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader
	remote identity.Identity
	stats  *Stats

	mu     sync.Mutex
	queue  []*peerv1.Frame
	buffer []byte
	// writing is set while the writer holds frames taken from the queue.
	writing bool
	closed  bool
	wake    chan struct{}
}

// Dialer opens links from one socket.
type Dialer struct {
	Transport *quic.Transport
	TLS       *tls.Config
	Stats     *Stats
	// KeepAlive keeps links without traffic open; 0 lets them end.
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
		_ = conn.CloseWithError(codeClosed, "")
		return nil, eris.Wrap(err, "open stream")
	}
	return newLink(conn, stream, d.Stats)
}

// Accept waits for the first stream of an accepted connection.
func Accept(ctx context.Context, conn *quic.Conn, stats *Stats) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		_ = conn.CloseWithError(codeProtocolError, "no stream")
		return nil, eris.Wrap(err, "accept stream")
	}
	return newLink(conn, stream, stats)
}

func newLink(conn *quic.Conn, stream *quic.Stream, stats *Stats) (*Link, error) {
	remote, err := identity.PeerIdentity(conn.ConnectionState().TLS)
	if err != nil {
		_ = conn.CloseWithError(codeProtocolError, "no identity")
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
	go l.write()
	return l, nil
}

// Remote returns the identity in the peer's certificate.
func (l *Link) Remote() identity.Identity { return l.remote }

// Conn returns the connection, for streams of single calls.
func (l *Link) Conn() *quic.Conn { return l.conn }

// Done is closed when the link is closed by either side.
func (l *Link) Done() <-chan struct{} { return l.conn.Context().Done() }

// Send writes a frame, or queues it while the peer is slow. It never blocks.
// After ErrClosed the frame was not and will not be written; after nil it may
// have been.
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

// tryWrite writes a frame if the connection takes it at once. It saves the
// switch to the writer, which is most of a link's delay when little is sent.
func (l *Link) tryWrite(f *peerv1.Frame) error {
	l.buffer = AppendFrame(l.buffer[:0], f)
	err := l.stream.TryWriteAll(l.buffer)
	switch {
	case err == nil:
		l.stats.sent(f, len(l.buffer))
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
		l.stats.failed(err)
		l.Close()
		return nil, err
	}
	l.stats.received(f, size)
	return f, nil
}

// Close closes the connection; queued frames are dropped.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.conn.CloseWithError(codeClosed, "")
}

// Flush waits until the queued frames are handed to the connection or ctx ends.
func (l *Link) Flush(ctx context.Context) {
	const interval = time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for l.queued() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-l.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Link) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// write sends queued frames until the connection ends. Frames queued together
// go out in one write, which may wait for the peer.
func (l *Link) write() {
	defer l.Close()
	var buffer []byte
	for {
		select {
		case <-l.Done():
			return
		case <-l.wake:
		}
		batch := l.take()
		buffer = buffer[:0]
		for _, f := range batch {
			before := len(buffer)
			buffer = AppendFrame(buffer, f)
			l.stats.sent(f, len(buffer)-before)
		}
		if _, err := l.stream.Write(buffer); err != nil {
			return
		}
		l.written()
	}
}

// written lets Send write again. Frames queued meanwhile have woken the writer.
func (l *Link) written() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
}

func (l *Link) take() []*peerv1.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	l.writing = true
	return batch
}

package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	lengthPrefixBytes = 4
	readBufferBytes   = 4 << 10
)

// Link is one connection between an agent and an entry. Send is safe for concurrent
// use; Receive must be called by one goroutine at a time.
type Link struct {
	conn     net.Conn
	reader   *bufio.Reader
	openedAt time.Time

	wake      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	pending Frame
	// dirty is set while pending waits to be sent, also if it is empty (a heartbeat).
	dirty bool
	// stamp fills in fields of a frame just before it is encoded; may be nil.
	stamp func(*Frame)
}

// NewLink returns a link over conn and starts its writer. If stamp is not nil, it is
// called for each frame just before the frame is encoded.
func NewLink(conn net.Conn, stamp func(*Frame)) *Link {
	l := &Link{
		conn:     conn,
		reader:   newReader(conn),
		openedAt: time.Now(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		stamp:    stamp,
	}
	go l.writeLoop()
	return l
}

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// Dial opens a link from a local address to the entry at address.
func Dial(address string, local net.Addr, timeout time.Duration, stamp func(*Frame)) (*Link, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: local, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial entry")
	}
	return NewLink(conn, stamp), nil
}

// Send queues f without blocking. Queued frames are merged and sent as one.
func (l *Link) Send(f Frame) {
	l.mu.Lock()
	l.pending.merge(f)
	l.dirty = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// merge adds the later frame o to f. Lists of events are appended; for fields that
// describe a state the later value wins.
func (f *Frame) merge(o Frame) {
	f.Starts = append(f.Starts, o.Starts...)
	f.Stops = append(f.Stops, o.Stops...)
	f.Results = append(f.Results, o.Results...)
	f.Hello = latest(f.Hello, o.Hello)
	f.Target = latest(f.Target, o.Target)
	f.Room = latest(f.Room, o.Room)
	f.Policy = latest(f.Policy, o.Policy)
	f.Interference = latest(f.Interference, o.Interference)
	f.Claims = latest(f.Claims, o.Claims)
	if o.Progress != nil {
		f.Progress = o.Progress
	}
	f.CancelJobs = append(f.CancelJobs, o.CancelJobs...)
	f.CancelsRecorded = append(f.CancelsRecorded, o.CancelsRecorded...)
	f.LateOrders = append(f.LateOrders, o.LateOrders...)
	f.Crashes = append(f.Crashes, o.Crashes...)
	f.Released = append(f.Released, o.Released...)
	f.Subscribe = latest(f.Subscribe, o.Subscribe)
	f.Entries = f.Entries.merge(o.Entries)
}

// merge returns the combination of e and the later o.
func (e *Entries) merge(o *Entries) *Entries {
	if e == nil || o == nil || o.Complete {
		return latest(e, o)
	}
	return &Entries{
		Revision: o.Revision,
		Complete: e.Complete,
		Present:  append(removeEntries(e.Present, o.Removed), o.Present...),
		Removed:  append(e.Removed, o.Removed...),
	}
}

func removeEntries(entries []Entry, names []string) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return slices.Contains(names, e.Name) })
}

// latest returns b, or a if b is nil.
func latest[T any](a, b *T) *T {
	if b != nil {
		return b
	}
	return a
}

// Receive returns the next frame. It fails if the link is closed, nothing arrives within
// SilenceLimit, or the frame is too large or malformed.
func (l *Link) Receive() (*Frame, error) {
	return l.receive(MaxFrameBytes, nil)
}

// ReceiveFirst is Receive for the first frame, which arrives before its sender is known. It also fails if
// the first frames of all links take too much memory.
func (l *Link) ReceiveFirst(memory *FirstFrames) (*Frame, error) {
	return l.receive(MaxFirstFrameBytes, memory)
}

// receive returns the next frame of at most limit bytes.
func (l *Link) receive(limit uint32, memory *FirstFrames) (*Frame, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return nil, eris.Wrap(err, "set read deadline")
	}
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(l.reader, head[:]); err != nil {
		return nil, eris.Wrap(err, "read frame length")
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > limit {
		return nil, eris.Errorf("frame of %d bytes exceeds the limit of %d", size, limit)
	}
	charge := memory.charge()
	defer charge.release()
	body, err := l.readBody(int(size), charge)
	if err != nil {
		return nil, eris.Wrap(err, "read frame")
	}
	f := &Frame{}
	if err := memory.decode(body, f); err != nil {
		return nil, eris.Wrap(err, "decode frame")
	}
	if err := f.validate(); err != nil {
		return nil, eris.Wrap(err, "validate frame")
	}
	return f, nil
}

// readBody reads the body of a frame. Its buffer grows with what arrives, since a sender may
// announce more than it sends.
func (l *Link) readBody(size int, charge *frameCharge) ([]byte, error) {
	var body []byte
	for len(body) < size {
		if len(body) == cap(body) {
			next := min(size, max(2*cap(body), readBufferBytes))
			if !charge.grow(next) {
				return nil, errFirstFrames
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := io.ReadFull(l.reader, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// writeLoop sends pending frames until the link is closed or a write fails.
func (l *Link) writeLoop() {
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		if err := l.flush(); err != nil {
			l.Close()
			return
		}
	}
}

func (l *Link) flush() error {
	l.mu.Lock()
	f, dirty := l.pending, l.dirty
	l.pending, l.dirty = Frame{}, false
	l.mu.Unlock()
	if !dirty {
		return nil
	}
	if l.stamp != nil {
		l.stamp(&f)
	}
	body, err := cbor.Marshal(&f)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	message := make([]byte, lengthPrefixBytes, lengthPrefixBytes+len(body))
	binary.BigEndian.PutUint32(message, uint32(len(body)))
	message = append(message, body...)
	if err := l.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	_, err = l.conn.Write(message)
	return eris.Wrap(err, "write frame")
}

// Close closes the connection and ends the writer. Later calls have no effect.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// OpenedAt returns when the link was opened. The peer has sent each frame on it later.
func (l *Link) OpenedAt() time.Time { return l.openedAt }

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// RemoteAddr returns the address of the peer.
func (l *Link) RemoteAddr() string { return l.conn.RemoteAddr().String() }

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
	lengthBytes = 4
	bufferBytes = 4 << 10
)

// Link is one connection between an agent and an entry. Send may be called by
// any goroutine, Receive by one.
type Link struct {
	conn   net.Conn
	reader *bufio.Reader

	wake chan struct{}
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	pending Frame
	// dirty reports that pending holds something to send.
	dirty bool
	// stamp completes a frame in the instant of sending; nil for none.
	stamp func(*Frame)
}

// NewLink returns a link over conn and starts its writer. stamp, if not nil, is
// called with each frame just before it is encoded.
func NewLink(conn net.Conn, stamp func(*Frame)) *Link {
	l := &Link{
		conn:   conn,
		reader: newReader(conn),
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		stamp:  stamp,
	}
	go l.write()
	return l
}

func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, bufferBytes) }

// Dial opens a link to an entry from a local address.
func Dial(address string, local net.Addr, timeout time.Duration, stamp func(*Frame)) (*Link, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: local, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial entry")
	}
	return NewLink(conn, stamp), nil
}

// Send adds f to what is sent next. Frames that wait together travel as one.
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

// merge adds the parts of o. Of parts that describe a state the later counts.
func (f *Frame) merge(o Frame) {
	f.Starts = append(f.Starts, o.Starts...)
	f.Stops = append(f.Stops, o.Stops...)
	f.Results = append(f.Results, o.Results...)
	f.Hello = later(f.Hello, o.Hello)
	f.Target = later(f.Target, o.Target)
	f.Room = later(f.Room, o.Room)
	f.Policy = later(f.Policy, o.Policy)
	f.Claims = later(f.Claims, o.Claims)
	if o.Progress != nil {
		f.Progress = o.Progress
	}
	f.CancelJobs = append(f.CancelJobs, o.CancelJobs...)
	f.Follow = later(f.Follow, o.Follow)
	f.Entries = f.Entries.merge(o.Entries)
}

// merge returns e followed by a later o.
func (e *Entries) merge(o *Entries) *Entries {
	if e == nil || o == nil || o.Whole {
		return later(e, o)
	}
	return &Entries{
		Revision: o.Revision,
		Whole:    e.Whole,
		Present:  append(withoutNames(e.Present, o.Gone), o.Present...),
		Gone:     append(e.Gone, o.Gone...),
	}
}

func withoutNames(entries []Entry, names []string) []Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return slices.Contains(names, e.Name) })
}

func later[T any](a, b *T) *T {
	if b != nil {
		return b
	}
	return a
}

// Receive returns the next frame, or an error once the link is closed or silent
// for too long.
func (l *Link) Receive() (*Frame, error) {
	if err := l.conn.SetReadDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return nil, eris.Wrap(err, "set read deadline")
	}
	var head [lengthBytes]byte
	if _, err := io.ReadFull(l.reader, head[:]); err != nil {
		return nil, eris.Wrap(err, "read frame length")
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return nil, eris.Errorf("frame of %d bytes, the limit is %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(l.reader, body); err != nil {
		return nil, eris.Wrap(err, "read frame")
	}
	f := &Frame{}
	if err := cbor.Unmarshal(body, f); err != nil {
		return nil, eris.Wrap(err, "decode frame")
	}
	return f, nil
}

// write sends what is pending until the link is closed.
func (l *Link) write() {
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
	message := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(message, uint32(len(body)))
	message = append(message, body...)
	if err := l.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	_, err = l.conn.Write(message)
	return eris.Wrap(err, "write frame")
}

// Close ends the link; Receive then returns an error.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// Done is closed when the link has been closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// RemoteAddr returns the address of the other side.
func (l *Link) RemoteAddr() string { return l.conn.RemoteAddr().String() }

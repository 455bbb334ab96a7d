package link

import (
	"bufio"
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Call sends one request on a stream of its own and waits for the reply. An
// error after ErrNotSent cannot have reached the peer; any other may have.
func (l *Link) Call(ctx context.Context, call *peerv1.Call) (*peerv1.Reply, error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := l.writeOne(stream, &peerv1.Frame{Body: &peerv1.Frame_Call{Call: call}}); err != nil {
		return nil, err
	}
	// Without its end the stream would count against the peer's limit for ever.
	// An error means that the peer has answered and ended it already.
	_ = stream.Close()
	f, size, err := ReadFrame(bufio.NewReader(stream))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	l.stats.received(f, size)
	reply := f.GetReply()
	if reply == nil {
		return nil, eris.New("reply frame expected")
	}
	return reply, nil
}

// ErrNotSent reports that no byte of a call was written.
var ErrNotSent = eris.New("call not sent")

// Handler answers one call. Its context ends when the caller gives up.
type Handler func(ctx context.Context, call *peerv1.Call) *peerv1.Reply

// ServeCalls answers calls until the connection ends, one goroutine for each.
func (l *Link) ServeCalls(handler Handler) {
	for {
		stream, err := l.conn.AcceptStream(l.conn.Context())
		if err != nil {
			return
		}
		go l.serveCall(stream, handler)
	}
}

func (l *Link) serveCall(stream *quic.Stream, handler Handler) {
	defer stream.CancelRead(0)
	defer func() { _ = stream.Close() }()
	f, size, err := ReadFrame(bufio.NewReader(stream))
	if err != nil || f.GetCall() == nil {
		l.stats.failed(err)
		stream.CancelRead(quic.StreamErrorCode(codeProtocolError))
		stream.CancelWrite(quic.StreamErrorCode(codeProtocolError))
		return
	}
	l.stats.received(f, size)
	reply := handler(stream.Context(), f.GetCall())
	_ = l.writeOne(stream, &peerv1.Frame{Body: &peerv1.Frame_Reply{Reply: reply}})
}

func (l *Link) writeOne(stream *quic.Stream, f *peerv1.Frame) error {
	b := AppendFrame(nil, f)
	if _, err := stream.Write(b); err != nil {
		return eris.Wrap(err, "write frame")
	}
	l.stats.sent(f, len(b))
	return nil
}

package link

import (
	"bufio"
	"context"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Call sends one request on its own stream and waits for the reply. If the error is
// ErrNotSent the request did not reach the peer; after any other error it may have.
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
	if err := l.writeFrame(stream, &peerv1.Frame{Body: &peerv1.Frame_Call{Call: call}}); err != nil {
		return nil, err
	}
	// A stream that is not closed would count against the peer's stream limit for ever. An
	// error means that the peer has already replied and ended the stream.
	_ = stream.Close()
	f, size, err := ReadFrame(bufio.NewReader(stream))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	l.stats.recordReceived(f, size)
	reply := f.GetReply()
	if reply == nil {
		return nil, eris.New("unexpected frame in place of a reply")
	}
	return reply, nil
}

// ErrNotSent reports that no byte of a call was sent.
var ErrNotSent = eris.New("call not sent")

// Handler handles one call and returns its reply. ctx is cancelled when the peer abandons
// the call.
type Handler func(ctx context.Context, call *peerv1.Call) *peerv1.Reply

// ServeCalls serves calls until the connection ends, each in its own goroutine.
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
		l.stats.recordReadError(err)
		stream.CancelRead(quic.StreamErrorCode(errorCodeProtocol))
		stream.CancelWrite(quic.StreamErrorCode(errorCodeProtocol))
		return
	}
	l.stats.recordReceived(f, size)
	reply := handler(stream.Context(), f.GetCall())
	_ = l.writeFrame(stream, &peerv1.Frame{Body: &peerv1.Frame_Reply{Reply: reply}})
}

func (l *Link) writeFrame(stream *quic.Stream, f *peerv1.Frame) error {
	b := AppendFrame(nil, f)
	if _, err := stream.Write(b); err != nil {
		return eris.Wrap(err, "write frame")
	}
	l.stats.recordSent(f, len(b))
	return nil
}

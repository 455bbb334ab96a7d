package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// MaxFrameSize is the largest encoded frame in bytes.
const MaxFrameSize = 4 << 20

// ErrFrameTooLarge reports a frame above MaxFrameSize.
var ErrFrameTooLarge = eris.New("frame exceeds 4 MiB")

// AppendFrame appends the length and the encoding of f to b.
func AppendFrame(b []byte, f *peerv1.Frame) []byte {
	b = binary.AppendUvarint(b, uint64(proto.Size(f)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the ports refuse.
		panic(err)
	}
	return b
}

// ReadFrame reads one frame and returns it with its size on the wire in bytes.
// A frame without a body is an error.
func ReadFrame(r *bufio.Reader) (*peerv1.Frame, int, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if size > MaxFrameSize {
		return nil, 0, ErrFrameTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, 0, eris.Wrap(err, "read frame")
	}
	f := &peerv1.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, 0, eris.Wrap(err, "decode frame")
	}
	if f.GetBody() == nil {
		return nil, 0, eris.New("frame without body")
	}
	return f, int(size) + uvarintSize(size), nil
}

func uvarintSize(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// MaxFrameSize is the largest encoded frame in bytes.
const MaxFrameSize = 4 << 20

// ErrMalformed reports input that is not a valid frame.
var ErrMalformed = eris.New("malformed frame")

// AppendFrame appends f to b, encoded with a length prefix.
func AppendFrame(b []byte, f *peerv1.Frame) []byte {
	b = binary.AppendUvarint(b, uint64(proto.Size(f)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the caller port and the peer port
		// refuse on input.
		panic(err)
	}
	return b
}

// ReadFrame reads one frame and returns it with its size on the wire in bytes. The error is
// ErrMalformed if the input is not a complete frame with a body.
func ReadFrame(r *bufio.Reader) (*peerv1.Frame, int, error) {
	size, err := binary.ReadUvarint(r)
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, 0, eris.Wrap(ErrMalformed, "truncated length prefix")
	case err != nil:
		return nil, 0, err
	case size > MaxFrameSize:
		return nil, 0, eris.Wrapf(ErrMalformed, "frame of %d bytes exceeds the limit of %d", size, MaxFrameSize)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, 0, readError(err)
	}
	f := &peerv1.Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, 0, eris.Wrap(ErrMalformed, err.Error())
	}
	if f.GetBody() == nil {
		return nil, 0, eris.Wrap(ErrMalformed, "frame has no body")
	}
	return f, int(size) + uvarintLen(size), nil
}

// readError returns ErrMalformed if the peer ended its stream within a frame.
func readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return eris.Wrap(ErrMalformed, "truncated frame")
	}
	return eris.Wrap(err, "read frame")
}

func uvarintLen(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

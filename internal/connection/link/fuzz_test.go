package link

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Any frame that ReadFrame accepts must be equal after it is encoded and read again, and
// its reported size must fit the bytes that were read.
func FuzzReadFrame(f *testing.F) {
	start := &peerv1.Frame{Body: &peerv1.Frame_Start{Start: &peerv1.Start{Id: &peerv1.AttemptID{Incarnation: 7, Sequence: 9}}}}
	f.Add(AppendFrame(nil, start))
	f.Add(AppendFrame(nil, &peerv1.Frame{Body: &peerv1.Frame_Goodbye{Goodbye: &peerv1.Goodbye{}}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, size, err := ReadFrame(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		if size > len(b)+9 {
			t.Errorf("frame of %d bytes was read from %d bytes of input", size, len(b))
		}
		again, _, err := ReadFrame(bufio.NewReader(bytes.NewReader(AppendFrame(nil, frame))))
		if err != nil || !proto.Equal(frame, again) {
			t.Errorf("frame %v was decoded as %v after encoding: %v", frame, again, err)
		}
	})
}

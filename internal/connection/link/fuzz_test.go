package link

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// A frame that is read is written again as an equal frame, and reading never
// takes more bytes than it says.
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
			t.Errorf("frame of %d bytes was read from %d", size, len(b))
		}
		again, _, err := ReadFrame(bufio.NewReader(bytes.NewReader(AppendFrame(nil, frame))))
		if err != nil || !proto.Equal(frame, again) {
			t.Errorf("frame %v was read again as %v: %v", frame, again, err)
		}
	})
}

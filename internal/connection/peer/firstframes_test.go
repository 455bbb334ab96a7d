package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// receiveFirst returns the result of ReceiveFirst for input that is followed by silence.
func receiveFirst(t *testing.T, memory *FirstFrames, input []byte) (*Frame, error) {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() { _ = there.Close() })
	go func() {
		_, _ = there.Write(input)
		_, _ = io.Copy(io.Discard, there)
	}()
	link := NewLink(here, nil)
	defer link.Close()
	return link.ReceiveFirst(memory)
}

func encodeFrame(t *testing.T, f *Frame) []byte {
	t.Helper()
	body, err := cbor.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// TestFirstFramesAreBounded guards against first frames, whose senders are not known, that take the memory
// of the process: by their number, or by items that are much larger once they are decoded.
func TestFirstFramesAreBounded(t *testing.T) {
	memory := NewFirstFrames(64 << 10)
	hello := func(runs int) []byte {
		return encodeFrame(t, &Frame{Hello: &Hello{Name: "a", Runs: make([]task.Attempt, runs)}})
	}
	if f, err := receiveFirst(t, memory, hello(10)); err != nil || f.Hello == nil || len(f.Hello.Runs) != 10 {
		t.Fatalf("ordinary hello: %v", err)
	}
	if _, err := receiveFirst(t, NewFirstFrames(1<<20), hello(maxFirstFrameItems+1)); err == nil {
		t.Error("a hello of too many runs was accepted")
	}
	if _, err := receiveFirst(t, memory, hello(maxFirstFrameItems)); err == nil {
		t.Error("a hello beyond the memory was accepted")
	}
	if memory.used != 0 {
		t.Errorf("%d bytes are charged without a frame", memory.used)
	}
	full := memory.charge()
	if !full.grow(64 << 10) {
		t.Fatal("the memory cannot be used")
	}
	if _, err := receiveFirst(t, memory, hello(10)); err != nil {
		t.Errorf("an ordinary hello beside large ones: %v", err)
	}
	if _, err := receiveFirst(t, memory, append([]byte{0, 0, 0xff, 0xff}, bytes.Repeat([]byte{0}, 0xffff)...)); err == nil {
		t.Error("a large first frame beside others was accepted")
	}
}

package peer

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// receiveBody passes one frame with the given body to a link.
func receiveBody(body []byte) (*Frame, error) {
	link := &Link{conn: &bytesConn{}, done: make(chan struct{})}
	link.reader = newReader(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)))
	return link.Receive()
}

// An odd frame must end its link at once with an error, and not the process.
func TestOddFrameEndsOnlyItsLink(t *testing.T) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	odd := map[string][]byte{
		"empty":                 {},
		"10,000 levels":         append(bytes.Repeat([]byte{0x81}, 10_000), 0x80),
		"1,000,000 levels":      append(bytes.Repeat([]byte{0x81}, 1_000_000), 0x80),
		"levels in a field":     append(append([]byte{0xa1, 0x04}, bytes.Repeat([]byte{0x81}, 1_000_000)...), 0x80),
		"endless array":         {0xa1, 0x04, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"endless text":          {0xa1, 0x01, 0xa1, 0x01, 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"negative incarnation":  encode(map[int]any{1: map[int]any{2: -1}}),
		"fraction":              encode(map[int]any{12: 1.5}),
		"number beyond 64 bits": encode(map[int]any{9: 1e30}),
		"text for a number":     encode(map[int]any{12: "1"}),
		"number for a text":     encode(map[int]any{1: map[int]any{1: 7}}),
		"invalid UTF-8":         encode(map[int]any{1: map[int]any{1: "\xff"}}),
		"list for a frame":      encode([]int{1}),
		"trailing bytes":        append(encode(map[int]any{}), 0x00),
	}
	for name, body := range odd {
		begun := time.Now()
		if f, err := receiveBody(body); err == nil {
			t.Errorf("%s: received %+v", name, f)
		} else if len(err.Error()) > 1000 {
			t.Errorf("%s: the error has %d bytes", name, len(err.Error()))
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("%s: refused after %v", name, took)
		}
	}
	for name, v := range map[string]any{
		"duplicate key": cbor.RawMessage{0xa2, 0x0c, 0x01, 0x0c, 0x02},
		"null":          nil,
		"long text":     map[int]any{1: map[int]any{1: strings.Repeat("x", 1<<20)}},
	} {
		if _, err := receiveBody(encode(v)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

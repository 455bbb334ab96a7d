package peer

import (
	"bytes"
	"encoding/binary"
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// FuzzReceive passes arbitrary bytes to a link, which must return frames or an error.
func FuzzReceive(f *testing.F) {
	for _, frame := range []Frame{
		{},
		{Hello: &Hello{Name: "a", Incarnation: 1, Runs: []task.Attempt{{Key: task.Key{Job: "j"}, Run: 1}}}},
		{Entries: &Entries{Revision: 3, Complete: true, Present: []Entry{{Name: "e", Address: "10.0.0.1:1"}}}},
		{Starts: []Start{{Attempt: task.Attempt{Key: task.Key{Job: "j"}, Run: 1}}}, Results: []Result{{Number: 1, Outcome: OutcomeDone}}},
		{Starts: []Start{{Need: task.Resources{CPU: math.MaxInt64, MemoryMB: -1}, Expected: -1}}},
		{Target: &Target{Capacity: task.Resources{CPU: math.MaxInt64}}, Room: &Room{Free: task.Resources{CPU: math.MinInt64}}},
	} {
		body, err := cbor.Marshal(&frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, []byte("x"))
	for _, body := range [][]byte{
		append(bytes.Repeat([]byte{0x81}, 100), 0x80),
		{0xa1, 0x04, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		{0xa1, 0x01, 0xa1, 0x01, 0x61, 0xff},
		{0xa2, 0x0c, 0x01, 0x0c, 0x02},
		{0xa1, 0x09, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0}, // an infinite number
	} {
		f.Add(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body)
	}
	f.Fuzz(func(t *testing.T, head, body []byte) {
		link := &Link{conn: &bytesConn{}, done: make(chan struct{})}
		link.reader = newReader(bytes.NewReader(append(head, body...)))
		for {
			frame, err := link.Receive()
			if err != nil {
				return
			}
			for _, s := range frame.Starts {
				if s.Need.Validate() != nil || s.Expected < 0 {
					t.Errorf("received the start %+v", s)
				}
			}
		}
	})
}

// FuzzMerge merges two arbitrary frames; no start or result may be lost.
func FuzzMerge(f *testing.F) {
	f.Add([]byte{0xa0}, []byte{0xa0})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var a, b Frame
		if cbor.Unmarshal(first, &a) != nil || cbor.Unmarshal(second, &b) != nil {
			return
		}
		starts, results := len(a.Starts)+len(b.Starts), len(a.Results)+len(b.Results)
		a.merge(b)
		if len(a.Starts) != starts || len(a.Results) != results {
			t.Errorf("%d starts and %d results, want %d and %d", len(a.Starts), len(a.Results), starts, results)
		}
	})
}

// bytesConn is a connection that supports only SetReadDeadline.
type bytesConn struct{ net.Conn }

func (*bytesConn) SetReadDeadline(time.Time) error { return nil }

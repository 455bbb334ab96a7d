package runs

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// FuzzReceive passes two arbitrary frames of an entry to an agent.
func FuzzReceive(f *testing.F) {
	attempt := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
	for _, frame := range []peer.Frame{
		{Starts: []peer.Start{{Attempt: attempt, Need: task.Resources{CPU: 100}, Incarnation: 1}}},
		{Stops: []task.Attempt{attempt}, CancelJobs: []string{"j"}, AckedResults: 7, Echo: 1 << 40},
		{Claims: &peer.Claims{Attempts: []peer.Claim{{Attempt: attempt}}}, Policy: &peer.Policy{Revision: 2, Out: []string{"dc1"}}},
	} {
		body, err := cbor.Marshal(&frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, body)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		target := newFakeTarget()
		m := New(Options{Log: zerolog.Nop(), Counters: metrics.New(), Dial: func(Announcement) TargetClient { return target }, TargetLease: testLease})
		done := make(chan struct{})
		defer close(done)
		go m.Run(done)
		m.Announce(Announcement{ID: "t", Incarnation: 1, DataCentre: "dc1", Capacity: testCapacity})
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		link := peer.NewLink(here, nil)
		defer link.Close()
		m.Connect(&peer.Hello{Name: "e", Incarnation: 7}, "e:1", link)
		for startTime := time.Now(); !m.IsReady() && time.Since(startTime) < time.Second; {
			time.Sleep(100 * time.Microsecond)
		}
		for _, body := range [][]byte{first, second} {
			frame := &peer.Frame{}
			if cbor.Unmarshal(body, frame) != nil {
				return
			}
			m.Receive(7, link, frame)
			m.Sweep()
		}
	})
}

package scheduler

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
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// FuzzReceive passes two arbitrary frames of an agent to an entry with a job in
// progress.
func FuzzReceive(f *testing.F) {
	attempt := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
	for _, frame := range []peer.Frame{
		{Hello: &peer.Hello{Name: "a", Runs: []task.Attempt{attempt}}, Target: &peer.Target{Pool: "p", Available: true, Capacity: task.Resources{CPU: 8000}}, Room: &peer.Room{Free: task.Resources{CPU: 8000}}},
		{Results: []peer.Result{{Number: 1, Attempt: attempt, Outcome: peer.OutcomeFailed}}, Accepted: 1},
		{Progress: []peer.Progress{{Attempt: attempt, Percent: 3, Pace: -1}}, CancelJobs: []string{"j"}},
		{Policy: &peer.Policy{Revision: 9, Out: []string{"dc1"}}},
	} {
		body, err := cbor.Marshal(&frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, body)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		view := &policy.View{}
		queue := &policy.Queue{Name: "q", Pool: "p", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
		s := New(Options{
			Log:           zerolog.Nop(),
			Counters:      metrics.New(),
			View:          view,
			TargetLease:   testLease,
			Random:        func() float64 { return 0 },
			Entries:       func() int { return 1 },
			OnNewerPolicy: func(p *peer.Policy) { view.ApplyOutages(&policy.Outages{Revision: p.Revision, Out: p.Out}) },
		})
		here, there := net.Pipe()
		defer func() { _ = there.Close() }()
		go func() { _, _ = io.Copy(io.Discard, there) }()
		link := peer.NewLink(here, nil)
		defer link.Close()
		s.Connect(&peer.Hello{Name: "a"}, link)
		s.Submit(&task.Job{
			ID:       "j",
			Queue:    "q",
			Steps:    []task.Step{{Count: 2, Need: task.Resources{CPU: 1000}}},
			Arrived:  time.Now(),
			Deadline: time.Now().Add(time.Second),
		}, queue, connected)
		for _, body := range [][]byte{first, second} {
			frame := &peer.Frame{}
			if cbor.Unmarshal(body, frame) != nil {
				return
			}
			s.Receive("a", link, frame)
			s.Sweep()
		}
	})
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// BenchmarkChoose places one task among a thousand targets of unequal speed.
func BenchmarkChoose(b *testing.B) {
	queue := &policy.Queue{Name: "q", Pool: "p"}
	s := New(Options{Log: zerolog.Nop(), Counters: metrics.New(), View: &policy.View{}, Random: func() float64 { return 0.5 }})
	for i := range 1000 {
		name := fmt.Sprintf("t%d", i)
		s.targets[name] = &target{
			name: name, link: &peer.Link{}, lastFrameAt: time.Hour, reportedFree: task.Resources{CPU: int64(i * 32)},
			info: peer.Target{Pool: "p", Available: true, Capacity: task.Resources{CPU: 32000}},

			reconciled: true, slowdown: []float64{0.7, 1.6}[i%2],
		}
	}
	s.unequalSpeeds = true
	it := &item{job: &job{queue: queue, objective: time.Second, latestStart: time.Second, fastest: 0.7}, expected: time.Second / 2, step: &task.Step{Need: task.Resources{CPU: 3000}}}
	r := s.newRound()
	b.ReportAllocs()
	for b.Loop() {
		if s.choose(it, r) == nil {
			b.Fatal("no target")
		}
	}
}

// BenchmarkMustYield decides for one task whether it yields, with demand at a thousand
// targets.
func BenchmarkMustYield(b *testing.B) {
	queue := &policy.Queue{Name: "q", Pool: "p", Priority: 2}
	s := New(Options{Log: zerolog.Nop(), Counters: metrics.New(), View: &policy.View{}, Random: func() float64 { return 0.5 }})
	for i := range 1000 {
		t := &target{
			name: fmt.Sprintf("t%d", i), link: &peer.Link{}, lastFrameAt: time.Hour, reportedFree: task.Resources{CPU: 1000},
			info: peer.Target{Pool: "p", Available: true, Capacity: task.Resources{CPU: 32000}},

			reconciled: true, slowdown: 1,
		}
		s.targets[t.name] = t
		s.updateOthersDemand(t, task.Demand{}.Add(0, 3000).Add(1, 2000))
	}
	it := &item{job: &job{queue: queue, spec: &task.Job{ID: "j"}}, step: &task.Step{Need: task.Resources{CPU: 3000}}}
	r := s.newRound()
	b.ReportAllocs()
	for b.Loop() {
		if !s.mustYield(it, r) {
			b.Fatal("does not yield")
		}
	}
}

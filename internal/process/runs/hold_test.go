package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// waiting sends a start that may wait for capacity.
func (h *harness) waiting(index int, need task.Resources, wait time.Duration) task.Attempt {
	a := task.Attempt{Key: task.Key{Job: "w", Index: index}, Run: 1}
	h.entry.Send(peer.Frame{Starts: []peer.Start{{
		Attempt: a, Need: need, Incarnation: 1, Expected: 100 * time.Millisecond, WaitFor: wait,
	}}})
	return a
}

// An entry places by data that is some ten milliseconds old: a start that finds the target full begins
// when a run ends, without a further message.
func TestHeldStartBeginsWhenRunEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		first := h.start(0, 1, testCapacity)
		h.waitStarted(first)
		time.Sleep(60 * time.Millisecond)
		held := h.waiting(0, testCapacity, 100*time.Millisecond)
		h.expectNoResult(held, 30*time.Millisecond)
		h.target.end(first, peer.OutcomeDone)
		h.waitStarted(held)
	})
}

// A start that no run will make room for in time must not lose time here.
func TestStartIsRefusedAtOnceIfNoRunEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, testCapacity))
		begun := time.Now()
		refused := h.waiting(0, testCapacity, 50*time.Millisecond)
		r := h.waitOutcome(refused, peer.OutcomeRefused)
		if took := time.Since(begun); r.Refusal != peer.RefusalNoCapacity || took > 20*time.Millisecond {
			t.Errorf("refused for %q after %v", r.Refusal, took)
		}
	})
}

// Its entry has given a held start up by the time that a paused agent goes on.
func TestHeldStartDoesNotBeginAfterItsTime(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(*harness, task.Attempt)
		want peer.Refusal
	}{
		{"the run goes on", func(*harness, task.Attempt) { time.Sleep(150 * time.Millisecond) }, peer.RefusalNoCapacity},
		{"the agent is paused", func(h *harness, _ task.Attempt) { h.expireOwnerLease() }, peer.RefusalNoCapacity},
		{"its entry stops it", func(h *harness, a task.Attempt) { h.entry.Send(peer.Frame{Stops: []task.Attempt{a}}) }, peer.RefusalStopped},
		{"its job is cancelled", func(h *harness, _ task.Attempt) { h.entry.Send(peer.Frame{CancelJobs: []string{"w"}}) }, peer.RefusalCancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				first := h.start(0, 1, testCapacity)
				h.waitStarted(first)
				held := h.waiting(0, testCapacity, 120*time.Millisecond)
				h.expectNoResult(held, 10*time.Millisecond)
				c.act(h, held)
				if r := h.waitOutcome(held, peer.OutcomeRefused); r.Refusal != c.want {
					t.Errorf("refused for %q, want %q", r.Refusal, c.want)
				}
				h.target.end(first, peer.OutcomeDone)
				time.Sleep(50 * time.Millisecond)
				if n := h.target.startsOf(held); n != 0 {
					t.Errorf("started %d times after it was refused", n)
				}
			})
		})
	}
}

// The link of an entry breaks while a start of it is held: the entry takes an attempt that the agent
// does not list for lost, and starts its task elsewhere.
func TestHeldStartEndsWithItsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		first := h.start(0, 1, testCapacity)
		h.waitStarted(first)
		held := h.waiting(0, testCapacity, 120*time.Millisecond)
		h.expectNoResult(held, 10*time.Millisecond)
		h.entry.Close()
		time.Sleep(5 * time.Millisecond)
		h.target.end(first, peer.OutcomeDone)
		time.Sleep(50 * time.Millisecond)
		if n := h.target.startsOf(held); n != 0 {
			t.Errorf("started %d times without its link", n)
		}
	})
}

// Runs take twice as long here as on the average target; one in ten takes far longer.
func TestSpeedOfTargetIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for i := range 40 {
			a := task.Attempt{Key: task.Key{Job: "s", Index: i}, Run: 1}
			h.entry.Send(peer.Frame{Starts: []peer.Start{{
				Attempt: a, Need: task.Resources{CPU: 100}, Incarnation: 1, Expected: 100 * time.Millisecond, Average: 50 * time.Millisecond,
			}}})
			h.waitStarted(a)
			length := 100 * time.Millisecond
			if i%10 == 9 {
				length *= 7
			}
			time.Sleep(length)
			h.target.end(a, peer.OutcomeDone)
			h.waitOutcome(a, peer.OutcomeDone)
		}
		f := h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Slowdown > 0 })
		if s := f.Target.Slowdown; s < 190 || s > 215 {
			t.Errorf("slowdown %d %%, want about 200", s)
		}
	})
}

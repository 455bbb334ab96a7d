package runs

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// The tests of this file each fail without one guard of docs/design/guards.md.

// expectRefusedAsUnavailable fails the test unless the first result of an attempt refuses it.
func (h *harness) expectRefusedAsUnavailable(a task.Attempt) {
	h.t.Helper()
	f := h.waitFor(func(f *peer.Frame) bool {
		return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == a })
	})
	if r := f.Results[0]; r.Outcome != peer.OutcomeRefused || r.Refusal != peer.RefusalUnavailable {
		h.t.Errorf("the start was answered by %v (%q), want a refusal as unavailable", r.Outcome, r.Refusal)
	}
	if n := h.target.startsOf(a); n > 0 {
		h.t.Errorf("the task was started %d times", n)
	}
}

// The target restarts while a start for its former incarnation is on its way to the agent.
func TestStartForFormerIncarnationIsNotExecutedByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newInterruptedHarness(t)
		a := h.startAt(1)
		h.expectRefusedAsUnavailable(a)
	})
}

// The target executes the polls that renew its lease, and their answers are lost.
func TestRunIsNotLostUnderALeaseWhoseRenewalWasNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.pollsUnanswered = true })
		h.waitOutcome(a, peer.OutcomeLost)
		if h.target.isRunning(a) {
			t.Error("the run is reported as lost and goes on")
		}
	})
}

// A target deregisters, answers polls and goes on with its run.
func TestRunOfDeregisteredTargetEndsByItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.manager.Deregister("t1", 1)
		h.expectEndWithin(a, h.manager.targetLease())
	})
}

// The connection of an entry breaks, as when its process ends.
func TestRunOfEntryWithBrokenLinkIsStoppedBeforeItsLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.entry.Close()
		h.expectEndWithin(a, peer.BrokenLinkLease+50*time.Millisecond)
	})
}

// A start has waited in a buffer for longer than the lease of its entry, and for less than the
// limit of a run.
func TestStartOfEntryWithoutLeaseIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.suspend(peer.OwnerLease + 50*time.Millisecond)
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		h.receive(7, peer.Frame{Starts: []peer.Start{{Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: 1}}})
		h.expectRefusedAsUnavailable(a)
	})
}

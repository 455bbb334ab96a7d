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

// The first order of a run is delayed, and its stop arrives and is rejected before the order is
// repeated.
func TestStartIsNotRepeatedAfterItsStopIsRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts, h.target.stopsToReject = 1, true, 3
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.receive(7, peer.Frame{Stops: []task.Attempt{a}})
			}
		})
		h.start(0, 1, task.Resources{CPU: 1000})
		time.Sleep(orderTimeout)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("the task was started %d times after its stop was requested", n)
		}
		h.waitOutcome(a, peer.OutcomeRefused)
	})
}

// startAtUnannouncedIncarnation starts a run that another incarnation of the target executes, which
// has not announced itself and rejects stop orders.
func (h *harness) startAtUnannouncedIncarnation() task.Attempt {
	h.target.set(func() {
		h.target.stopsToReject = 1000
		h.target.beforeStart = func() {
			h.target.restart()
			h.target.startsByOther, h.target.pollsByOther = true, true
		}
	})
	a := h.start(0, 1, task.Resources{CPU: 1000})
	h.waitRunning(a)
	time.Sleep(2 * pollBackoff)
	return a
}

// The last report of the former incarnation is read after the next one has executed a start.
func TestRunAtUnannouncedIncarnationIsNotLostByReportOfTheFormer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		sent, token, former := time.Now(), h.token(), h.manager.target
		a := h.startAtUnannouncedIncarnation()
		h.manager.handleReport(former, Report{}, token, sent)
		h.expectNoResult(a, testLease/2)
		if !h.target.isRunning(a) {
			t.Error("the run has ended: the test shows nothing")
		}
	})
}

// The polls that such a target executes, and the agent does not count, must not extend its lease.
func TestRunAtUnannouncedIncarnationIsNotLostUnderARenewedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.startAtUnannouncedIncarnation()
		h.waitOutcome(a, peer.OutcomeLost)
		if h.target.isRunning(a) {
			t.Error("the run is reported as lost and goes on")
		}
	})
}

// A report that was on its way when a start was executed does not list the run.
func TestRunIsNotLostByReportOlderThanItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		sent, token := time.Now(), h.token()
		time.Sleep(time.Millisecond)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.manager.handleReport(h.manager.target, Report{}, token, sent)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

// The announcement of an earlier incarnation arrives late, while a run is in progress.
func TestDelayedAnnouncementDoesNotEndRunOfLaterIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newInterruptedHarness(t)
		a := h.startAt(2)
		h.waitStarted(a)
		h.announce(Announcement{Incarnation: 1, Sequence: 900})
		h.expectNoResult(a, 100*time.Millisecond)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

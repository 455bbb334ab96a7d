package runs

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

func TestRunEndsOnceAndFreesItsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, testCapacity)
		h.waitStarted(a)
		full := h.start(1, 1, task.Resources{CPU: 1})
		if r := h.waitOutcome(full, peer.OutcomeRefused); r.Refusal != peer.RefusalNoCapacity {
			t.Errorf("refused for %q, want room", r.Refusal)
		}
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Free == testCapacity })
	})
}

// The target executes a start order, but its answer is lost.
func TestUnansweredStartIsNotStartedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered = 2 })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		if n := h.target.startsOf(a); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// No start order is answered, and all arrive long after the attempt has been reported as
// not run. They must be fenced.
func TestDelayedStartIsFencedAfterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.delayStarts = 100, true })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnanswered {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.target.set(func() {
			for _, deliver := range h.target.delayedStarts {
				deliver()
			}
		})
		if n := h.target.startsOf(a); n != 0 {
			t.Errorf("a late order started the attempt after it was reported as not run")
		}
	})
}

// The target crashes and restarts under the same ID: the runs of the former incarnation
// are lost.
func TestRestartedTargetLosesRunsOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.restart()
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitOutcome(a, peer.OutcomeLost)
		if h.announce(Announcement{Incarnation: 1, Sequence: 99}) {
			t.Error("a delayed announcement of the former incarnation is accepted")
		}
	})
}

// The target restarts under the same ID, and a start order reaches the new incarnation
// before its first report. Found by the soak test with seed 107.
func TestStartExecutedByLaterIncarnationIsStoppedBeforeItIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsByOther = true })
		h.target.restart()
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitResult(a, peer.OutcomeLost, peer.OutcomeStopped)
		h.target.set(func() {
			if h.target.isRunning(a) || len(h.target.starts) != 1 {
				t.Errorf("running %v after the report, starts %v", h.target.running(), h.target.starts)
			}
		})
	})
}

// Clocks were set back before the target restarted, so its new incarnation has a lower
// number. Its announcements must not be rejected as outdated for ever.
func TestIncarnationWithEarlierClockIsAcceptedOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		if h.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Fatal("a delayed announcement of an earlier incarnation is accepted while the current one answers")
		}
		h.target.set(func() { h.target.pollsByOther = true })
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		h.target.set(func() { h.target.pollsByOther = false })
		if !h.announce(Announcement{Incarnation: 0, Sequence: 1}) {
			t.Error("the announcement of the incarnation that answers is not accepted")
		}
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
	})
}

// A delayed order to the former incarnation of the target reaches the new one.
func TestDelayedOrderAtNewIncarnationIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.restart()
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Incarnation == 2 && f.Target.Available })
		late := task.Attempt{Key: task.Key{Job: "late"}, Run: 1}
		h.target.place(late)
		for deadline := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			running := h.target.isRunning(late)
			if !running {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("a run that no entry requested continues")
			}
		}
	})
}

func TestDrainingTargetGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.announce(Announcement{Incarnation: 1, Sequence: 2, Draining: true})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.announce(Announcement{Incarnation: 1, Sequence: 1})
		b := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitOutcome(b, peer.OutcomeRefused)
	})
}

// An entry without access to the store sends work to a data centre that is out of
// service; the agent has received the policy from another entry.
func TestStartInDataCentreOutOfServiceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 9, Out: []string{"dc1"}}})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.entry.Send(peer.Frame{Policy: &peer.Policy{Revision: 8}})
		b := h.start(1, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(b, peer.OutcomeRefused); r.Refusal != peer.RefusalDataCentreOut {
			t.Errorf("an older policy was taken: %q", r.Refusal)
		}
	})
}

// The target does not answer. Its runs may be reported as lost only when its lease on
// them has certainly expired, and nothing may renew the lease meanwhile.
func TestRunsOfUnresponsiveTargetAreLostAfterItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.unresponsive = true })
		startTime := time.Now()
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		h.waitOutcome(a, peer.OutcomeLost)
		if took := time.Since(startTime); took < testLease {
			t.Errorf("lost after %v, the lease is %v", took, testLease)
		}
	})
}

// A target crashes and its machine resets each connection at once, while the orders of 20
// tasks are in progress. Each call opens a connection, so their number must be bounded.
func TestRetriesToFailingTargetAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.unresponsive = true })
		const tasks = 20
		for n := range tasks {
			h.start(n, 1, task.Resources{CPU: 100})
		}
		ended := 0
		h.waitFor(func(f *peer.Frame) bool {
			ended += len(f.Results)
			return ended == tasks
		})
		// The tries of each order, and the polls until the lease has expired.
		const maxCalls = tasks*startTries + 40
		h.target.set(func() {
			if h.target.calls > maxCalls {
				t.Errorf("%d calls of a target that is down, want at most %d", h.target.calls, maxCalls)
			}
		})
	})
}

// A target fails each task immediately, so that it always has the most free capacity. The
// first failure must put it on probation, and a success of a run that started before the
// failure must not end the probation.
func TestFirstFailurePutsTargetOnProbation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		older := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(older)
		time.Sleep(5 * time.Millisecond)
		a := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.end(a, peer.OutcomeFailed)
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Probation })
		h.target.end(older, peer.OutcomeDone)
		f := h.waitFor(func(f *peer.Frame) bool {
			return slices.ContainsFunc(f.Results, func(r peer.Result) bool { return r.Attempt == older && r.Outcome == peer.OutcomeDone })
		})
		if !f.Room.Probation {
			t.Error("a run started before the failure ended the probation")
		}
	})
}

// A target on probation offers its probe to one entry at a time.
func TestProbeIsOfferedToOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.connect(8)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.end(a, peer.OutcomeFailed)
		h.waitOutcome(a, peer.OutcomeFailed)
		time.Sleep(firstProbeDelay)
		offers := 0
		h.manager.mu.Lock()
		for _, o := range h.manager.owners {
			if h.manager.roomLocked(o).Probe {
				offers++
			}
		}
		h.manager.mu.Unlock()
		if offers != 1 {
			t.Errorf("%d entries may send a probe, want 1", offers)
		}
	})
}

// The data centre is taken out of service between a start order and its repetition.
func TestStartIsNotRepeatedInDataCentreOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts = 1, true
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.manager.mu.Lock()
				defer h.manager.mu.Unlock()
				h.manager.policy.Out = []string{"dc1"}
			}
		})
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitOutcome(a, peer.OutcomeRefused)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times in a data centre out of service", n)
		}
	})
}

// The address known at the start was that of nobody. Heartbeats of the same incarnation named the
// right one, but the agent dialled the first one for as long as the target lived.
func TestHeartbeatReplacesAddressThatNeverAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, target := newFakeTarget(), newFakeTarget()
		silent.refuses = true
		h := &harness{t: t, target: target}
		h.manager = New(Options{Log: zerolog.Nop(), Counters: metrics.New(), TargetLease: testLease,
			Dial: func(a Announcement) TargetClient {
				if a.Address == "10.0.0.1:80" {
					return target
				}
				return silent
			},
		})
		h.run()
		h.announce(Announcement{Incarnation: 1, Address: "10.0.0.9:80"})
		time.Sleep(time.Second)
		if !h.announce(Announcement{Incarnation: 1, Sequence: 1, Address: "10.0.0.1:80"}) {
			t.Error("the heartbeat is ignored")
		}
		time.Sleep(time.Second)
		if !h.manager.IsReady() {
			t.Error("the target has not been polled at the address that it announced")
		}
	})
}

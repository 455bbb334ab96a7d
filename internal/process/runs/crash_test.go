package runs

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// refuse makes the target end without notice: its runs are gone and nothing listens.
func (h *harness) refuse() {
	h.target.set(func() {
		h.target.refuses = true
		h.target.restart()
	})
}

func (h *harness) waitCrash() crash.Report {
	h.t.Helper()
	f := h.waitFor(func(f *peer.Frame) bool { return len(f.Crashes) > 0 })
	return f.Crashes[0]
}

// noCrashWithin fails the test if a crash is reported.
func (h *harness) noCrashWithin(d time.Duration) {
	h.t.Helper()
	time.Sleep(d)
	for {
		select {
		case f := <-h.frames:
			if len(f.Crashes) > 0 {
				h.t.Fatalf("a crash is reported: %+v", f.Crashes)
			}
		default:
			return
		}
	}
}

func (h *harness) startIsolated(job string, exclusiveFor time.Duration) task.Attempt {
	a := task.Attempt{Key: task.Key{Job: job}, Run: 1}
	h.entry.Send(peer.Frame{Starts: []peer.Start{{
		Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: 1, Isolated: true, ExclusiveFor: exclusiveFor,
	}}})
	return a
}

// A task crashes its target: the report must be out long before the lease of the runs has
// expired, and before the task can be started again.
func TestCrashIsReportedWithItsRunsBeforeTheyAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		old := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(old)
		time.Sleep(100 * time.Millisecond)
		young := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitStarted(young)
		crashed := time.Now()
		h.refuse()
		r := h.waitCrash()
		if took := time.Since(crashed); took > 100*time.Millisecond {
			t.Errorf("reported after %v", took)
		}
		if r.ID != (crash.ID{Target: "t1", Incarnation: 1}) || len(r.Runs) != 2 || r.Runs[0].Task != young.Key || r.Runs[1].Task != old.Key {
			t.Errorf("report is %+v", r)
		}
		if r.Runs[1].Age < 100*time.Millisecond || r.Runs[0].Age > 100*time.Millisecond {
			t.Errorf("ages are %v and %v", r.Runs[0].Age, r.Runs[1].Age)
		}
		h.waitOutcome(young, peer.OutcomeLost)
	})
}

// The crash shows only by a new incarnation, and then by a late refusal too: it counts once.
func TestCrashKnownByNewIncarnationCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.restart()
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		if r := h.waitCrash(); r.ID.Incarnation != 1 || len(r.Runs) != 1 {
			t.Errorf("report is %+v", r)
		}
		h.noCrashWithin(time.Second)
	})
}

// A target that drains ends as planned.
func TestPlannedStopIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.announce(Announcement{Incarnation: 1, Sequence: 2, Draining: true})
		h.refuse()
		h.noCrashWithin(time.Second)
	})
}

// Entries judge a crash by how often jobs of each queue begin on the target.
func TestReportOfACrashGivesTheRatesOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for n := range 30 {
			for index := range 2 {
				key := task.Key{Job: fmt.Sprint("j", n), Index: index}
				h.entry.Send(peer.Frame{Starts: []peer.Start{{Attempt: task.Attempt{Key: key, Run: 1}, Queue: "q", Incarnation: 1, Need: task.Resources{CPU: 1}}}})
			}
			time.Sleep(100 * time.Millisecond)
		}
		h.refuse()
		if r := h.waitCrash(); len(r.Rates) != 1 || r.Rates[0].Queue != "q" || math.Abs(r.Rates[0].PerSecond-10) > 1 {
			t.Errorf("rates are %+v", r.Rates)
		}
	})
}

// A start order reaches the address of a target that has just crashed, before the agent knows.
// Its task may not have run there.
func TestOrderOnItsWayToACrashedTargetIsReportedAsUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.target.set(func() {
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.target.refuses = true
				h.target.restart()
			}
		})
		late := h.start(1, 1, task.Resources{CPU: 1000})
		for _, r := range h.waitCrash().Runs {
			if r.Unconfirmed != (r.Task == late.Key) {
				t.Errorf("run %+v", r)
			}
		}
	})
}

// The path to the target is cut and its lease ends the runs; then it restarts. That its tasks
// have crashed it is not certain, and its refusals and its new incarnation do not make it so.
func TestRestartBehindACutCountsAsASilenceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.target.set(func() { h.target.unresponsive = true })
		if r := h.waitCrash(); !r.Silent || len(r.Runs) != 1 {
			t.Errorf("report is %+v", r)
		}
		time.Sleep(unresponsiveAfter)
		h.refuse()
		time.Sleep(unresponsiveAfter)
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.noCrashWithin(time.Second)
	})
}

// A task makes its target hang. Those that are ordered while nobody knows have not run there.
func TestTargetThatHangsIsReportedWithTheRunsBeforeItsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.target.set(func() { h.target.unresponsive = true })
		time.Sleep(20 * time.Millisecond)
		first := h.start(1, 1, task.Resources{CPU: 1000})
		time.Sleep(2 * silenceSpread)
		h.start(2, 1, task.Resources{CPU: 1000})
		r := h.waitCrash()
		if len(r.Runs) != 2 || r.Runs[0].Task != first.Key || r.Runs[0].Age > time.Millisecond {
			t.Errorf("report is %+v", r)
		}
		if at := unresponsiveAfter + 2*pollWait; r.Age < unresponsiveAfter-2*pollWait || r.Age > at {
			t.Errorf("its age is %v", r.Age)
		}
		h.target.set(func() { h.target.unresponsive = false })
		if second := h.waitCrash(); !second.Withdrawn || second.ID != r.ID {
			t.Errorf("report is %+v", second)
		}
	})
}

// This process was paused: its first poll after it is late, and the target is well.
func TestPauseOfTheAgentIsNoSilenceOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.manager.mu.Lock()
		target := h.manager.target
		target.answeredAt = time.Now().Add(-2 * unresponsiveAfter)
		h.manager.mu.Unlock()
		h.manager.pollFailed(target, context.DeadlineExceeded)
		h.noCrashWithin(time.Second)
	})
}

// A cut refuses connections for a moment, and the same incarnation answers again.
func TestCrashIsWithdrawnWhenTheTargetAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.target.set(func() { h.target.refuses = true })
		first := h.waitCrash()
		h.target.set(func() { h.target.refuses = false })
		if second := h.waitCrash(); !second.Withdrawn || second.ID != first.ID {
			t.Errorf("report is %+v", second)
		}
	})
}

// A target was silent for a moment, and then one of its tasks crashes it. The withdrawal of its
// silence must not hide the crash.
func TestCrashAfterAWithdrawnSilenceIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.target.set(func() { h.target.unresponsive = true })
		silence := h.waitCrash()
		h.target.set(func() { h.target.unresponsive = false })
		if r := h.waitCrash(); !r.Withdrawn {
			t.Fatalf("report is %+v", r)
		}
		h.refuse()
		if r := h.waitCrash(); r.Withdrawn || r.Silent || r.ID == silence.ID || len(r.Runs) != 1 {
			t.Errorf("report is %+v", r)
		}
	})
}

// An earlier process of this agent has reported a silence of the target, and ended before the target
// answered again. The report reaches this process from the store or an entry, before or after the
// target's first answer.
func TestSilenceReportedByAnEarlierProcessIsWithdrawn(t *testing.T) {
	for _, when := range []string{"before the first answer", "after it"} {
		t.Run(when, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				silence := crash.Report{
					ID: crash.ID{Target: "t1", Incarnation: 2}, Agent: "agent", Silent: true,
					Runs: []crash.Run{{Task: task.Key{Job: "j"}}},
				}
				if when == "after it" {
					silence.ID.Incarnation = 1
				}
				h.manager.RestoreCrashes([]crash.Report{silence})
				if when == "before the first answer" {
					h.waitCrash()
					h.announce(Announcement{Incarnation: 2, Sequence: 1})
				}
				r := h.waitFor(func(f *peer.Frame) bool { return len(f.Crashes) > 0 && f.Crashes[len(f.Crashes)-1].Withdrawn })
				if got := r.Crashes[len(r.Crashes)-1]; got.ID != silence.ID {
					t.Errorf("report is %+v", got)
				}
			})
		})
	}
}

// The end of a target breaks the poll that it holds, so that its agent notices it at once although
// the latest answer may be much older. Else crashes of tasks are taken for those of one moment.
func TestTimeOfACrashIsCertainWhileAPollIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.manager.mu.Lock()
		target := h.manager.target
		target.answeredAt = time.Now().Add(-pollWait)
		h.manager.mu.Unlock()
		h.manager.pollFailed(target, ErrRefused)
		if r := h.waitCrash(); r.Uncertainty > backoffMin {
			t.Errorf("report is %+v", r)
		}
	})
}

// The entry that started a task is killed right after a crash. The one that its caller turns
// to links later, and must learn of the crash.
func TestEntryThatLinksLaterLearnsOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.refuse()
		want := h.waitCrash()
		h.entry.Close()
		h.connect(8)
		if got := h.waitCrash(); got.ID != want.ID || len(got.Runs) != 1 {
			t.Errorf("report is %+v", got)
		}
	})
}

// An entry starts after the others have released a queue. It learns of the crashes, and must not
// confine the queue alone.
func TestEntryThatLinksLaterLearnsOfReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 1000}))
		h.refuse()
		want := crash.Release{Queue: "k", Latest: h.waitCrash().ID}
		h.entry.Send(peer.Frame{Released: []crash.Release{want}})
		time.Sleep(10 * time.Millisecond)
		h.entry.Close()
		h.connect(8)
		f := h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		if len(f.Released) != 1 || f.Released[0] != want {
			t.Errorf("releases are %+v", f.Released)
		}
	})
}

// A suspect must not take runs of others with it.
func TestIsolatedRunIsKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		shared := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(shared)
		if r := h.waitOutcome(h.startIsolated("suspect", 0), peer.OutcomeRefused); r.Refusal != peer.RefusalIsolation {
			t.Errorf("beside a shared run: refused for %q", r.Refusal)
		}
		h.target.end(shared, peer.OutcomeDone)
		h.waitOutcome(shared, peer.OutcomeDone)
		h.waitStarted(h.startIsolated("suspect", 50*time.Millisecond))
		if r := h.waitOutcome(h.start(1, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalIsolation {
			t.Errorf("shared beside isolated: refused for %q", r.Refusal)
		}
		if r := h.waitOutcome(h.startIsolated("early", 0), peer.OutcomeRefused); r.Refusal != peer.RefusalIsolation {
			t.Errorf("beside a young isolated run: refused for %q", r.Refusal)
		}
		time.Sleep(50 * time.Millisecond)
		h.waitStarted(h.startIsolated("late", 0))
	})
}

// The target's capacity shrinks below what runs there and grows again. A late announcement of
// the former capacity must not bring it over the present one.
func TestNoStartOverACapacityThatHasShrunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 4000})
		h.waitStarted(a)
		h.waitStarted(h.start(1, 1, task.Resources{CPU: 2000}))
		shrunk := Announcement{ID: "t1", DataCentre: "dc1", Incarnation: 1, Sequence: 5, Capacity: task.Resources{CPU: 4000}}
		h.manager.Announce(shrunk)
		late := shrunk
		late.Sequence, late.Capacity = 4, testCapacity
		h.manager.Announce(late)
		if r := h.waitOutcome(h.start(2, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalNoCapacity {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		h.waitStarted(h.start(3, 1, task.Resources{CPU: 2000}))
		grown := shrunk
		grown.Sequence, grown.Capacity = 6, task.Resources{CPU: 6000}
		h.manager.Announce(grown)
		h.waitStarted(h.start(4, 1, task.Resources{CPU: 2000}))
	})
}

// The target's capacity shrinks between a start order without an answer and its repetition.
func TestStartIsNotRepeatedOverACapacityThatHasShrunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.waitStarted(h.start(0, 1, task.Resources{CPU: 4000}))
		h.target.set(func() {
			h.target.startsToLeaveUnanswered, h.target.delayStarts = 1, true
			h.target.beforeStart = func() {
				h.target.beforeStart = nil
				h.manager.mu.Lock()
				defer h.manager.mu.Unlock()
				h.manager.target.Capacity = task.Resources{CPU: 5000}
			}
		})
		a := h.start(1, 1, task.Resources{CPU: 2000})
		h.waitOutcome(a, peer.OutcomeRefused)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times over the capacity", n)
		}
	})
}

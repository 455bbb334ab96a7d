package runs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// latestEnd is the time after the latest echo of an entry by which its runs must have ended.
const latestEnd = 1020*time.Millisecond + 50*time.Millisecond

// With the drift of the target's clock, a run ends before its caller turns to another entry.
func TestRunLimitFollowsTheRetryOfCallers(t *testing.T) {
	for retry, want := range map[time.Duration]time.Duration{
		callerRetry: time.Second, 3 * time.Second: 2666666666, 500 * time.Millisecond: minRunLimit, 0: minRunLimit,
	} {
		if got := runLimit(retry); got != want {
			t.Errorf("limit %v for a retry after %v, want %v", got, retry, want)
		}
	}
}

// expectEndWithin fails the test unless a run ends within a time.
func (h *harness) expectEndWithin(a task.Attempt, limit time.Duration) {
	h.t.Helper()
	begun := time.Now()
	for h.target.isRunning(a) {
		if time.Since(begun) > limit {
			h.t.Errorf("the run goes on %v later", limit)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// An agent is killed with the entry whose run is at its target, and its next process is killed
// soon as well: the run ends by the lease that the first process had renewed.
func TestNewProcessDoesNotRenewRunThatNoEntryClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		h.manager.mu.Lock()
		h.manager.adoptRunLocked(ActiveRun{Attempt: a})
		h.manager.mu.Unlock()
		h.target.place(a)
		time.Sleep(5 * time.Millisecond) // a poll that was in progress may renew
		var before int
		h.target.set(func() { before = h.target.renewals })
		time.Sleep(orphanLease / 2)
		h.target.set(func() {
			if h.target.renewals > before {
				t.Errorf("%d renewals before the run was claimed", h.target.renewals-before)
			}
		})
		h.entry.Send(peer.Frame{Claims: &peer.Claims{Attempts: []peer.Claim{{Attempt: a, Need: task.Resources{CPU: 500}}}}})
		time.Sleep(orphanLease)
		h.target.set(func() {
			if h.target.renewals == before || !h.target.isRunning(a) {
				t.Error("the run was not kept once it was claimed")
			}
		})
	})
}

// The first poll of a process may find runs of an earlier one.
func TestNothingIsRenewedBeforeFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.manager.mu.Lock()
		h.manager.target.reported = false
		h.manager.mu.Unlock()
		if poll := h.manager.nextPoll(h.manager.target, 0); poll.Renew {
			t.Error("a poll before the first report renews the lease")
		}
	})
}

// An entry falls silent, and its run cannot be stopped: the target does not carry out stop orders.
func TestRunOfSilentEntryEndsByLeaseIfItCannotBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.stopsToReject = 1000 })
		close(h.entrySilent)
		h.expectEndWithin(a, latestEnd)
	})
}

// The agent is paused again and again, so that it takes no entry for silent.
func TestRunOfSilentEntryEndsDespitePausesOfTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		close(h.entrySilent)
		done := make(chan struct{})
		defer close(done)
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(resumeGrace / 2):
					h.manager.mu.Lock()
					h.manager.lastSweep -= 2 * pauseThreshold
					h.manager.mu.Unlock()
				}
			}
		}()
		h.expectEndWithin(a, latestEnd)
	})
}

// The run of one entry is not renewed any more; another entry must not extend it by a start.
func TestStartOfAnotherEntryDoesNotExtendRunOfSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.stopsToReject = 1000 })
		close(h.entrySilent)
		silent := time.Now()
		h.entrySilent = make(chan struct{})
		h.connect(8)
		for i := 1; time.Since(silent) < latestEnd-100*time.Millisecond; i++ {
			h.start(i, 1, task.Resources{CPU: 100})
			time.Sleep(100 * time.Millisecond)
		}
		h.expectEndWithin(a, latestEnd-time.Since(silent))
	})
}

// The machine of an agent is suspended while a start waits to be read. The clock of package time
// stands still meanwhile, and the entry has started the task elsewhere since.
func TestStartThatWaitedWhileMachineWasSuspendedIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.suspend(4 * time.Second)
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		h.receive(7, peer.Frame{Starts: []peer.Start{{Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: 1}}})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalUnavailable {
			t.Errorf("refused for %q", r.Refusal)
		}
		if h.target.startsOf(a) > 0 {
			t.Error("the task was started")
		}
	})
}

// A suspension counts as a pause of the process: frames of its entries have queued meanwhile.
func TestRunsSurviveShortSuspensionOfTheMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.suspend(peer.OwnerLease + 50*time.Millisecond)
		time.Sleep(2 * resumeGrace)
		if !h.target.isRunning(a) {
			t.Error("the run was stopped")
		}
	})
}

// A caller leaves while its entry lives, and the target answers polls but no stop order, or
// rejects them all: the run ends before the caller sends its job to another entry.
func TestRunOfCallerThatHasLeftEndsByLeaseIfItCannotBeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.stopsToReject = 1000 })
		h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
		h.expectEndWithin(a, latestEnd)
		h.waitOutcome(a, peer.OutcomeLost)
	})
}

// The lease at the target ends soon, since a run there can't be stopped: a start that would end with
// it must be refused at once, so that its entry places it elsewhere.
func TestStartShortlyBeforeEndOfShortenedLeaseIsRefusedAtOnce(t *testing.T) {
	var failures []string
	for _, after := range []time.Duration{950 * time.Millisecond, 980 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			a := h.start(0, 1, task.Resources{CPU: 1000})
			h.waitStarted(a)
			h.target.set(func() { h.target.stopsToReject = 1000 })
			h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
			time.Sleep(after)
			b, sent := h.start(1, 1, task.Resources{CPU: 1000}), time.Now()
			r := h.waitResult(b, peer.OutcomeRefused, peer.OutcomeLost, peer.OutcomeStopped)
			if took := time.Since(sent); r.Outcome != peer.OutcomeRefused || took > 10*time.Millisecond {
				failures = append(failures, fmt.Sprintf("sent %v after the stop request: %v %v later", after, r.Outcome, took))
			}
			if n := h.target.startsOf(b); n > 0 {
				failures = append(failures, fmt.Sprintf("sent %v after the stop request: started %d times", after, n))
			}
		})
	}
	for _, f := range failures {
		t.Error(f)
	}
}

// stopInVain starts a run and orders its stop, which the target rejects.
func (h *harness) stopInVain() {
	h.t.Helper()
	a := h.start(0, 1, task.Resources{CPU: 1000})
	h.waitStarted(a)
	h.target.set(func() { h.target.stopsToReject = 1000 })
	h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
}

// While a run can't be stopped, other starts go on as long as they may be done before the lease ends,
// or the stop may still get through in time.
func TestStartIsRefusedOnlyIfItWouldEndWithTheShortenedLease(t *testing.T) {
	for _, c := range []struct {
		after, expected time.Duration
		refused         bool
	}{
		{100 * time.Millisecond, 100 * time.Millisecond, false},
		{100 * time.Millisecond, time.Minute, false},
		{700 * time.Millisecond, time.Minute, false},
		{800 * time.Millisecond, time.Minute, true},
		{800 * time.Millisecond, 100 * time.Millisecond, false},
		{880 * time.Millisecond, 100 * time.Millisecond, false},
		{910 * time.Millisecond, 100 * time.Millisecond, true},
		{910 * time.Millisecond, 0, false},
		{930 * time.Millisecond, 0, true},
		{930 * time.Millisecond, time.Millisecond, true},
	} {
		t.Run(fmt.Sprint(c.after, " ", c.expected), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.stopInVain()
				time.Sleep(c.after)
				a := task.Attempt{Key: task.Key{Job: "j", Index: 1}, Run: 1}
				start := peer.Start{Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: 1, Expected: c.expected}
				h.receive(7, peer.Frame{Starts: []peer.Start{start}})
				if c.refused {
					h.expectRefusedAsUnavailable(a)
					if n := h.manager.opts.Counters.Counter("starts_refused_unavailable").Count(); n != 1 {
						t.Errorf("%d starts refused on arrival", n)
					}
				} else {
					h.waitStarted(a)
				}
			})
		})
	}
}

// The order of an accepted start is lost, and is not repeated once too little of the lease is left.
func TestStartIsNotRepeatedShortlyBeforeEndOfShortenedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.stopInVain()
		time.Sleep(895 * time.Millisecond)
		h.delayStarts(1)
		a := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitOutcome(a, peer.OutcomeRefused)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times", n)
		}
	})
}

// An entry falls silent, its runs are stopped when its lease has expired, and the target rejects the
// first stop orders: the starts of another entry go on all the time.
func TestStartsGoOnBesideRunOfSilentEntry(t *testing.T) {
	for _, retry := range []time.Duration{callerRetry, 500 * time.Millisecond} {
		t.Run(fmt.Sprint("callers retry after ", retry), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.manager.mu.Lock()
				h.manager.opts.CallerRetry = retry
				h.manager.mu.Unlock()
				a := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitStarted(a)
				h.target.set(func() { h.target.stopsToReject = 2 })
				close(h.entrySilent)
				silent := time.Now()
				h.entrySilent = make(chan struct{})
				h.connect(8)
				h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
				for i := 1; time.Since(silent) < latestEnd; i++ {
					b := h.start(i, 1, task.Resources{CPU: 100})
					h.waitStarted(b)
					h.target.end(b, peer.OutcomeDone)
					time.Sleep(7 * time.Millisecond)
				}
				if h.target.isRunning(a) {
					t.Error("the run of the silent entry was not stopped: the test shows nothing")
				}
			})
		})
	}
}

// A stop order that succeeds ends no other run, and starts go on meanwhile.
func TestStoppedRunDoesNotEndTheLeaseOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		b := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitStarted(b)
		h.target.set(func() { h.target.stopsToReject = 5 })
		h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
		h.waitOutcome(a, peer.OutcomeStopped)
		time.Sleep(2 * latestEnd)
		if !h.target.isRunning(b) {
			t.Error("the other run has ended")
		}
		h.waitStarted(h.start(2, 1, task.Resources{CPU: 1000}))
	})
}

package runs

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// rejections are the answers by which a target rejects a start order without executing it.
var rejections = []Answer{
	AnswerFenced, AnswerStaleRun, AnswerLeaseExpired, AnswerNoRoom, AnswerUnhealthy, AnswerInvalid, AnswerOtherIncarnation,
}

// The target executes a start order without an answer, and rejects each repeat.
func TestRejectedRepeatDoesNotRefuteUnansweredStart(t *testing.T) {
	for _, rejection := range rejections {
		t.Run(rejection.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.rejectsStarts = 1, rejection })
				a := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitStarted(a)
				h.target.end(a, peer.OutcomeDone)
				h.waitOutcome(a, peer.OutcomeDone)
			})
		})
	}
}

// The run of an unanswered start order has ended before a repeat is rejected.
func TestRejectedRepeatDoesNotRefuteRunThatHasEnded(t *testing.T) {
	for _, rejection := range rejections {
		t.Run(rejection.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.rejectsStarts = 1, rejection })
				h.target.beforeStart = func() {
					for _, a := range h.target.running() {
						h.target.end(a, peer.OutcomeDone)
					}
				}
				a := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitOutcome(a, peer.OutcomeDone)
			})
		})
	}
}

// All orders are delayed, and the repeats are rejected: the attempt is refused only once the
// delayed order can no longer take effect.
func TestRejectedRepeatDoesNotLetDelayedStartThrough(t *testing.T) {
	for _, rejection := range rejections {
		t.Run(rejection.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.target.set(func() {
					h.target.startsToLeaveUnanswered, h.target.delayStarts, h.target.rejectsStarts = 1, true, rejection
				})
				a := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitOutcome(a, peer.OutcomeRefused)
				h.target.set(func() {
					for _, deliver := range h.target.delayedStarts {
						deliver()
					}
				})
				time.Sleep(time.Second)
				if n := h.target.startsOf(a); n != 0 {
					t.Error("a delayed order started the attempt after it was reported as not run")
				}
			})
		})
	}
}

// An order that was never left unanswered is refused by its rejection, without a poll.
func TestRejectedFirstOrderRefusesAttempt(t *testing.T) {
	for rejection, refusal := range map[Answer]peer.Refusal{
		AnswerStaleRun: peer.RefusalStaleRun, AnswerNoRoom: peer.RefusalNoCapacity,
		AnswerUnhealthy: peer.RefusalUnhealthy, AnswerInvalid: peer.RefusalInvalid,
	} {
		t.Run(rejection.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.target.set(func() { h.target.rejectsStarts = rejection })
				a := h.start(0, 1, task.Resources{CPU: 1000})
				if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != refusal {
					t.Errorf("refused for %q, want %q", r.Refusal, refusal)
				}
			})
		})
	}
}

// delayStarts makes the target leave its next start orders unanswered and execute them late.
func (h *harness) delayStarts(n int) {
	h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.delayStarts = n, true })
}

// expectLateOrderIsStoppedAfterCrash lets the target crash and its next incarnation execute the
// first delayed order of an attempt, which must not be reported as lost before it is stopped there.
func (h *harness) expectLateOrderIsStoppedAfterCrash(a task.Attempt) {
	h.t.Helper()
	h.target.set(func() { h.target.unresponsive = true })
	h.expectNoResult(a, 3*testLease)
	h.target.set(func() { h.target.unresponsive = false })
	h.target.restart()
	h.announce(Announcement{Incarnation: 2, Sequence: 1})
	h.waitOutcome(a, peer.OutcomeLost)
	h.target.set(func() { h.target.delayedStarts[0]() })
	if h.target.isRunning(a) {
		h.t.Error("the late order was executed after the run was reported as lost")
	}
}

// A target leaves one start order without an answer, runs its repeat, and crashes. The next
// incarnation under the same ID has seen no token and may execute the order: the entry must not
// start the task elsewhere before that incarnation has stopped it.
func TestLateOrderAtRestartedTargetIsStoppedBeforeRunCountsAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(1)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		time.Sleep(100 * time.Millisecond)
		h.expectLateOrderIsStoppedAfterCrash(a)
	})
}

// The entry learns of an order that may be executed late at once, before the target answers
// anything, and on its next link: the agent may be killed at any time.
func TestEntryLearnsOfOrderThatMayBeExecutedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		plain := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(plain)
		h.target.set(func() { h.target.unresponsive = true })
		a := h.start(1, 1, task.Resources{CPU: 1000})
		sent := time.Now()
		reported := func(f *peer.Frame) bool { return slices.Equal(f.LateOrders, []task.Attempt{a}) }
		h.waitFor(reported)
		if after := time.Since(sent); after > orderTimeout {
			t.Errorf("reported after %v", after)
		}
		h.connect(7)
		h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil && reported(f) })
	})
}

// A target leaves all start orders of an attempt unanswered, answers polls meanwhile, and crashes
// before the last order. The first one may still be executed by the next incarnation.
func TestRepeatsToCrashedTargetDoNotHideLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(startTries)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		time.Sleep(4 * backoffMin)
		h.expectLateOrderIsStoppedAfterCrash(a)
	})
}

// A target leaves a start order unanswered, runs its repeat, and restarts under its ID. The polls
// that reach the next incarnation before it announces itself must fence the order.
func TestPollsBeforeAnnouncementFenceUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(1)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() {
			h.target.restart()
			h.target.pollsByOther = true
		})
		time.Sleep(2 * pollWait)
		h.target.set(func() { h.target.delayedStarts[0]() })
		if h.target.isRunning(a) {
			t.Error("the late order was executed after polls had reached the next incarnation")
		}
	})
}

// A target leaves a start order unanswered and crashes, and its address refuses connections. It
// comes back under its ID, and the order is executed soon after that, but not at once: whenever it
// comes back, a poll must have fenced the order.
func TestFirstPollAfterRestartFencesUnansweredOrder(t *testing.T) {
	for phase := 0 * time.Millisecond; phase < backoffMax; phase += 7 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.delayStarts(1)
			a := h.start(0, 1, task.Resources{CPU: 1000})
			h.waitStarted(a)
			h.target.set(func() { h.target.refuses = true })
			time.Sleep(testLease + phase)
			h.target.set(func() {
				h.target.refuses, h.target.pollsByOther = false, true
				h.target.restart()
			})
			time.Sleep(2 * backoffMin)
			h.target.set(func() { h.target.delayedStarts[0]() })
			if h.target.isRunning(a) {
				t.Errorf("back %v after the crash: the late order was executed before a poll arrived", testLease+phase)
			}
		})
	}
}

// The same target does not come back.
func TestRunWithUnansweredOrderIsLostOnceNoOrderCanBeExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(1)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		time.Sleep(100 * time.Millisecond)
		h.target.set(func() { h.target.unresponsive = true })
		h.expectNoResult(a, peer.MaxOrderDelay-time.Second)
		h.waitOutcome(a, peer.OutcomeLost)
	})
}

// Orders that reach a target which has crashed, and no longer answers anything, are not executed
// by the next incarnation.
func TestRunOnCrashedTargetIsLostOnceItsLeaseHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.unresponsive = true })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		begun := time.Now()
		h.waitOutcome(a, peer.OutcomeLost)
		if took := time.Since(begun); took > 2*testLease {
			t.Errorf("lost after %v", took)
		}
	})
}

// Each poll of a target that answers slowly resolves all starts before it.
func TestOnePollResolvesAllUnansweredStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const starts = 8
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered = starts * startTries })
		var attempts []task.Attempt
		for i := range starts {
			attempts = append(attempts, h.start(i, 1, task.Resources{CPU: 1000}))
		}
		for _, a := range attempts {
			h.waitRunning(a)
		}
		before := h.token()
		time.Sleep(time.Second)
		if polls := h.token() - before; polls > 2 {
			t.Errorf("%d fencing polls for %d starts", polls, starts)
		}
	})
}

// A target executes orders without an answer, and the run is stopped before its start is
// confirmed.
func TestRunOfUnansweredStartIsStoppedBeforeItIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.pollsUnanswered = startTries, true })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitRunning(a)
		h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
		time.Sleep(2 * orderTimeout)
		h.target.set(func() {
			if h.target.isRunning(a) {
				t.Error("the run goes on until a poll is answered")
			}
			h.target.pollsUnanswered = false
		})
		h.waitOutcome(a, peer.OutcomeStopped)
	})
}

// An overloaded target rejects stop orders for a while, but answers polls, which renew its
// lease: the run must not go on after that.
func TestRejectedStopIsRepeatedUntilItIsExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.stopsToReject = 12 })
		h.entry.Send(peer.Frame{Stops: []task.Attempt{a}})
		h.waitOutcome(a, peer.OutcomeStopped)
	})
}

// The first order of a confirmed run is delayed until the target has restarted: the run must
// not be reported as lost before the new incarnation can no longer start it.
func TestDelayedOrderOfConfirmedRunDoesNotRunAfterItIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(1)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() {
			h.target.restart()
			h.target.delayedStarts[0]()
		})
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitResult(a, peer.OutcomeLost, peer.OutcomeStopped)
		h.target.set(func() {
			if h.target.isRunning(a) {
				t.Error("the run is reported as over and runs on the new incarnation")
			}
			h.target.ignoresTokens = true
			h.target.delayedStarts[0]()
			if h.target.isRunning(a) {
				t.Error("a delayed order starts the run after it is reported as over")
			}
		})
	})
}

// A delayed order is found in the first report of a new incarnation.
func TestRunOfDelayedOrderIsNotKeptForOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		late := task.Attempt{Key: task.Key{Job: "late"}, Run: 1}
		h.target.place(late)
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		time.Sleep(orphanLease / 2)
		h.target.set(func() {
			if h.target.isRunning(late) {
				t.Error("a run that no entry requested goes on until the lease of adopted runs expires")
			}
		})
	})
}

// A start that is read from the former link after the entry has linked again: the entry has
// resolved the attempt when it got the list of runs on the new link.
func TestStartOnReplacedLinkIsNotExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.manager.mu.Lock()
		former := h.manager.owners[7].link
		h.manager.mu.Unlock()
		h.connect(7)
		h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil })
		a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
		start := peer.Start{Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: 1}
		h.manager.Receive(7, former, &peer.Frame{Starts: []peer.Start{start}})
		time.Sleep(100 * time.Millisecond)
		if n := h.target.startsOf(a); n > 0 {
			t.Errorf("started %d times", n)
		}
	})
}

// A delayed order of an older run is executed while a newer run of the task is in progress.
func TestOlderRunBesideNewerOneIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		newer := h.start(0, 2, task.Resources{CPU: 1000})
		h.waitStarted(newer)
		older := task.Attempt{Key: newer.Key, Run: 1}
		h.target.place(older)
		time.Sleep(2 * pollWait)
		h.target.set(func() {
			if h.target.isRunning(older) || !h.target.isRunning(newer) {
				t.Errorf("running: %v, want the newer run only", h.target.running())
			}
		})
	})
}

// Another entry sends the task of a run that is still in progress here.
func TestStartBesideRunOfItsTaskIsRefusedOnceThatIsOver(t *testing.T) {
	for _, run := range []uint64{1, 2} {
		t.Run(fmt.Sprint("run ", run), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				present := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitStarted(present)
				h.connect(8)
				h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && f.Target.Available })
				second := h.start(0, run, task.Resources{CPU: 1000})
				h.expectNoResult(second, 100*time.Millisecond)
				h.target.end(present, peer.OutcomeDone)
				h.waitFor(func(f *peer.Frame) bool {
					return slices.ContainsFunc(f.Results, func(r peer.Result) bool {
						return r.Attempt == second && r.Refusal == peer.RefusalStaleRun
					})
				})
			})
		})
	}
}

func TestEachAnswerProvesSomething(t *testing.T) {
	for answer := range answers {
		if startProofs[answer] == verdict.ProvesNothing || answer.String() == "" {
			t.Errorf("answer %d (%q) has no class or no name", answer, answer)
		}
		_, ends := refusals[answer]
		if ends && startProofs[answer] != verdict.ProvesRejected {
			t.Errorf("%v refuses a start that it does not reject", answer)
		}
	}
}

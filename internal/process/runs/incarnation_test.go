package runs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// interruptedTarget calls a function when the answer to a call is on its way, before the
// agent receives it.
type interruptedTarget struct {
	*fakeTarget
	// afterStart and afterFencingPoll are called once.
	afterStart, afterFencingPoll atomic.Pointer[func()]
}

// interrupt calls a hook that has not been called yet.
func interrupt(hook *atomic.Pointer[func()]) {
	if f := hook.Swap(nil); f != nil {
		(*f)()
	}
}

func (f *interruptedTarget) Start(ctx context.Context, permit Permit, s peer.Start) (Answer, error) {
	answer, err := f.fakeTarget.Start(ctx, permit, s)
	if err == nil {
		interrupt(&f.afterStart)
	}
	return answer, err
}

func (f *interruptedTarget) Poll(ctx context.Context, request PollRequest) (Report, error) {
	report, err := f.fakeTarget.Poll(ctx, request)
	if err == nil && !request.Renew {
		interrupt(&f.afterFencingPoll)
	}
	return report, err
}

// newInterruptedHarness returns a harness whose target is at its incarnation 2.
func newInterruptedHarness(t *testing.T) (*harness, *interruptedTarget) {
	h := newHarness(t)
	target := &interruptedTarget{fakeTarget: h.target}
	h.manager.mu.Lock()
	h.manager.opts.Dial = func(Announcement) TargetClient { return target }
	h.manager.mu.Unlock()
	h.announce(Announcement{Incarnation: 2, Sequence: 1})
	time.Sleep(20 * time.Millisecond)
	return h, target
}

func (h *harness) startAt(incarnation int64) task.Attempt {
	a := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}
	h.entry.Send(peer.Frame{Starts: []peer.Start{{Attempt: a, Need: task.Resources{CPU: 1000}, Incarnation: incarnation}}})
	return a
}

// restart makes the fake target forget its runs and tokens, as a new process does.
func (h *harness) restart() {
	h.target.restart()
}

// The target restarts or leaves while the answer to a start is on its way. The answer must
// neither end the agent nor bring the run back.
func TestAnswerOfFormerIncarnationDoesNotConfirmStart(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"deregistered": func(h *harness) {
			h.manager.Deregister("t1", 2)
			h.target.set(func() { h.target.unresponsive = true })
		},
		"restarted": func(h *harness) {
			h.restart()
			h.announce(Announcement{Incarnation: 3, Sequence: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, target := newInterruptedHarness(t)
				hook := func() { end(h) }
				target.afterStart.Store(&hook)
				h.waitOutcome(h.startAt(2), peer.OutcomeLost)
			})
		})
	}
}

// The fencing poll of the former incarnation does not list the run, and the target restarts
// before its answer arrives: delayed orders may still reach the new incarnation.
func TestReportOfFormerIncarnationDoesNotRefuteStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, target := newInterruptedHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.delayStarts = startTries, true })
		hook := func() {
			h.restart()
			h.announce(Announcement{Incarnation: 3, Sequence: 1})
		}
		target.afterFencingPoll.Store(&hook)
		a := h.startAt(2)
		h.waitResult(a, peer.OutcomeLost, peer.OutcomeStopped)
		h.target.set(func() {
			for _, deliver := range h.target.delayedStarts {
				deliver()
			}
		})
		if h.target.startsOf(a) > 0 {
			t.Error("a delayed order starts the run after it is reported as over")
		}
	})
}

// A start order reaches a new incarnation before that announces itself. The answer does not
// say which incarnation gave it.
func TestRunAtUnannouncedIncarnationIsNotReportedAsLostWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.restart()
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.pollsByOther = true })
		time.Sleep(20 * time.Millisecond)
		h.target.set(func() { h.target.pollsByOther = false })
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.waitResult(a, peer.OutcomeLost, peer.OutcomeStopped)
		h.target.set(func() {
			if h.target.isRunning(a) {
				t.Error("the run is reported as over and runs on the new incarnation")
			}
		})
	})
}

// The clock is set back while the target restarts.
func TestTokenDoesNotFallWhenTheTargetRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.manager.mu.Lock()
		h.manager.target.token += 30_000
		before := h.manager.target.token
		h.manager.mu.Unlock()
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		h.manager.mu.Lock()
		defer h.manager.mu.Unlock()
		if after := h.manager.target.token; after <= before {
			t.Errorf("token %d after %d: the first poll does not fence the orders in transit", after, before)
		}
	})
}

// The target has deregistered, and its process goes on for a while: its runs are not over.
func TestRunOfDeregisteredTargetIsNotLostUnderAValidLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		b := h.start(1, 1, task.Resources{CPU: 1000})
		h.waitStarted(b)
		h.manager.Deregister("t1", 1)
		left := time.Now()
		h.waitFor(func(f *peer.Frame) bool { return f.Target != nil && !f.Target.Available })
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
		h.target.set(func() { h.target.unresponsive = true })
		h.waitOutcome(b, peer.OutcomeLost)
		if after := time.Since(left); after < testLease {
			t.Errorf("reported as lost %v after the deregistration, under a lease of %v", after, testLease)
		}
	})
}

// A heartbeat that was delayed arrives after the target has left.
func TestDelayedAnnouncementDoesNotBringDeregisteredTargetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.manager.Deregister("t1", 1)
		h.announce(Announcement{Incarnation: 1, Sequence: 9})
		time.Sleep(100 * time.Millisecond)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitOutcome(a, peer.OutcomeRefused)
		if !h.announce(Announcement{Incarnation: 2, Sequence: 1}) {
			t.Error("the next incarnation is ignored")
		}
	})
}

// The target does not answer for a while but runs on, and a delayed announcement of an earlier
// incarnation arrives.
func TestDelayedAnnouncementDoesNotReplaceSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newInterruptedHarness(t)
		a := h.startAt(2)
		h.waitStarted(a)
		h.target.set(func() { h.target.unresponsive = true })
		time.Sleep(unresponsiveAfter + 100*time.Millisecond)
		if h.announce(Announcement{Incarnation: 1, Sequence: 900}) {
			t.Error("an earlier incarnation replaces the target while its lease is valid")
		}
		time.Sleep(2 * testLease)
		if !h.announce(Announcement{Incarnation: 1, Sequence: 901}) {
			t.Error("an incarnation with an earlier clock is ignored after the lease has expired")
		}
		h.waitOutcome(a, peer.OutcomeLost)
	})
}

// The clock was set back, the agent and its target restarted, and orders of the former process of
// the agent are still in transit to the new incarnation of the target.
func TestTokensOfNewProcessAreHigherThanThoseStored(t *testing.T) {
	for _, afterTarget := range []bool{false, true} {
		t.Run(fmt.Sprintf("read after the target announced itself %v", afterTarget), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stored := uint64(time.Now().Add(time.Minute).UnixMilli())
				h := newHarness(t)
				if !afterTarget {
					h.announce(Announcement{Incarnation: 1, Token: stored})
				}
				h.announce(Announcement{Incarnation: 2, Sequence: 1})
				if afterTarget {
					h.announce(Announcement{Incarnation: 1, Token: stored})
				}
				if got := h.token(); got <= stored {
					t.Errorf("token %d, stored %d", got, stored)
				}
			})
		})
	}
}

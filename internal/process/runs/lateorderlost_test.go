package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A target leaves a start order unanswered, crashes before the agent knows whether it was executed,
// and comes back under its ID: no order may be executed after the attempt was reported as lost.
func TestLateOrderOfTargetThatCrashedAtOnceDoesNotRunAfterItsAttemptIsLost(t *testing.T) {
	var ran []time.Duration
	for phase := 0 * time.Millisecond; phase < backoffMax; phase += 7 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.target.set(func() {
				h.target.startsToLeaveUnanswered, h.target.delayStarts, h.target.pollsUnanswered = 1, true, true
			})
			a := h.start(0, 1, task.Resources{CPU: 1000})
			time.Sleep(2 * time.Millisecond)
			h.target.set(func() { h.target.unresponsive = true })
			h.waitOutcome(a, peer.OutcomeLost)
			h.target.set(func() { h.target.unresponsive, h.target.refuses = false, true })
			time.Sleep(testLease + phase)
			h.target.set(func() {
				h.target.pollsUnanswered, h.target.refuses, h.target.pollsByOther = false, false, true
				h.target.restart()
			})
			time.Sleep(2 * backoffMin)
			h.target.set(func() { h.target.delayedStarts[0]() })
			if h.target.isRunning(a) {
				ran = append(ran, phase)
			}
		})
	}
	if len(ran) > 0 {
		t.Errorf("a late order runs after its attempt was reported as lost, if the target is back %v after its lease", ran)
	}
}

// The next incarnation executes the stop of an attempt whose order is late, and crashes before it
// has answered a poll: the one after it must be polled before the order is executed.
func TestLateOrderDoesNotRunAtSecondIncarnationAfterItsAttemptIsLost(t *testing.T) {
	for phase := 0 * time.Millisecond; phase < backoffMax; phase += 7 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.target.set(func() {
				h.target.startsToLeaveUnanswered, h.target.delayStarts, h.target.pollsUnanswered = startTries, true, true
			})
			a := h.start(0, 1, task.Resources{CPU: 1000})
			time.Sleep(2 * time.Millisecond)
			h.target.restart()
			h.announce(Announcement{Incarnation: 2, Sequence: 1})
			h.waitOutcome(a, peer.OutcomeLost)
			h.target.set(func() { h.target.refuses = true })
			time.Sleep(2*backoffMax + phase)
			h.target.set(func() {
				h.target.pollsUnanswered, h.target.refuses, h.target.pollsByOther = false, false, true
				h.target.restart()
			})
			time.Sleep(2 * backoffMin)
			h.target.set(func() { h.target.delayedStarts[0]() })
			if h.target.isRunning(a) {
				t.Errorf("back %v after the crash: the late order runs after its attempt was reported as lost", 2*backoffMax+phase)
			}
		})
	}
}

// A target that is down is polled as usual once no order can be executed late any more.
func TestFrequentPollsEndWithTheDelayOfOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.unresponsive = true })
		h.waitOutcome(h.start(0, 1, task.Resources{CPU: 1000}), peer.OutcomeLost)
		callsWithin := func(d time.Duration) int {
			var before, after int
			h.target.set(func() { before = h.target.calls })
			time.Sleep(d)
			h.target.set(func() { after = h.target.calls })
			return after - before
		}
		if n, want := callsWithin(time.Second), int(time.Second/(2*backoffMin)); n < want {
			t.Errorf("%d polls in a second in which the order may be executed late, want %d at least", n, want)
		}
		time.Sleep(peer.MaxOrderDelay)
		if n, want := callsWithin(time.Second), int(time.Second/backoffMax)+1; n > want {
			t.Errorf("%d polls in a second after that, want %d at most", n, want)
		}
	})
}

// The next incarnation executes the order before a poll reaches it, and announces itself only after
// the lease of the former one has ended: the attempt is kept until it is stopped there.
func TestAttemptIsKeptWhileItsLateOrderRunsAtUnannouncedIncarnation(t *testing.T) {
	for back := 10 * time.Millisecond; back < unresponsiveAfter+testLease; back += 40 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.target.set(func() {
				h.target.startsToLeaveUnanswered, h.target.delayStarts, h.target.pollsUnanswered = 1, true, true
			})
			a := h.start(0, 1, task.Resources{CPU: 1000})
			time.Sleep(2 * time.Millisecond)
			h.target.set(func() { h.target.refuses = true })
			time.Sleep(back)
			h.target.set(func() {
				h.target.pollsUnanswered, h.target.refuses, h.target.pollsByOther = false, false, true
				h.target.restart()
				h.target.delayedStarts[0]()
			})
			h.expectNoResult(a, unresponsiveAfter+2*testLease)
			h.target.set(func() { h.target.pollsByOther = false })
			h.announce(Announcement{Incarnation: 2, Sequence: 1})
			h.waitOutcome(a, peer.OutcomeLost)
			if h.target.isRunning(a) {
				t.Errorf("back %v after the crash: reported as lost while it runs", back)
			}
		})
	}
}

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

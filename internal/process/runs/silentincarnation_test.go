package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A target leaves one start order unanswered, runs its repeat and crashes. Its next incarnation
// announces itself, and answers nothing for longer than the lease: it has seen no token, and may
// still execute the order.
func TestRunWithLateOrderIsKeptWhileAnnouncedIncarnationIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		// The end of the lease in the order counts on the clock of the target, which begins anew.
		time.Sleep(10 * testLease)
		h.delayStarts(1)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		time.Sleep(2 * pollWait)
		h.target.set(func() { h.target.unresponsive = true })
		h.target.restart()
		h.announce(Announcement{Incarnation: 2, Sequence: 1})
		time.Sleep(3 * testLease)
		h.target.set(func() { h.target.delayedStarts[0]() })
		if h.target.isRunning(a) && !h.keeps(a) {
			t.Error("the late order was executed after the run was reported as lost")
		}
		h.target.set(func() { h.target.unresponsive = false })
		time.Sleep(peer.MaxOrderDelay)
	})
}

// keeps reports whether an attempt is not over for the agent.
func (h *harness) keeps(a task.Attempt) bool {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	r := h.manager.runs[a.Key]
	return r != nil && r.attempt == a
}

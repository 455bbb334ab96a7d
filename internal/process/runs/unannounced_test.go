package runs

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A target crashes, and another incarnation answers at its address that never announces itself
// here. Its answers are no reason to keep a run beyond the lease, or beyond a late order.
func TestRunIsLostThoughAnotherIncarnationAnswersUnannounced(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late order ", late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				limit := 2 * testLease
				if late {
					h.delayStarts(1)
					limit = peer.MaxOrderDelay + testLease
				}
				a := h.start(0, 1, task.Resources{CPU: 1000})
				h.waitStarted(a)
				h.target.set(func() {
					h.target.restart()
					h.target.pollsByOther = true
				})
				time.Sleep(limit)
				if h.keeps(a) {
					t.Errorf("the run is not lost %v after its target has ended", limit)
				}
			})
		})
	}
}

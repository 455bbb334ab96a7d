package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A later process of the agent takes the run over, and its target crashes. The process knows of no
// late order, but the next incarnation has reported its runs to it and is
// available again: it has seen a higher token than that of the order.
func TestLostIsFinalOnceNextIncarnationIsAvailableToLaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, s, answered := startWithLateOrder(t, longWait)
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.beat()
		time.Sleep(time.Second)
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		next.link.Send(peer.Frame{Target: &peer.Target{
			ID: "lost", Incarnation: 2, Pool: "p", DataCentre: "dc1", Available: true,
			Capacity: task.Resources{CPU: 8000}, Labels: []string{"lost"},
		}})
		begun := time.Now()
		select {
		case again := <-other.starts:
			other.done(again)
		case again := <-next.starts:
			next.done(again)
		case <-time.After(longWait):
			t.Fatal("not started again")
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("started again %v after the next incarnation was available", took)
		}
		await(t, answered)
	})
}

package scheduler

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// An entry that was paused reads the request of a caller that has left, and whose job may run
// elsewhere.
func TestRequestOfCallerThatHasLeftStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.scheduler.Submit(tc.job("j", 2, 1000), tc.queue, func() bool { return false })
		if got := await(t, answered); got.State != StateAbandoned {
			t.Errorf("answer %+v", got)
		}
		time.Sleep(time.Second)
		if len(a.starts) > 0 {
			t.Error("a task was started for a caller that had left")
		}
		if tc.scheduler.Jobs() > 0 {
			t.Error("the job is still in progress")
		}
	})
}

// A paused entry wakes and learns that a run is lost: it starts the task again only if the caller
// has not left meanwhile.
func TestLostTaskOfCallerThatHasLeftIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		var left atomic.Bool
		answered, _ := tc.scheduler.Submit(tc.job("j", 1, 1000), tc.queue, func() bool { return !left.Load() })
		s := a.nextStart()
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		time.Sleep(2 * callerCheckInterval)
		left.Store(true)
		a.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		if got := await(t, answered); got.State != StateAbandoned {
			t.Errorf("answer %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("the task was started again")
		}
	})
}

// Two callers wait for one job, and one of them leaves.
func TestJobGoesOnWhileOneOfItsCallersIsConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		job := tc.job("j", 1, 1000)
		tc.scheduler.Submit(job, tc.queue, func() bool { return false })
		second, _ := tc.submit(job)
		a := tc.agent("a")
		a.done(a.nextStart())
		if got := await(t, second); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// isClosed reports whether a channel is closed within some time.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	case <-time.After(100 * time.Millisecond):
		return false
	}
}

// An entry without a link to any agent cannot prevent that a job goes on at another entry.
func TestCancellationIsRecordedOnlyByAnAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		if _, recorded := tc.scheduler.Cancel("j"); isClosed(recorded) {
			t.Error("recorded without an agent")
		}
		a := tc.agent("a")
		_, recorded := tc.scheduler.Cancel("j")
		if isClosed(recorded) {
			t.Error("recorded before an agent has confirmed it")
		}
		_, again := tc.scheduler.Cancel("j")
		a.link.Send(peer.Frame{CancelsRecorded: []string{"j", "unknown"}})
		if !isClosed(recorded) || !isClosed(again) {
			t.Error("not recorded")
		}
	})
}

// The request of a job that was cancelled at another entry arrives here again.
func TestRequestOfCancelledJobStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		a.link.Send(peer.Frame{CancelJobs: []string{"j"}})
		time.Sleep(4 * time.Second)
		a = tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		if got := await(t, answered); got.State != StateCancelled || got.Verdict != verdict.NotRun {
			t.Errorf("answer %+v", got)
		}
		if state, ok := tc.scheduler.State("j"); !ok || state != StateCancelled {
			t.Errorf("state %v, %v", state, ok)
		}
		if len(a.starts) > 0 {
			t.Error("a task was started")
		}
	})
}

// An entry that was cut off learns from a refused start that its job was cancelled.
func TestJobWhoseStartIsRefusedAsCancelledEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
		a.report(s.Attempt, s.Need, peer.OutcomeRefused, peer.RefusalCancelled)
		if got := await(t, answered); got.State != StateCancelled {
			t.Errorf("answer %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("the task was started again")
		}
	})
}

// Clients cancel very many jobs that do not exist. A cancellation that was acknowledged must not be
// forgotten for them, or the request of its job would start it.
func TestUnknownCancellationsDoNotDisplaceOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.submit(tc.job("known", 1, 1000))
		tc.scheduler.Cancel("first")
		accepted := 1
		for i := range 2 * maxCancelled {
			if _, recorded := tc.scheduler.Cancel(fmt.Sprintf("unknown-%d", i)); recorded != nil {
				accepted++
			}
		}
		if accepted != maxUnknownCancelled {
			t.Errorf("%d accepted", accepted)
		}
		if _, recorded := tc.scheduler.Cancel("known"); recorded == nil {
			t.Error("the cancellation of a job in progress is refused")
		}
		for _, id := range []string{"first", "known"} {
			if state, known := tc.scheduler.State(id); !known || state != StateCancelled {
				t.Errorf("%s: state %v, known %v", id, state, known)
			}
		}
		time.Sleep(cancelRetention + time.Second)
		if _, recorded := tc.scheduler.Cancel("later"); recorded == nil {
			t.Error("refused although the others have expired")
		}
	})
}

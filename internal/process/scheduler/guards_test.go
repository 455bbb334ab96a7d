package scheduler

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// An agent has linked again, and the first frame of its former link, older than the start of a task,
// is read late.
func TestTaskIsNotStartedAgainByFrameOfReplacedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.agent("a1")
		former := tc.target("a1").link
		a := tc.agent("a1")
		tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		tc.scheduler.Receive("a1", former, &peer.Frame{Hello: &peer.Hello{Name: "a1", Incarnation: 1}})
		time.Sleep(50 * time.Millisecond)
		if run := tc.latestRun("j"); run != 1 {
			t.Errorf("the task was started %d times while its first run goes on", run)
		}
	})
}

// A caller leaves while the link to the agent of its run is broken, so that no stop can be sent.
func TestRunOfCallerThatLeftDuringLinkLossIsStoppedOnNextLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a1")
		_, leave := tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		a.link.Close()
		time.Sleep(10 * time.Millisecond)
		leave()
		if len(a.stops) > 0 {
			t.Fatal("a stop was sent on the broken link: the test shows nothing")
		}
		a = tc.agent("a1", s.Attempt)
		time.Sleep(50 * time.Millisecond)
		var stopped []task.Attempt
		for len(a.stops) > 0 {
			stopped = append(stopped, <-a.stops)
		}
		if !slices.Contains(stopped, s.Attempt) {
			t.Errorf("stopped on the next link: %v, want %v", stopped, s.Attempt)
		}
	})
}

package scheduler

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// beat sends a frame every 50 ms until the end of the test, as an agent that is well.
func (a *fakeAgent) beat() {
	link := a.link
	done := make(chan struct{})
	a.t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				link.Send(peer.Frame{})
			}
		}
	}()
}

// startWithLateOrder starts a task on one of two agents, which reports that an order of it may be
// executed late. Its caller waits for the duration wait.
func startWithLateOrder(t *testing.T, wait time.Duration) (tc *testCluster, first, other *fakeAgent, started peer.Start, answered <-chan Answer) {
	tc = newTestCluster(t)
	first = tc.agent("lost")
	j := tc.job("j", 1, 1000)
	j.Deadline = j.Arrived.Add(wait)
	answered, _ = tc.submit(j)
	started = first.nextStart()
	other = tc.agent("other")
	other.beat()
	first.report(started.Attempt, started.Need, peer.OutcomeStarted, "")
	first.link.Send(peer.Frame{LateOrders: []task.Attempt{started.Attempt}})
	time.Sleep(reportDelay)
	return tc, first, other, started, answered
}

// loseAgentWithLateOrder does the same, and the agent ends.
func loseAgentWithLateOrder(t *testing.T) (tc *testCluster, lost, other *fakeAgent, answered <-chan Answer) {
	tc, lost, other, _, answered = startWithLateOrder(t, 2*time.Second)
	lost.link.Close()
	return tc, lost, other, answered
}

// The target of an agent that is away may restart under its ID and execute a late order: the task
// must not be started elsewhere once the lease has ended, and the caller is told that it may have
// run.
func TestAttemptWithLateOrderOutlastsAbsenceOfItsAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, _, other, answered := loseAgentWithLateOrder(t)
		if a := await(t, answered); a.State != StateUnfinished || a.Verdict == verdict.NotRun {
			t.Errorf("answer %+v", a)
		}
		if len(other.starts) > 0 {
			t.Error("the task was started elsewhere while its late order may be executed")
		}
		time.Sleep(peer.MaxOrderDelay)
		tc.scheduler.mu.Lock()
		defer tc.scheduler.mu.Unlock()
		if len(tc.scheduler.closing) > 0 || tc.scheduler.targets["lost"] != nil {
			t.Error("the attempt or its target is kept for good")
		}
	})
}

// The next process of the agent has fenced the order before it links, and does not list the run.
func TestTaskWithLateOrderStartsAgainOnceItsAgentIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, _, other, answered := loseAgentWithLateOrder(t)
		time.Sleep(tc.scheduler.attemptExpiry() + 100*time.Millisecond)
		if len(other.starts) > 0 {
			t.Error("the task was started elsewhere while its late order may be executed")
		}
		tc.agent("lost")
		other.done(other.nextStart())
		if a := await(t, answered); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// attemptAt returns the only attempt at the target of an agent.
func (tc *testCluster) attemptAt(agent string) task.Attempt {
	tc.t.Helper()
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	attempts := slices.Collect(maps.Keys(tc.scheduler.targets[agent].attempts))
	if len(attempts) != 1 {
		tc.t.Fatalf("attempts %v at %s, want one", attempts, agent)
	}
	return attempts[0]
}

// The next process of the agent finds the run and reports it as lost, since it does not know of the
// late order: that may be executed all the same, and the task must not be started elsewhere.
func TestAttemptWithLateOrderIsNotStartedElsewhereOnceReportedAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, _, other, _ := loseAgentWithLateOrder(t)
		a := tc.attemptAt("lost")
		next := tc.agent("lost", a)
		tc.attemptAt("lost")
		next.report(a, task.Resources{CPU: 1000}, peer.OutcomeLost, "")
		time.Sleep(200 * time.Millisecond)
		if len(other.starts) > 0 {
			t.Error("the task was started elsewhere within 200 ms while its late order may be executed")
		}
	})
}

// A caller sends its job again while an attempt of it is kept for a late order: the entry must not
// let the job wait until its deadline, but answer or start it within the objective of its queue.
func TestJobSentAgainDuringLateOrderIsNotHeldUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, _, other, answered := loseAgentWithLateOrder(t)
		lateFrom := time.Now()
		await(t, answered)
		for time.Since(lateFrom) < peer.MaxOrderDelay-500*time.Millisecond {
			at, j := time.Since(lateFrom), tc.job("j", 1, 1000)
			objective := tc.queue.Objective(j.CriticalPath())
			begun, outcome := time.Now(), "answered"
			again, _ := tc.submit(j)
			select {
			case a := <-again:
				if a.State != StateUnfinished || a.Verdict == verdict.NotRun {
					t.Errorf("sent again after %v: answer %+v", at, a)
				}
			case s := <-other.starts:
				outcome = "started"
				defer other.done(s)
			case <-time.After(4 * time.Second):
				t.Fatal("no answer")
			}
			if took := time.Since(begun); took > objective {
				t.Errorf("sent again %v after the late order: %s after %v, objective %v", at, outcome, took, objective)
			}
			if outcome == "started" {
				return
			}
			time.Sleep(time.Until(begun.Add(2 * time.Second)))
		}
	})
}

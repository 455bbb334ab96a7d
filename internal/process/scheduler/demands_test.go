package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// describeSpeed has an agent report the slowdown of its target.
func (a *fakeAgent) describeSpeed(percent int) {
	a.link.Send(peer.Frame{Target: &peer.Target{
		ID: a.name, Incarnation: 1, Pool: "p", DataCentre: a.dataCentre, Available: true,
		Capacity: task.Resources{CPU: 8000}, Slowdown: percent, SlowdownRuns: 20,
	}})
	time.Sleep(reportDelay)
}

// A job would be late on the slow target. It waits for the fast one although the slow one is free.
func TestTaskAvoidsTargetOnWhichItWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.scheduler.opts.TargetSpeeds = true
		slow, fast := tc.agent("slow"), tc.agent("fast")
		slow.describeSpeed(360)
		fast.describeSpeed(90)
		for _, id := range []string{"a", "b", "c"} {
			job := tc.job(id, 1, 8000)
			job.Steps[0].Estimate, job.Deadline = time.Second, job.Arrived.Add(4*time.Second)
			answered, _ := tc.submit(job)
			s := fast.nextStart()
			if want := 400 * time.Millisecond; id == "a" && s.Expected != want {
				t.Errorf("expected run time %v, want %v", s.Expected, want)
			}
			fast.done(s)
			await(t, answered)
		}
		if n := len(slow.starts); n > 0 {
			t.Errorf("%d starts at the slow target", n)
		}
	})
}

// A new process of the agent has not measured the speed of the target yet.
func TestSpeedOutlastsRestartOfAgentButNotOfTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.scheduler.opts.TargetSpeeds = true
		slow, fast := tc.agent("slow"), tc.agent("fast")
		slow.describeSpeed(220)
		fast.describeSpeed(80)
		slowdown := func() float64 {
			tc.scheduler.mu.Lock()
			defer tc.scheduler.mu.Unlock()
			return tc.scheduler.targets["slow"].slowdown
		}
		before := slowdown()
		slow.link.Close()
		slow = tc.agent("slow")
		if got := slowdown(); before < 1.4 || got < 1.4 {
			t.Errorf("slowdown %.2f, %.2f after a restart of the agent", before, got)
		}
		slow.link.Send(peer.Frame{Target: &peer.Target{ID: "slow", Incarnation: 2, Pool: "p", Available: true, Capacity: task.Resources{CPU: 8000}}})
		time.Sleep(reportDelay)
		if got := slowdown(); got != 1 {
			t.Errorf("slowdown %.2f of a new incarnation", got)
		}
	})
}

// A request has waited for the first configuration for longer than its objective. Its caller waits
// longer, and there is capacity; without capacity it must be refused, as a burst may last.
func TestJobThatMissesItsObjectiveIsAnsweredLateIfThereIsCapacity(t *testing.T) {
	for _, c := range []struct {
		late, busy bool
		want       State
	}{{true, false, StateComplete}, {true, true, StateRefused}, {false, false, StateRefused}} {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t)
			tc.scheduler.opts.LateAnswers = c.late
			a := tc.agent("a")
			if c.busy {
				tc.submit(tc.job("first", 1, 7000))
				a.nextStart()
			}
			job := tc.job("late", 1, 1000)
			job.Arrived = job.Arrived.Add(-250 * time.Millisecond)
			answered, _ := tc.submit(job)
			if c.want == StateComplete {
				a.done(a.nextStart())
			}
			if got := await(t, answered); got.State != c.want {
				t.Errorf("late answers %v, busy %v: %+v", c.late, c.busy, got)
			}
		})
	}
}

// The entry is back from a loss of power before the store, and the store before the agents.
func TestJobWaitsForAgentsAfterFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		time.Sleep(2 * time.Second)
		tc.scheduler.Refresh()
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		time.Sleep(40 * time.Millisecond)
		a := tc.agent("a")
		a.done(a.nextStart())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// Agents have links to some of the entries only. An entry that learns of a cancellation from one
// of them must pass it on, and must not pass on what it knows.
func TestCancellationIsForwardedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		from, other := tc.agent("from"), tc.agent("other")
		forwarded := 0
		for range 3 {
			from.link.Send(peer.Frame{CancelJobs: []string{"j"}})
			time.Sleep(20 * time.Millisecond)
			other.mu.Lock()
			forwarded = other.cancelled["j"]
			other.mu.Unlock()
		}
		if forwarded != 1 {
			t.Errorf("forwarded %d times", forwarded)
		}
		late := tc.agent("late")
		time.Sleep(reportDelay)
		late.mu.Lock()
		defer late.mu.Unlock()
		if late.cancelled["j"] == 0 {
			t.Error("not sent to an agent that links later")
		}
	})
}

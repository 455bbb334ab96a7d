package scheduler

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// In a burst, a job that finds no capacity before its objective is missed must be
// refused, and must not run.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		tc.submit(tc.job("first", 1, 8000))
		a.nextStart()
		begun := time.Now()
		answered, _ := tc.submit(tc.job("second", 1, 8000))
		got := await(t, answered)
		if got.State != StateRefused || got.Verdict != verdict.NotRun || got.RetryAfter <= 0 {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 200*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
		if len(a.starts) > 0 {
			t.Error("a task of the refused job was started")
		}
	})
}

// nextStartOfAny returns the next start at any of the agents.
func nextStartOfAny(t *testing.T, agents []*fakeAgent) (*fakeAgent, peer.Start) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, a := range agents {
			if len(a.starts) > 0 {
				return a, <-a.starts
			}
		}
	}
	t.Fatal("no task was started")
	return nil, peer.Start{}
}

// All capacity except that for one task is used by runs that end long after a wide job
// would have to start. The wide job must be refused on arrival, a narrow one started.
func TestWideJobIsRefusedWhenItsLastTaskCannotStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		var agents []*fakeAgent
		for _, name := range []string{"a", "b", "c", "d"} {
			agents = append(agents, tc.agent(name))
		}
		long := tc.job("long", 15, 2000)
		long.Steps[0].Estimate = time.Second
		tc.submit(long)
		for range 15 {
			nextStartOfAny(t, agents)
		}
		begun := time.Now()
		wide, _ := tc.submit(tc.job("wide", 4, 2000))
		if got := await(t, wide); got.State != StateRefused || got.Verdict != verdict.NotRun || got.RetryAfter <= 0 {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 50*time.Millisecond {
			t.Errorf("refused after %v, want at once", took)
		}
		narrow, _ := tc.submit(tc.job("narrow", 1, 2000))
		a, s := nextStartOfAny(t, agents)
		a.done(s)
		if got := await(t, narrow); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A job that needs more than all capacity runs in waves, even while others use part of
// it.
func TestJobWiderThanAllCapacityRunsInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		tc.submit(tc.job("other", 1, 2000))
		other := a.nextStart()
		a.report(other.Attempt, other.Need, peer.OutcomeStarted, "")
		wide, _ := tc.submit(tc.job("wide", 12, 2000))
		for range 12 {
			a.done(a.nextStart())
		}
		if got := await(t, wide); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// The tasks of other entries are not known individually, only the capacity that they use.
// A job of which some tasks fit must begin all the same.
func TestJobBeginsBesideTheRunsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		a.mu.Lock()
		a.free = task.Resources{CPU: 3000}
		a.mu.Unlock()
		a.link.Send(peer.Frame{})
		for deadline := time.Now().Add(time.Second); tc.freeCPU("a") != 3000 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		answered, _ := tc.submit(tc.job("j", 2, 2000))
		first := a.nextStart()
		a.done(first)
		a.done(a.nextStart())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func (tc *testCluster) freeCPU(name string) int64 {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	return tc.scheduler.targets[name].free().CPU
}

// The link to another data centre loses packets, so starts there are confirmed 200 ms
// late. Work must stay where starts are not delayed.
func TestWorkAvoidsADataCentreWhoseStartsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		far := tc.agentIn("dc2", "far")
		for n := range 4 {
			answered, _ := tc.submit(tc.job(fmt.Sprintf("held-up-%d", n), 1, 1000))
			s := far.nextStart()
			time.Sleep(80 * time.Millisecond)
			far.done(s)
			await(t, answered)
		}
		near := tc.agent("near")
		for n := range 4 {
			tc.submit(tc.job(fmt.Sprintf("later-%d", n), 1, 1000))
			near.nextStart()
		}
		if len(far.starts) > 0 {
			t.Error("a task was started behind the link that loses packets")
		}
	})
}

// waitForDemand waits until the entry knows that the waiting tasks of other entries need cpu of
// a target.
func (tc *testCluster) waitForDemand(name string, cpu int64) {
	tc.t.Helper()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		tc.scheduler.mu.Lock()
		known := tc.scheduler.targets[name].othersDemand.UpTo(math.MaxInt)
		tc.scheduler.mu.Unlock()
		if known == cpu {
			return
		}
	}
	tc.t.Fatal("the demand of other entries has not arrived")
}

// Urgent tasks wait at another entry. Capacity that is free must be left to them by less
// urgent jobs, but not by equally urgent ones, and only as long as they wait.
func TestLessUrgentJobYieldsToUrgentTasksOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		first, _ := tc.submit(tc.job("first", 1, 2000))
		a.done(a.nextStart())
		await(t, first)
		a.setDemand(task.Demand{}.Add(0, 7000))
		tc.waitForDemand("a", 7000)
		less := *tc.queue
		less.Priority = 1
		lessUrgent := tc.job("less-urgent", 1, 2000)
		lessUrgent.Steps[0].Estimate = time.Second
		answered, _ := tc.scheduler.Submit(lessUrgent, &less, connected)
		equal, _ := tc.submit(tc.job("equal", 1, 2000))
		s := a.nextStart()
		if s.Attempt.Key.Job != "equal" {
			t.Errorf("%v was started first", s.Attempt)
		}
		a.done(s)
		if got := await(t, equal); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
		time.Sleep(50 * time.Millisecond)
		if len(a.starts) > 0 {
			t.Fatal("the less urgent job took capacity that urgent tasks need")
		}
		a.setDemand(nil)
		a.done(a.nextStart())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// The agents learn what the waiting tasks of this entry need, each its part, and that they
// no longer wait.
func TestDemandOfWaitingTasksIsSentToAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a, b := tc.agent("a"), tc.agent("b")
		long := tc.job("long", 8, 2000)
		long.Steps[0].Estimate = 100 * time.Millisecond
		tc.submit(long)
		agents := []*fakeAgent{a, b}
		var begun []peer.Start
		var at []*fakeAgent
		for range 8 {
			agent, s := nextStartOfAny(t, agents)
			agent.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
			begun, at = append(begun, s), append(at, agent)
		}
		urgent := *tc.queue
		waiting := tc.job("waiting", 2, 2000)
		waiting.Steps[0].Estimate = time.Second
		tc.scheduler.Submit(waiting, &urgent, connected)
		time.Sleep(50 * time.Millisecond)
		for _, agent := range agents {
			if got := agent.demand(); got.UpTo(0) != 2000 {
				t.Errorf("%s has the demand %v, want its half of 4000", agent.name, got)
			}
		}
		for i, s := range begun {
			at[i].report(s.Attempt, s.Need, peer.OutcomeDone, "")
		}
		for range 2 {
			agent, s := nextStartOfAny(t, agents)
			agent.done(s)
		}
		time.Sleep(50 * time.Millisecond)
		for _, agent := range agents {
			if got := agent.demand(); len(got) > 0 {
				t.Errorf("%s still has the demand %v", agent.name, got)
			}
		}
	})
}

// An urgent task waits for one of the few targets with its label. The other targets' capacity
// must not be left free for it.
func TestTaskForFewTargetsIsNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a, b := tc.agent("a"), tc.agent("b")
		full := tc.job("full", 1, 8000)
		full.Steps[0].Label = "a"
		full.Steps[0].Estimate = time.Second
		tc.submit(full)
		a.nextStart()
		waiting := tc.job("waiting", 1, 2000)
		waiting.Steps[0].Label = "a"
		waiting.Steps[0].Estimate = 2 * time.Second
		tc.submit(waiting)
		time.Sleep(50 * time.Millisecond)
		for _, agent := range []*fakeAgent{a, b} {
			if got := agent.demand(); len(got) > 0 {
				t.Errorf("%s has the demand %v", agent.name, got)
			}
		}
	})
}

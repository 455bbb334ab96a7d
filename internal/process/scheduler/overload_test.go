package scheduler

import (
	"fmt"
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

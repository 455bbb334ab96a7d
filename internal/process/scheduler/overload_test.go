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

// A burst: what finds no room before its objective is lost is refused, truly.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		w.submit(w.job("first", 1, 8000))
		a.next()
		begun := time.Now()
		answered, _ := w.submit(w.job("second", 1, 8000))
		got := await(t, answered)
		if got.State != StateRefused || got.Verdict != verdict.NotRun || got.RetryAfter <= 0 {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 200*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
		if len(a.starts) > 0 {
			t.Error("started what was refused")
		}
	})
}

// nextOf returns the next start at any of the agents.
func nextOf(t *testing.T, agents []*fakeAgent) (*fakeAgent, peer.Start) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, a := range agents {
			if len(a.starts) > 0 {
				return a, <-a.starts
			}
		}
	}
	t.Fatal("no start")
	return nil, peer.Start{}
}

// All room but that for one task is in use by runs that end long after a wide job
// should have started: it is refused when it arrives, and a narrow one is started.
func TestWideJobIsRefusedWhenItsLastTaskCannotStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		var agents []*fakeAgent
		for _, name := range []string{"a", "b", "c", "d"} {
			agents = append(agents, w.agent(name))
		}
		long := w.job("long", 15, 2000)
		long.Steps[0].Estimate = time.Second
		w.submit(long)
		for range 15 {
			nextOf(t, agents)
		}
		begun := time.Now()
		wide, _ := w.submit(w.job("wide", 4, 2000))
		if got := await(t, wide); got.State != StateRefused || got.Verdict != verdict.NotRun || got.RetryAfter <= 0 {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 50*time.Millisecond {
			t.Errorf("refused after %v, want at once", took)
		}
		narrow, _ := w.submit(w.job("narrow", 1, 2000))
		a, s := nextOf(t, agents)
		a.done(s)
		if got := await(t, narrow); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A job wider than all room runs in waves, also while others use a part of it.
func TestJobWiderThanAllRoomRunsInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		w.submit(w.job("other", 1, 2000))
		other := a.next()
		a.report(other.Attempt, other.Need, peer.OutcomeStarted, "")
		wide, _ := w.submit(w.job("wide", 12, 2000))
		for range 12 {
			a.done(a.next())
		}
		if got := await(t, wide); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// Room that other entries use is not known one by one: a job of which some tasks fit
// is begun.
func TestJobBeginsBesideTheRunsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		a.mu.Lock()
		a.room = task.Resources{CPU: 3000}
		a.mu.Unlock()
		a.link.Send(peer.Frame{})
		for deadline := time.Now().Add(time.Second); w.freeCPU("a") != 3000 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		answered, _ := w.submit(w.job("j", 2, 2000))
		first := a.next()
		a.done(first)
		a.done(a.next())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func (w *world) freeCPU(name string) int64 {
	w.scheduler.mu.Lock()
	defer w.scheduler.mu.Unlock()
	return w.scheduler.targets[name].free().CPU
}

// The link to another data centre loses packets, so that starts there are confirmed
// 200 ms late: work stays where it is not held up.
func TestWorkAvoidsADataCentreWhoseStartsAreHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		far := w.agentIn("dc2", "far")
		for n := range 4 {
			answered, _ := w.submit(w.job(fmt.Sprintf("held-up-%d", n), 1, 1000))
			s := far.next()
			time.Sleep(80 * time.Millisecond)
			far.done(s)
			await(t, answered)
		}
		near := w.agent("near")
		for n := range 4 {
			w.submit(w.job(fmt.Sprintf("later-%d", n), 1, 1000))
			near.next()
		}
		if len(far.starts) > 0 {
			t.Error("a task was started behind the link that loses packets")
		}
	})
}

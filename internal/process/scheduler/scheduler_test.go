package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

func TestJobIsCompleteWhenEachTaskIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 3, 1000))
		for range 3 {
			select {
			case <-answered:
				t.Fatal("answered before each task was done")
			default:
			}
			a.done(a.next())
		}
		if got := await(t, answered); got.State != StateComplete {
			t.Fatalf("answer %+v", got)
		}
		again, _ := w.submit(w.job("j", 3, 1000))
		if got := await(t, again); got.State != StateComplete {
			t.Errorf("the same request again is answered %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("the same request again started tasks")
		}
	})
}

func TestStepsFollowTheirDependencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		j := w.job("j", 2, 1000)
		j.Steps = append(j.Steps, task.Step{Count: 1, Need: task.Resources{CPU: 1}, Estimate: time.Millisecond, After: []int{0}})
		answered, _ := w.submit(j)
		first, second := a.next(), a.next()
		a.done(first)
		time.Sleep(30 * time.Millisecond)
		if len(a.starts) > 0 {
			t.Fatal("a step began before the one it depends on had ended")
		}
		a.done(second)
		third := a.next()
		if third.Attempt.Key.Step != 1 {
			t.Fatalf("started %v", third.Attempt)
		}
		a.done(third)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A refusal after something may have run must not say that nothing has.
func TestGivenUpJobIsNotCalledRefusedOnceSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		j := w.job("j", 1, 1000)
		j.Deadline = time.Now().Add(60 * time.Millisecond)
		answered, _ := w.submit(j)
		s := a.next()
		got := await(t, answered)
		if got.State != StateUnfinished || got.Verdict == verdict.NotRun {
			t.Errorf("answer %+v", got)
		}
		if stopped := <-a.stops; stopped != s.Attempt {
			t.Errorf("stopped %v", stopped)
		}
	})
}

func TestRefusedAttemptIsNotCountedAsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 1, 1000))
		for {
			select {
			case s := <-a.starts:
				a.report(s.Attempt, s.Need, peer.OutcomeRefused, peer.RefusalUnanswered)
				continue
			case got := <-answered:
				if got.State != StateRefused || got.Verdict != verdict.NotRun {
					t.Errorf("answer %+v", got)
				}
			}
			return
		}
	})
}

func TestTaskFailsAsOftenAsItsQueueAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.agent("a"), w.agent("b")
		answered, _ := w.submit(w.job("j", 1, 1000))
		var first peer.Start
		var failed, other *fakeAgent
		select {
		case first = <-a.starts:
			failed, other = a, b
		case first = <-b.starts:
			failed, other = b, a
		}
		failed.report(first.Attempt, first.Need, peer.OutcomeFailed, "")
		second := other.next()
		if second.Attempt.Run <= first.Attempt.Run {
			t.Errorf("run %d follows run %d", second.Attempt.Run, first.Attempt.Run)
		}
		other.report(second.Attempt, second.Need, peer.OutcomeFailed, "")
		got := await(t, answered)
		if got.State != StateFailed || got.Reason != apiv1.Reason_REASON_TARGET_FAILED {
			t.Errorf("answer %+v", got)
		}
	})
}

// An agent falls silent: its attempts are repeated elsewhere only when they are
// surely over.
func TestSilentAgentsAttemptsAreRepeatedOnlyWhenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 1, 1000))
		s := a.next()
		a.link.Close()
		begun := time.Now()
		b := w.agent("b")
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					b.link.Send(peer.Frame{})
				}
			}
		}()
		again := b.next()
		if took, over := time.Since(begun), w.scheduler.surelyOver(); took < over-50*time.Millisecond {
			t.Errorf("started again after %v, the first attempt may run for %v", took, over)
		}
		if again.Attempt.Run <= s.Attempt.Run {
			t.Errorf("run %d follows run %d", again.Attempt.Run, s.Attempt.Run)
		}
		b.done(again)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A link breaks and comes back: what runs goes on, what never arrived is sent
// again at once.
func TestReconnectedAgentKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 2, 1000))
		kept, lost := a.next(), a.next()
		a.link.Close()
		for w.knows("a") {
			time.Sleep(time.Millisecond)
		}
		a = w.agent("a", kept.Attempt)
		again := a.next()
		if again.Attempt.Key != lost.Attempt.Key || again.Attempt.Run <= lost.Attempt.Run {
			t.Errorf("sent again: %v", again.Attempt)
		}
		a.mu.Lock()
		if len(a.claims) != 1 || a.claims[0].Attempt != kept.Attempt {
			t.Errorf("claimed %v", a.claims)
		}
		a.mu.Unlock()
		a.done(kept)
		a.done(again)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A caller leaves and comes back with the same job while a run of the first try
// is still being stopped: the two must not overlap.
func TestJobWaitsForTheRunsOfItsFormerSelf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.agent("a"), w.agent("b")
		_, cancel := w.submit(w.job("j", 1, 1000))
		var first peer.Start
		var holder *fakeAgent
		select {
		case first = <-a.starts:
			holder = a
		case first = <-b.starts:
			holder = b
		}
		cancel()
		<-holder.stops
		answered, _ := w.submit(w.job("j", 1, 1000))
		time.Sleep(50 * time.Millisecond)
		if len(a.starts)+len(b.starts) > 0 {
			t.Fatal("started while a run of the first try may go on")
		}
		holder.report(first.Attempt, first.Need, peer.OutcomeStopped, "")
		select {
		case s := <-a.starts:
			a.done(s)
		case s := <-b.starts:
			b.done(s)
		case <-time.After(time.Second):
			t.Fatal("not started after the end of the first try")
		}
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func TestDataCentreOutGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		w.view.ApplyOutages(&policy.Outages{Revision: 5, Out: []string{"dc1"}})
		w.scheduler.Refresh()
		answered, _ := w.submit(w.job("j", 1, 1000))
		if got := await(t, answered); got.State != StateRefused {
			t.Errorf("answer %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("started in a data centre out of service")
		}
	})
}

// A target hangs what it runs: the task moves once its stop is confirmed.
func TestHangingRunMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.agent("a"), w.agent("b")
		answered, _ := w.submit(w.job("j", 1, 1000))
		var s peer.Start
		var slow, other *fakeAgent
		select {
		case s = <-a.starts:
			slow, other = a, b
		case s = <-b.starts:
			slow, other = b, a
		}
		slow.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		slow.link.Send(peer.Frame{Progress: []peer.Progress{{Attempt: s.Attempt, Percent: 10}}})
		<-slow.stops
		if len(other.starts) > 0 {
			t.Fatal("moved before the stop was confirmed")
		}
		slow.report(s.Attempt, s.Need, peer.OutcomeStopped, "")
		other.done(other.next())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func TestCancelReachesAllAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 1, 1000))
		s := a.next()
		if !w.scheduler.Cancel("j") {
			t.Error("the job is not known")
		}
		if got := await(t, answered); got.State != StateCancelled {
			t.Errorf("answer %+v", got)
		}
		if stopped := <-a.stops; stopped != s.Attempt {
			t.Errorf("stopped %v", stopped)
		}
		if w.scheduler.Cancel("unknown") {
			t.Error("an unknown job was cancelled")
		}
		if state, ok := w.scheduler.State("j"); !ok || state != StateCancelled {
			t.Errorf("state %v, %v", state, ok)
		}
	})
}

// The grace of a stop ends with a job in progress: its caller is told, and not cut.
func TestEndingEntryAnswersWhatIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		running, _ := w.submit(w.job("running", 1, 8000))
		s := a.next()
		waiting, _ := w.submit(w.job("waiting", 1, 8000))
		w.scheduler.End()
		if got := await(t, running); got.State != StateUnfinished || got.Verdict != verdict.MayHaveRun {
			t.Errorf("the job in progress is answered %+v", got)
		}
		if got := await(t, waiting); got.State != StateRefused || got.Verdict != verdict.NotRun {
			t.Errorf("the job that waits is answered %+v", got)
		}
		if stopped := <-a.stops; stopped != s.Attempt {
			t.Errorf("stopped %v", stopped)
		}
	})
}

func TestStoppingEntryRefusesNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("old", 1, 1000))
		s := a.next()
		w.scheduler.Stop(0, time.Minute)
		short, _ := w.submit(w.job("short", 1, 1000))
		a.done(a.next())
		if got := await(t, short); got.State != StateComplete {
			t.Errorf("a job that ends long before the stop is answered %+v", got)
		}
		w.scheduler.Stop(0, 20*time.Millisecond)
		fresh, _ := w.submit(w.job("new", 1, 1000))
		if got := await(t, fresh); got.State != StateRefused || got.Reason != apiv1.Reason_REASON_STOPPING {
			t.Errorf("answer %+v", got)
		}
		a.done(s)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("the job in progress is answered %+v", got)
		}
	})
}

// A job is cancelled at another entry: the agents tell, and its tasks that were stopped
// are not started again.
func TestJobCancelledAtAnotherEntryIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		answered, _ := w.submit(w.job("j", 1, 1000))
		s := a.next()
		a.link.Send(peer.Frame{CancelJobs: []string{"j"}})
		a.report(s.Attempt, s.Need, peer.OutcomeStopped, "")
		if got := await(t, answered); got.State != StateCancelled {
			t.Errorf("answer %+v", got)
		}
		time.Sleep(time.Second)
		if len(a.starts) > 0 {
			t.Error("a task of a cancelled job was started again")
		}
	})
}

// This process is paused while a job waits for room, past the time for which its caller
// waits. The first thing after the pause is the word of an agent that has room: the
// caller may have asked elsewhere, so nothing of the job is started.
func TestNothingIsStartedAfterAPausePastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := w.agent("a")
		first := w.job("first", 1, 8000)
		first.Steps[0].Estimate = 30 * time.Millisecond
		w.submit(first)
		s := a.next()
		waiting, _ := w.submit(w.job("waiting", 1, 8000))
		if len(waiting) > 0 {
			t.Fatalf("the job does not wait: %+v", <-waiting)
		}
		// The sweep is what a paused process does not do.
		w.scheduler.mu.Lock()
		w.scheduler.epoch = w.scheduler.epoch.Add(-time.Minute)
		w.scheduler.mu.Unlock()
		w.scheduler.Receive("a", w.scheduler.targets["a"].link, &peer.Frame{
			Room:    &peer.Room{Free: task.Resources{CPU: 8000}},
			Results: []peer.Result{{Number: 1, Attempt: s.Attempt, Outcome: peer.OutcomeDone}},
		})
		if got := await(t, waiting); got.State != StateRefused || got.Verdict != verdict.NotRun {
			t.Errorf("answer %+v", got)
		}
		synctest.Wait()
		if len(a.starts) > 0 {
			t.Error("a task was started after its caller's deadline")
		}
	})
}

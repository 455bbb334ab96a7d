package scheduler

import (
	"fmt"
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
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 3, 1000))
		for range 3 {
			select {
			case <-answered:
				t.Fatal("answered before each task was done")
			default:
			}
			a.done(a.nextStart())
		}
		if got := await(t, answered); got.State != StateComplete {
			t.Fatalf("answer %+v", got)
		}
		again, _ := tc.submit(tc.job("j", 3, 1000))
		if got := await(t, again); got.State != StateComplete {
			t.Errorf("the repeated request is answered %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("the repeated request started tasks")
		}
	})
}

func TestStepsFollowTheirDependencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		j := tc.job("j", 2, 1000)
		j.Steps = append(j.Steps, task.Step{Count: 1, Need: task.Resources{CPU: 1}, Estimate: time.Millisecond, After: []int{0}})
		answered, _ := tc.submit(j)
		first, second := a.nextStart(), a.nextStart()
		a.done(first)
		time.Sleep(30 * time.Millisecond)
		if len(a.starts) > 0 {
			t.Fatal("a step began before the one it depends on had ended")
		}
		a.done(second)
		third := a.nextStart()
		if third.Attempt.Key.Step != 1 {
			t.Fatalf("started %v", third.Attempt)
		}
		a.done(third)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// A job that is given up after an attempt was sent must not be reported as not run.
func TestGivenUpJobIsNotReportedAsNotRunOnceSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		j := tc.job("j", 1, 1000)
		j.Deadline = time.Now().Add(60 * time.Millisecond)
		answered, _ := tc.submit(j)
		s := a.nextStart()
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
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
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

func TestTaskIsAttemptedAsOftenAsItsQueueAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a, b := tc.agent("a"), tc.agent("b")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		var first peer.Start
		var failed, other *fakeAgent
		select {
		case first = <-a.starts:
			failed, other = a, b
		case first = <-b.starts:
			failed, other = b, a
		}
		failed.report(first.Attempt, first.Need, peer.OutcomeFailed, "")
		second := other.nextStart()
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

// The clock of a new agent process begins anew. An entry that echoed that of the former process
// would hold a lease which does not run out for as long as that process had run.
func TestClockOfFormerAgentProcessIsNotEchoed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		time.Sleep(time.Hour)
		a := tc.agent("a")
		before := a.clock()
		a.link.Close()
		time.Sleep(time.Second)
		restarted := tc.agentWithClock("dc1", "a", time.Now())
		time.Sleep(time.Second)
		if echo := restarted.echoed(); echo >= before || echo > restarted.clock() {
			t.Errorf("echoed %v at the time %v of the new process; the former one was at %v", echo, restarted.clock(), before)
		}
	})
}

// An agent falls silent. Its attempts may be repeated elsewhere only once they must
// have ended.
func TestAttemptsOfASilentAgentAreRepeatedOnlyAfterExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
		a.link.Close()
		begun := time.Now()
		b := tc.agent("b")
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
		again := b.nextStart()
		// The agent stops the attempt after peer.OwnerLease, or the target ends it one lease later by
		// a clock that is 2 % slow; the stop order and the agent itself may be late.
		longest := peer.OwnerLease + tc.scheduler.opts.TargetLease*102/100 + 100*time.Millisecond
		if took := time.Since(begun); took < longest {
			t.Errorf("started again after %v, the first attempt may run for %v", took, longest)
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

// A link breaks and reconnects. Running attempts must continue, and an attempt that
// never arrived must be repeated at once.
func TestReconnectedAgentKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 2, 1000))
		kept, lost := a.nextStart(), a.nextStart()
		a.link.Close()
		for tc.hasUsableTarget("a") {
			time.Sleep(time.Millisecond)
		}
		a = tc.agent("a", kept.Attempt)
		again := a.nextStart()
		if again.Attempt.Key != lost.Attempt.Key || again.Attempt.Run <= lost.Attempt.Run {
			t.Errorf("repeated attempt: %v", again.Attempt)
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

// A caller leaves and submits the same job again while a run of the first submission is
// still being stopped. The two must not overlap.
func TestResubmittedJobWaitsForRunsOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a, b := tc.agent("a"), tc.agent("b")
		_, cancel := tc.submit(tc.job("j", 1, 1000))
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
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		time.Sleep(50 * time.Millisecond)
		if len(a.starts)+len(b.starts) > 0 {
			t.Fatal("started while a run of the first submission may continue")
		}
		holder.report(first.Attempt, first.Need, peer.OutcomeStopped, "")
		select {
		case s := <-a.starts:
			a.done(s)
		case s := <-b.starts:
			b.done(s)
		case <-time.After(time.Second):
			t.Fatal("not started after the first submission had ended")
		}
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func TestDataCentreOutOfServiceGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		tc.view.ApplyOutages(&policy.Outages{Revision: 5, Out: []string{"dc1"}})
		tc.scheduler.Refresh()
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		if got := await(t, answered); got.State != StateRefused {
			t.Errorf("answer %+v", got)
		}
		if len(a.starts) > 0 {
			t.Error("started in a data centre out of service")
		}
	})
}

// A target hangs its run. The task must move, but only after the stop is confirmed.
func TestHungRunIsMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a, b := tc.agent("a"), tc.agent("b")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
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
		other.done(other.nextStart())
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

func TestCancelReachesAllAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
		if known, _ := tc.scheduler.Cancel("j"); !known {
			t.Error("the job is not known")
		}
		if got := await(t, answered); got.State != StateCancelled {
			t.Errorf("answer %+v", got)
		}
		if stopped := <-a.stops; stopped != s.Attempt {
			t.Errorf("stopped %v", stopped)
		}
		if known, _ := tc.scheduler.Cancel("unknown"); known {
			t.Error("an unknown job was cancelled")
		}
		if state, ok := tc.scheduler.State("j"); !ok || state != StateCancelled {
			t.Errorf("state %v, %v", state, ok)
		}
	})
}

// The grace period of a stop ends with a job in progress: its caller must get an answer
// instead of a broken connection.
func TestEndingEntryAnswersJobsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		running, _ := tc.submit(tc.job("running", 1, 8000))
		s := a.nextStart()
		waiting, _ := tc.submit(tc.job("waiting", 1, 8000))
		tc.scheduler.GiveUpAll()
		if got := await(t, running); got.State != StateUnfinished || got.Verdict != verdict.MayHaveRun {
			t.Errorf("the job in progress is answered %+v", got)
		}
		if got := await(t, waiting); got.State != StateRefused || got.Verdict != verdict.NotRun {
			t.Errorf("the queued job is answered %+v", got)
		}
		if stopped := <-a.stops; stopped != s.Attempt {
			t.Errorf("stopped %v", stopped)
		}
	})
}

func TestStoppingEntryRefusesNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("old", 1, 1000))
		s := a.nextStart()
		tc.scheduler.Stop(0, time.Minute)
		short, _ := tc.submit(tc.job("short", 1, 1000))
		a.done(a.nextStart())
		if got := await(t, short); got.State != StateComplete {
			t.Errorf("a job that ends long before the stop is answered %+v", got)
		}
		tc.scheduler.Stop(0, 20*time.Millisecond)
		fresh, _ := tc.submit(tc.job("new", 1, 1000))
		if got := await(t, fresh); got.State != StateRefused || got.Reason != apiv1.Reason_REASON_STOPPING {
			t.Errorf("answer %+v", got)
		}
		a.done(s)
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("the job in progress is answered %+v", got)
		}
	})
}

// A job is cancelled at another entry and the agents pass this on. Its stopped tasks
// must not be started again.
func TestJobCancelledAtAnotherEntryIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		s := a.nextStart()
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

// The process is paused while a job waits for capacity, past the caller's deadline. The
// first event after the pause is a frame of an agent with free capacity. The caller may
// have sent the job to another entry, so no task of the job may be started.
func TestNothingIsStartedAfterAPausePastTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		a := tc.agent("a")
		first := tc.job("first", 1, 8000)
		first.Steps[0].Estimate = 30 * time.Millisecond
		tc.submit(first)
		s := a.nextStart()
		waiting, _ := tc.submit(tc.job("waiting", 1, 8000))
		if len(waiting) > 0 {
			t.Fatalf("the job does not wait: %+v", <-waiting)
		}
		// Move the epoch without a sweep, as a paused process does not sweep.
		tc.scheduler.mu.Lock()
		tc.scheduler.epoch = tc.scheduler.epoch.Add(-time.Minute)
		tc.scheduler.mu.Unlock()
		tc.scheduler.Receive("a", tc.scheduler.targets["a"].link, &peer.Frame{
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

// The first request was answered as one that may have run; the repeated one is refused before it
// sends anything.
func TestRefusedRepeatOfJobThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	for _, resolved := range []bool{false, true} {
		t.Run(fmt.Sprintf("resolved %v", resolved), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				a := tc.agent("a")
				j := tc.job("j", 1, 1000)
				j.Deadline = time.Now().Add(60 * time.Millisecond)
				answered, _ := tc.submit(j)
				s := a.nextStart()
				await(t, answered)
				if resolved {
					a.report(s.Attempt, s.Need, peer.OutcomeLost, "")
					time.Sleep(10 * time.Millisecond)
				}
				tc.scheduler.Stop(0, time.Millisecond)
				again, _ := tc.submit(tc.job("j", 1, 1000))
				if got := await(t, again); got.State == StateRefused || got.Verdict == verdict.NotRun {
					t.Errorf("the repeat is answered %v, %v", got.State, got.Verdict)
				}
			})
		})
	}
}

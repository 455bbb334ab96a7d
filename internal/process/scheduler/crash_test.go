package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// queueRates are the rates of starts that agents report.
var queueRates = []crash.QueueRate{{Queue: "q", PerSecond: 1}}

// crashGap is the time between two crashes that are not of one moment.
const crashGap = 100 * time.Millisecond

// reportCrash reports a crash of the agent's target under some runs.
func (a *fakeAgent) reportCrash(incarnation int64, runs ...crash.Run) {
	a.link.Send(peer.Frame{Crashes: []crash.Report{{
		ID: crash.ID{Target: a.name, Incarnation: incarnation}, Agent: a.name, Runs: runs, Rates: queueRates,
	}}})
	time.Sleep(10 * time.Millisecond)
}

// crashed returns the run of a start order for a report.
func crashed(s peer.Start) crash.Run {
	return crash.Run{Task: s.Attempt.Key, Queue: s.Queue, Age: 8 * time.Millisecond, Isolated: s.Isolated}
}

func clusterOf(t *testing.T, n int) (*testCluster, []*fakeAgent) {
	tc := newTestCluster(t)
	var agents []*fakeAgent
	for i := range n {
		agents = append(agents, tc.agent(fmt.Sprint("a", i)))
	}
	return tc, agents
}

// A task crashes the target that starts it, and the next one. The job must fail at once, and
// its task must not be started a third time.
func TestTaskThatCrashesTargetsIsStartedTwiceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 6)
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		a, s := nextStartOfAny(t, agents)
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		a.reportCrash(1, crashed(s), crash.Run{Queue: "other", Age: time.Second})
		a.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		b, second := nextStartOfAny(t, agents)
		if !second.Isolated || b == a {
			t.Errorf("started again on %s, isolated %v", b.name, second.Isolated)
		}
		time.Sleep(crashGap)
		b.report(second.Attempt, second.Need, peer.OutcomeStarted, "")
		begun := time.Now()
		b.reportCrash(1, crashed(second))
		if got := await(t, answered); got.State != StateFailed || got.Verdict != verdict.Ran {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 20*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		b.report(second.Attempt, second.Need, peer.OutcomeLost, "")
		time.Sleep(time.Second)
		for _, a := range agents {
			if len(a.starts) > 0 {
				t.Error("the task is started again")
			}
		}
	})
}

// One target crashed under a job, another one before its order arrived there, and a third one is
// only silent. The job must not be answered as failed, and runs again once the third one answers.
func TestJobIsNotAnsweredAsFailedForCrashesThatAreNotCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 6)
		run := crash.Run{Task: task.Key{Job: "j"}, Queue: "q", Age: 300 * time.Millisecond}
		agents[0].reportCrash(1, run)
		time.Sleep(crashGap)
		run.Unconfirmed = true
		agents[1].reportCrash(1, run)
		time.Sleep(crashGap)
		run.Unconfirmed = false
		silence := crash.Report{ID: crash.ID{Target: agents[2].name, Incarnation: 1}, Agent: agents[2].name, Runs: []crash.Run{run}, Silent: true}
		agents[2].link.Send(peer.Frame{Crashes: []crash.Report{silence}})
		time.Sleep(time.Millisecond)
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		if got := await(t, answered); got.State != StateUnfinished || got.Verdict != verdict.Ran {
			t.Errorf("answer %+v", got)
		}
		silence.Withdrawn = true
		agents[2].link.Send(peer.Frame{Crashes: []crash.Report{silence}})
		time.Sleep(time.Millisecond)
		tc.submit(tc.job("j", 1, 1000))
		if _, s := nextStartOfAny(t, agents); s.Attempt.Key.Job != "j" {
			t.Errorf("%v is started", s.Attempt)
		}
	})
}

// A job has crashed targets at another entry, and its caller turns to this one.
func TestCrashesAtAnotherEntryCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 6)
		run := crash.Run{Task: task.Key{Job: "j"}, Queue: "q", Isolated: true}
		agents[0].reportCrash(1, run)
		time.Sleep(crashGap)
		agents[1].reportCrash(1, run)
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		if got := await(t, answered); got.State != StateFailed {
			t.Errorf("answer %+v", got)
		}
		for _, a := range agents {
			if len(a.starts) > 0 {
				t.Error("the task is started")
			}
		}
	})
}

// A job that has crashed a target at another entry cannot be run apart now. It must not be
// said not to have run.
func TestJobThatHasCrashedATargetIsNotSaidNotToHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 2)
		agents[0].reportCrash(1, crash.Run{Task: task.Key{Job: "j"}, Queue: "q", Isolated: true})
		agents[0].link.Close()
		tc.submit(tc.job("other", 4, 2000))
		for range 4 {
			agents[1].nextStart()
		}
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		if got := await(t, answered); got.State == StateRefused || got.Verdict == verdict.NotRun {
			t.Errorf("answer %+v", got)
		}
	})
}

// Two of the targets that are set apart for a queue lose power together. The report about one is
// first, and must not be taken for proof that the queue is the cause.
func TestQueueIsNotIsolatedForTargetsThatCrashTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 11)
		rates := []crash.QueueRate{{Queue: "q", PerSecond: 45}}
		report := func(i int) {
			run := crash.Run{Task: task.Key{Job: fmt.Sprint("j", i)}, Queue: "q", Age: 8 * time.Millisecond}
			id := crash.ID{Target: agents[i].name, Incarnation: 1}
			agents[i].link.Send(peer.Frame{Crashes: []crash.Report{{ID: id, Agent: agents[i].name, Runs: []crash.Run{run}, Rates: rates}}})
		}
		for i := range 3 {
			report(i)
			time.Sleep(crashGap)
		}
		if got := tc.queueSeparation("q"); got != load.Apart {
			t.Fatalf("after three crashes the queue is %v", got)
		}
		report(3)
		time.Sleep(10 * time.Millisecond)
		report(4)
		time.Sleep(crashGap)
		if got := tc.queueSeparation("q"); got != load.Apart {
			t.Errorf("the queue is %v", got)
		}
		report(5)
		time.Sleep(crashGap)
		if got := tc.queueSeparation("q"); got != load.Isolated {
			t.Errorf("after another crash the queue is %v", got)
		}
	})
}

func (tc *testCluster) queueSeparation(queue string) load.Separation {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	return tc.scheduler.confinement.Separation(queue)
}

// A new report is passed on, so that it survives the agent that made it.
func TestReportOfACrashIsForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, agents := clusterOf(t, 5)
		agents[0].reportCrash(1, crash.Run{Task: task.Key{Job: "j"}, Queue: "q"})
		informed := 0
		for _, a := range agents[1:] {
			informed += a.crashCount()
		}
		if informed != maxForwards || agents[0].crashCount() != 0 {
			t.Errorf("%d other agents are informed", informed)
		}
	})
}

// The first task of an isolated job goes ahead: if it crashes the target, nothing else of the
// job is lost.
func TestFirstTaskOfAnIsolatedJobGoesAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 8)
		tc.isolateQueue()
		answered, _ := tc.submit(tc.job("j", 3, 1000))
		a, first := nextStartOfAny(t, agents)
		a.report(first.Attempt, first.Need, peer.OutcomeStarted, "")
		time.Sleep(20 * time.Millisecond)
		for _, b := range agents {
			if len(b.starts) > 0 {
				t.Fatal("a second task is started")
			}
		}
		a.report(first.Attempt, first.Need, peer.OutcomeDone, "")
		for range 2 {
			b, s := nextStartOfAny(t, agents)
			if b != a || !s.Isolated {
				t.Errorf("started on %s, isolated %v", b.name, s.Isolated)
			}
			b.done(s)
		}
		if got := await(t, answered); got.State != StateComplete {
			t.Errorf("answer %+v", got)
		}
	})
}

// The first task of an isolated job keeps other jobs out. Its other tasks must not wait until
// that ends: another job would then take the target first.
func TestOtherTasksOfAnIsolatedJobFollowWhileTheTargetIsKeptForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 8)
		tc.isolateQueue()
		alone := crash.Run{Task: task.Key{Job: "alone"}, Queue: "q", Age: 8 * time.Millisecond, Isolated: true}
		agents[7].reportCrash(1, alone)
		tc.submit(tc.job("j", 3, 1000))
		a, first := nextStartOfAny(t, agents)
		a.setExclusiveJob("j")
		a.report(first.Attempt, first.Need, peer.OutcomeStarted, "")
		time.Sleep(2*alone.Age + 25*time.Millisecond)
		if len(a.starts) != 2 {
			t.Errorf("%d other tasks are started", len(a.starts))
		}
		tc.submit(tc.job("other", 1, 1000))
		time.Sleep(20 * time.Millisecond)
		if len(a.starts) > 2 {
			t.Error("another job is started there")
		}
	})
}

func (a *fakeAgent) setExclusiveJob(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exclusiveJob = id
}

// isolateQueue makes the entry isolate the jobs of its queue.
func (tc *testCluster) isolateQueue() {
	tc.scheduler.mu.Lock()
	tc.scheduler.receiveCrashes(nil, tc.crashesOfQueue())
	tc.scheduler.mu.Unlock()
	time.Sleep(2 * load.SettleTime)
	if got := tc.queueSeparation(tc.queue.Name); got != load.Isolated {
		tc.t.Fatalf("the queue is %v", got)
	}
}

// crashesOfQueue returns crashes for which the queue of the cluster is certainly to blame.
func (tc *testCluster) crashesOfQueue() []crash.Report {
	var reports []crash.Report
	for n := range int64(8) {
		run := crash.Run{Task: task.Key{Job: fmt.Sprint("killer-", n)}, Queue: tc.queue.Name}
		reports = append(reports, crash.Report{
			ID: crash.ID{Target: "gone", Incarnation: n}, Runs: []crash.Run{run}, Age: time.Duration(n) * time.Second, Rates: queueRates,
		})
	}
	return reports
}

// An entry links with an agent after the others have released a queue. The crashes come in the same
// frame and must not confine the queue again.
func TestCrashesReportedWithTheReleaseOfAQueueDoNotConfineIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 8)
		reports := tc.crashesOfQueue()
		release := crash.Release{Queue: tc.queue.Name, Latest: reports[0].ID}
		agents[0].link.Send(peer.Frame{Crashes: reports, Released: []crash.Release{release}})
		time.Sleep(4 * load.SettleTime)
		if got := tc.queueSeparation(tc.queue.Name); got != load.Shared {
			t.Errorf("the queue is %v", got)
		}
	})
}

// While all targets set apart are down, a job that must be isolated is refused at once.
func TestIsolatedJobIsRefusedAtOnceWithoutATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 8)
		tc.isolateQueue()
		for _, a := range agents[:load.TargetsApart(len(agents), 0, load.Isolated)] {
			a.reportCrash(1, crash.Run{Queue: "q", Isolated: true})
			a.link.Send(peer.Frame{Target: &peer.Target{ID: a.name, Incarnation: 1, Pool: "p"}})
		}
		time.Sleep(50 * time.Millisecond)
		begun := time.Now()
		answered, _ := tc.submit(tc.job("j", 1, 1000))
		got := await(t, answered)
		if got.State != StateRefused || got.Verdict != verdict.NotRun || got.RetryAfter <= 0 {
			t.Errorf("answer %+v", got)
		}
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// A job of which a run was on a crashed target, but not the youngest one, is started again. It
// may be the cause, and must not run beside jobs that are no suspects.
func TestMinorSuspectIsNotStartedBesideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 6)
		tc.submit(tc.job("j", 1, 1000))
		a, s := nextStartOfAny(t, agents)
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		older := crashed(s)
		older.Age = 30 * time.Millisecond
		a.reportCrash(1, crash.Run{Task: task.Key{Job: "younger"}, Queue: "q", Age: 10 * time.Millisecond}, older)
		a.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		b, second := nextStartOfAny(t, agents)
		if second.Isolated || b == a {
			t.Errorf("started again on %s, isolated %v", b.name, second.Isolated)
		}
		for n := range 8 {
			tc.submit(tc.job(fmt.Sprint("innocent-", n), 1, 1000))
			if c, _ := nextStartOfAny(t, agents); c == b {
				t.Fatal("a job that is no suspect is started beside it")
			}
		}
	})
}

// A target stops answering for a moment. Once it answers, the jobs there are no suspects, and
// their other tasks need no target of their own.
func TestSuspicionEndsWhenItsCrashIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, agents := clusterOf(t, 1)
		tc.submit(tc.job("j", 2, 5000))
		a, s := nextStartOfAny(t, agents)
		a.report(s.Attempt, s.Need, peer.OutcomeStarted, "")
		tc.agent("spare")
		tc.agent("other")
		report := crash.Report{ID: crash.ID{Target: a.name, Incarnation: 1}, Agent: a.name, Runs: []crash.Run{crashed(s)}, Silent: true}
		a.link.Send(peer.Frame{Crashes: []crash.Report{report}})
		time.Sleep(time.Millisecond)
		if got := tc.separationOf("j"); got != load.Isolated {
			t.Fatalf("the job is %v", got)
		}
		report.Withdrawn = true
		a.link.Send(peer.Frame{Crashes: []crash.Report{report}})
		time.Sleep(time.Millisecond)
		if got := tc.separationOf("j"); got != load.Shared {
			t.Errorf("the job is %v", got)
		}
	})
}

// separationOf returns how far a job is kept apart.
func (tc *testCluster) separationOf(id string) load.Separation {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	return tc.scheduler.jobs[id].separation
}

// restart announces a new incarnation of the agent's target.
func (a *fakeAgent) restart(incarnation int64) {
	a.link.Send(peer.Frame{Target: &peer.Target{ID: a.name, Incarnation: incarnation, Pool: "p", DataCentre: "dc1", Available: true}})
	time.Sleep(time.Millisecond)
}

// targetsApart returns the names of the targets that are set apart.
func (tc *testCluster) targetsApart() []string {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	var names []string
	for name, t := range tc.scheduler.targets {
		if t.setApart {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// An entry starts while targets are set apart. If it set others apart, its jobs that are not
// isolated would keep the isolated ones of the other entries out.
func TestEntryThatStartsLaterSetsTheSameTargetsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crashing := []int{5, 2, 8, 9}
		run := crash.Run{Queue: "q", Age: 8 * time.Millisecond}
		first, agents := clusterOf(t, 11)
		for n, i := range crashing {
			run.Task.Job = fmt.Sprint("killer-", n)
			agents[i].reportCrash(1, run)
			time.Sleep(50 * time.Millisecond)
		}
		reports := first.scheduler.crashReports()
		for _, i := range crashing {
			agents[i].restart(2)
		}
		later, others := clusterOf(t, 11)
		for _, i := range crashing {
			others[i].restart(2)
		}
		others[0].link.Send(peer.Frame{Crashes: reports})
		for _, a := range slices.Concat(agents, others) {
			a.link.Send(peer.Frame{})
		}
		time.Sleep(50 * time.Millisecond)
		want := first.targetsApart()
		if len(want) != len(crashing) {
			t.Fatalf("%v are set apart", want)
		}
		if got := later.targetsApart(); !slices.Equal(got, want) {
			t.Errorf("%v are set apart, %v by the other entry", got, want)
		}
		if got, want := later.scheduler.latestCrash("q"), first.scheduler.latestCrash("q"); got != want {
			t.Errorf("the latest crash is %v, %v for the other entry", got, want)
		}
	})
}

func (s *Scheduler) crashReports() []crash.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Reports(s.now())
}

func (s *Scheduler) latestCrash(queue string) crash.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confinement.LatestCrash(queue)
}

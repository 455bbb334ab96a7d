package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// shortWait is how long the first caller of a job that is sent again waits.
const shortWait = 200 * time.Millisecond

// resend submits the job of startWithLateOrder again, for a caller that waits longer than a late
// order can.
func (tc *testCluster) resend() <-chan Answer {
	j := tc.job("j", 1, 1000)
	j.Deadline = j.Arrived.Add(longWait)
	answered, _ := tc.submit(j)
	return answered
}

// expectBlocked fails unless the job is answered as unfinished since its order may come late, not
// before and at most 30 ms after the time at.
func expectBlocked(t *testing.T, answered <-chan Answer, at time.Time) Answer {
	t.Helper()
	select {
	case a := <-answered:
		if a.State != StateUnfinished || a.Verdict == verdict.NotRun || a.Reason != apiv1.Reason_REASON_OUTCOME_UNKNOWN {
			t.Errorf("answer %+v", a)
		}
		if late := time.Since(at); late < 0 || late > 30*time.Millisecond {
			t.Errorf("answered %v after it could be", late)
		}
		return a
	case <-time.After(longWait):
		t.Fatal("no answer")
		return Answer{}
	}
}

// Nothing can be started before the late order is over: the caller is told at once, and after how
// long.
func TestJobSentAgainWhileItsAttemptIsKeptIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, _, answered := startWithLateOrder(t, shortWait)
		reported := time.Now()
		first.link.Close()
		await(t, answered)
		time.Sleep(4 * time.Second)
		a := expectBlocked(t, tc.resend(), time.Now())
		left := peer.MaxOrderDelay - time.Since(reported)
		if d := a.RetryAfter - left; d < -10*time.Millisecond || d > 10*time.Millisecond {
			t.Errorf("retry after %v, want %v", a.RetryAfter, left)
		}
	})
}

// The same with a report of a later process that the run is lost, long before the attempt would
// have expired.
func TestJobSentAgainAfterLaterProcessReportedItsRunAsLostIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, s, answered := startWithLateOrder(t, shortWait)
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.beat()
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		await(t, answered)
		expectBlocked(t, tc.resend(), time.Now())
	})
}

// The agent has fallen silent shortly before: the job waits for the expiry of its predecessor's
// attempts, of which this one turns out to be kept.
func TestJobBehindAttemptThatTurnsOutToBeKeptIsAnsweredOnceThatExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, _, answered := startWithLateOrder(t, shortWait)
		heard := tc.target("lost").lastFrameAt
		first.link.Close()
		await(t, answered)
		expectBlocked(t, tc.resend(), tc.scheduler.epoch.Add(heard+tc.scheduler.attemptExpiry()))
	})
}

// The agent is well when the job is sent again, and falls silent before it has stopped the run.
func TestJobBehindAttemptOfAgentThatFallsSilentIsAnsweredOnceThatCouldHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, _, answered := startWithLateOrder(t, shortWait)
		first.beat()
		await(t, answered)
		ended := time.Now()
		again := tc.resend()
		time.Sleep(90 * time.Millisecond)
		first.link.Close()
		expectBlocked(t, again, ended.Add(tc.scheduler.attemptExpiry()))
	})
}

// The agent is well and keeps the run by itself, since its target has fallen silent.
func TestJobBehindAttemptThatItsAgentKeepsIsAnsweredOnceThatCouldHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, _, answered := startWithLateOrder(t, shortWait)
		first.beat()
		await(t, answered)
		ended := time.Now()
		expectBlocked(t, tc.resend(), ended.Add(tc.scheduler.attemptExpiry()))
		time.Sleep(time.Second)
		expectBlocked(t, tc.resend(), time.Now())
	})
}

// An agent that is well stops the run: the job sent again need not be turned away.
func TestJobSentAgainBehindLateOrderOfWorkingAgentBeginsOnceItsRunIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, s, answered := startWithLateOrder(t, shortWait)
		first.beat()
		await(t, answered)
		again := tc.resend()
		time.Sleep(50 * time.Millisecond)
		first.report(s.Attempt, s.Need, peer.OutcomeStopped, "")
		select {
		case s := <-other.starts:
			other.done(s)
		case s := <-first.starts:
			first.done(s)
		case <-time.After(50 * time.Millisecond):
			t.Fatal("not started")
		}
		if a := await(t, again); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// The order can no longer come before the job would miss its objective: it waits.
func TestJobSentAgainShortlyBeforeLateOrderIsOverIsStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, _, answered := startWithLateOrder(t, shortWait)
		reported := time.Now()
		first.link.Close()
		await(t, answered)
		time.Sleep(time.Until(reported.Add(peer.MaxOrderDelay - 50*time.Millisecond)))
		again := tc.resend()
		s, _, ok := other.startsWithin(80 * time.Millisecond)
		if !ok {
			t.Fatal("not started")
		}
		if early := time.Until(reported.Add(peer.MaxOrderDelay)); early > 10*time.Millisecond {
			t.Errorf("started %v before the order was over", early)
		}
		other.done(s)
		if a := await(t, again); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// An attempt without a late order has ended once it expires: its successor begins then.
func TestJobBehindAttemptWithoutLateOrderBeginsOnceThatExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		first := tc.agent("lost")
		j := tc.job("j", 1, 1000)
		j.Deadline = j.Arrived.Add(shortWait)
		answered, _ := tc.submit(j)
		first.nextStart()
		other := tc.agent("other")
		other.beat()
		first.link.Close()
		await(t, answered)
		again := tc.resend()
		other.done(other.nextStart())
		if a := await(t, again); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// The entry remembers that the job may have run for as long after such an answer as after others:
// a refusal would say that it never ran.
func TestJobTurnedAwayDuringLateOrderIsNotReportedAsNotRunAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, _, answered := startWithLateOrder(t, shortWait)
		reported := time.Now()
		first.link.Close()
		await(t, answered)
		time.Sleep(time.Until(reported.Add(12 * time.Second)))
		expectBlocked(t, tc.resend(), time.Now())
		other.link.Close()
		time.Sleep(time.Until(reported.Add(peer.MaxOrderDelay + time.Second)))
		if a := await(t, tc.resend()); a.State != StateUnfinished || a.Verdict == verdict.NotRun || a.Reason != apiv1.Reason_REASON_NO_ELIGIBLE_TARGET {
			t.Errorf("answer %+v", a)
		}
	})
}

// An agent that is well takes long to stop a run without a late order: that ends by itself, and
// its successor waits for it.
func TestJobBehindSlowStopWithoutLateOrderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		first := tc.agent("lost")
		j := tc.job("j", 1, 1000)
		j.Deadline = j.Arrived.Add(shortWait)
		answered, _ := tc.submit(j)
		s := first.nextStart()
		first.beat()
		await(t, answered)
		again := tc.resend()
		time.Sleep(3 * time.Second)
		first.report(s.Attempt, s.Need, peer.OutcomeStopped, "")
		first.done(first.nextStart())
		if a := await(t, again); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

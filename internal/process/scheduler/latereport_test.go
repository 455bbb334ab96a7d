package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// longWait is how long a caller waits that outlasts a late order.
const longWait = peer.MaxOrderDelay + 5*time.Second

// startsWithin returns how long after now a task is started on the agent, and whether that is
// within the duration d.
func (a *fakeAgent) startsWithin(d time.Duration) (s peer.Start, after time.Duration, ok bool) {
	begun := time.Now()
	select {
	case s = <-a.starts:
		return s, time.Since(begun), true
	case <-time.After(d):
		return peer.Start{}, d, false
	}
}

// expectStartOnceOrderCannotCome fails unless the task is started on the agent when MaxOrderDelay
// has passed since its late order was reported at the time reported, and not before. It ends it there.
func (a *fakeAgent) expectStartOnceOrderCannotCome(reported time.Time, answered <-chan Answer) {
	a.t.Helper()
	s, _, ok := a.startsWithin(longWait)
	if !ok {
		a.t.Fatal("the task was not started elsewhere")
	}
	if after := time.Since(reported); after < peer.MaxOrderDelay-10*time.Millisecond || after > peer.MaxOrderDelay+50*time.Millisecond {
		a.t.Errorf("the task was started elsewhere %v after the report, want %v", after, peer.MaxOrderDelay)
	}
	a.done(s)
	if got := await(a.t, answered); got.State != StateComplete {
		a.t.Errorf("answer %+v", got)
	}
}

// The process that reported a late order keeps the run until it cannot be executed any more: its
// report that the run is lost is final, also on its next link.
func TestLostByProcessThatReportedLateOrderIsStartedElsewhereAtOnce(t *testing.T) {
	for _, relinked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			_, first, other, s, answered := startWithLateOrder(t, longWait)
			if relinked {
				first.relink(s.Attempt)
			}
			first.report(s.Attempt, s.Need, peer.OutcomeLost, "")
			again, after, ok := other.startsWithin(time.Second)
			if !ok || after > 50*time.Millisecond {
				t.Fatalf("relinked %v: started elsewhere: %v, after %v", relinked, ok, after)
			}
			other.done(again)
			if a := await(t, answered); a.State != StateComplete {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// The target has ended the run: that is final, whichever process of its agent reports it.
func TestEndReportedByLaterProcessIsFinalDespiteLateOrder(t *testing.T) {
	for outcome, want := range map[peer.Outcome]State{
		peer.OutcomeDone:    StateComplete,
		peer.OutcomeFailed:  "",
		peer.OutcomeStopped: "",
	} {
		synctest.Test(t, func(t *testing.T) {
			tc, first, other, s, answered := startWithLateOrder(t, longWait)
			first.link.Close()
			next := tc.agent("lost", s.Attempt)
			next.report(s.Attempt, s.Need, outcome, "")
			if want != "" {
				if a := await(t, answered); a.State != want {
					t.Errorf("%v: answer %+v", outcome, a)
				}
				return
			}
			if _, after, ok := other.startsWithin(time.Second); !ok || after > 50*time.Millisecond {
				t.Errorf("%v: started elsewhere: %v, after %v", outcome, ok, after)
			}
		})
	}
}

// A later process does not know of the late order. The attempt that it reports as lost is kept
// while the order may come, no longer, also if that process links again without listing it.
func TestAttemptReportedAsLostByLaterProcessIsKeptWhileItsOrderMayCome(t *testing.T) {
	for _, relinked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tc, first, other, s, answered := startWithLateOrder(t, longWait)
			reported := time.Now()
			first.link.Close()
			next := tc.agent("lost", s.Attempt)
			next.beat()
			next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
			if relinked {
				time.Sleep(time.Second)
				next.relink()
				next.beat()
			}
			other.expectStartOnceOrderCannotCome(reported, answered)
		})
	}
}

// The report of the later process was lost with its link, and its next link does not list the run.
func TestAttemptThatLaterProcessNoLongerListsIsKeptWhileItsOrderMayCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, s, answered := startWithLateOrder(t, longWait)
		reported := time.Now()
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		time.Sleep(reportDelay)
		next.relink()
		next.beat()
		other.expectStartOnceOrderCannotCome(reported, answered)
	})
}

// A process that has never known the attempt links after its target has answered a poll with a
// higher token than that of the late order.
func TestAttemptReportedAsLostIsStartedElsewhereOnceAThirdProcessDoesNotKnowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, s, answered := startWithLateOrder(t, longWait)
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		time.Sleep(time.Second)
		next.link.Close()
		tc.agent("lost")
		again, after, ok := other.startsWithin(time.Second)
		if !ok || after > 50*time.Millisecond {
			t.Fatalf("started elsewhere: %v, after %v", ok, after)
		}
		other.done(again)
		if a := await(t, answered); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// The late order was executed after all, and a third process of the agent lists the run: it is not
// started elsewhere when no order can come any more.
func TestLateRunListedAfterReportAsLostGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, other, s, answered := startWithLateOrder(t, longWait)
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		time.Sleep(time.Second)
		next.link.Close()
		third := tc.agent("lost", s.Attempt)
		third.beat()
		if _, after, ok := other.startsWithin(peer.MaxOrderDelay); ok {
			t.Fatalf("started elsewhere after %v while its run goes on", after)
		}
		third.report(s.Attempt, s.Need, peer.OutcomeDone, "")
		if a := await(t, answered); a.State != StateComplete {
			t.Errorf("answer %+v", a)
		}
	})
}

// An agent lists late orders again on each link: the attempt is kept for MaxOrderDelay in all.
func TestLateOrderReportedAgainOnNextLinkIsNotKeptLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, first, other, s, answered := startWithLateOrder(t, longWait)
		reported := time.Now()
		first.beat()
		time.Sleep(10 * time.Second)
		first.relink(s.Attempt)
		first.link.Send(peer.Frame{LateOrders: []task.Attempt{s.Attempt}})
		time.Sleep(reportDelay)
		first.link.Close()
		other.expectStartOnceOrderCannotCome(reported, answered)
	})
}

// logTo writes the log of the entry to a buffer.
func (tc *testCluster) logTo(b *bytes.Buffer) {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	tc.scheduler.opts.Log = zerolog.New(b)
}

// keptLines returns the log lines of attempts that were kept.
func (tc *testCluster) keptLines(b *bytes.Buffer) (lines []string) {
	tc.scheduler.mu.Lock()
	defer tc.scheduler.mu.Unlock()
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, "attempt kept: order may come late") {
			lines = append(lines, line)
		}
	}
	return lines
}

// One line and one count for each attempt, however often it is found to be kept.
func TestKeptAttemptIsLoggedAndCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc, first, _, s, _ := startWithLateOrder(t, longWait)
		var log bytes.Buffer
		tc.logTo(&log)
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		time.Sleep(time.Second)
		next.link.Close()
		time.Sleep(3 * time.Second)
		lines := tc.keptLines(&log)
		if len(lines) != 1 {
			t.Fatalf("%d lines, want 1: %v", len(lines), lines)
		}
		for _, field := range []string{`"job":"j"`, `"task":"`, `"run":1`, `"target":"lost"`, `"for":149`} {
			if !strings.Contains(lines[0], field) {
				t.Errorf("no %s in %s", field, lines[0])
			}
		}
		if n := tc.scheduler.opts.Counters.Counter("attempts_kept").Count(); n != 1 {
			t.Errorf("attempts_kept is %d, want 1", n)
		}
	})
}

// An attempt without a late order is not kept: neither is it counted.
func TestLostAttemptWithoutLateOrderIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		first := tc.agent("lost")
		tc.submit(tc.job("j", 1, 1000))
		s := first.nextStart()
		other := tc.agent("other")
		other.beat()
		first.link.Close()
		next := tc.agent("lost", s.Attempt)
		next.report(s.Attempt, s.Need, peer.OutcomeLost, "")
		if _, after, ok := other.startsWithin(time.Second); !ok || after > 50*time.Millisecond {
			t.Errorf("started elsewhere: %v, after %v", ok, after)
		}
		if n := tc.scheduler.opts.Counters.Counter("attempts_kept").Count(); n != 0 {
			t.Errorf("attempts_kept is %d, want 0", n)
		}
	})
}

package runtarget

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const testLease = time.Second

func newTestTarget() *Target {
	t := New(Options{Capacity: task.Resources{CPU: 2000}, MaxLease: testLease, Drift: 0.02})
	t.Boot("t", 1)
	return t
}

func attempt(index int, run uint64) task.Attempt {
	return task.Attempt{Key: task.Key{Job: "j", Index: index}, Run: run}
}

func startCall(token uint64, until time.Duration, a task.Attempt) Call {
	return Call{Kind: Start, Target: "t", Token: token, Until: until, Start: peer.Start{Attempt: a, Need: task.Resources{CPU: 1000}}}
}

// The answers to repeated and late orders decide whether an agent's tests can show a wrong
// verdict.
func TestAnswersFollowTheRulesOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTestTarget()
		first, second, third := attempt(0, 1), attempt(1, 2), attempt(2, 1)
		for _, c := range []struct {
			name   string
			call   Call
			answer Answer
		}{
			{"start without a lease", startCall(5, 0, first), LeaseExpired},
			{"start", startCall(5, testLease, first), Done},
			{"start again", startCall(5, testLease, first), Done},
			{"lower token", startCall(4, testLease, first), Fenced},
			{"other target", Call{Kind: Poll, Target: "u", Token: 9}, OtherTarget},
			{"stop before the start", Call{Kind: Stop, Target: "t", Token: 6, Attempt: second}, Done},
			{"start after its stop", startCall(6, testLease, second), StaleRun},
			{"lower run than a stopped one", startCall(6, testLease, attempt(1, 1)), StaleRun},
			{"higher run", startCall(6, testLease, attempt(1, 3)), Done},
			{"no room", startCall(6, testLease, third), NoRoom},
			{"stop", Call{Kind: Stop, Target: "t", Token: 6, Attempt: first}, Done},
			{"start after its end", startCall(6, testLease, first), StaleRun},
			{"room again", startCall(6, testLease, third), Done},
		} {
			if got := target.Execute(c.call); got.Answer != c.answer {
				t.Errorf("%s: answer %d, want %d", c.name, got.Answer, c.answer)
			}
		}
	})
}

func TestLeaseIsMeasuredOnTheClockOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTestTarget()
		a := attempt(0, 1)
		target.Execute(startCall(1, 100*time.Millisecond, a))
		target.Execute(Call{Kind: Poll, Target: "t", Token: 1, Until: 50 * time.Millisecond})
		time.Sleep(101 * time.Millisecond)
		if !target.IsRunning(a) {
			t.Error("ended before the lease has expired on a clock that is 2 % slow")
		}
		// Also taken from a start that does not run anything.
		target.Execute(startCall(1, 200*time.Millisecond, a))
		time.Sleep(102 * time.Millisecond)
		if !target.IsRunning(a) {
			t.Error("the lease in a repeated start was not taken")
		}
		time.Sleep(2 * time.Millisecond)
		report := target.Execute(Call{Kind: Poll, Target: "t", Token: 1})
		if len(report.Running) > 0 || len(report.Ended) != 1 || report.Ended[0].Outcome != peer.OutcomeLost {
			t.Errorf("report %+v after the lease", report)
		}
		target.Execute(startCall(1, time.Hour, attempt(1, 1)))
		time.Sleep(testLease + testLease/20)
		if len(target.Runs()) > 0 {
			t.Error("a lease above the longest was granted")
		}
	})
}

func TestEndsAreListedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTestTarget()
		for i := range maxEndsInReport + 2 {
			a := attempt(i, 1)
			target.Execute(startCall(1, testLease, a))
			target.End(a, peer.OutcomeDone)
		}
		poll := Call{Kind: Poll, Target: "t", Token: 1}
		if got := target.Execute(poll).Ended; len(got) != maxEndsInReport || got[0].Number != 1 {
			t.Errorf("%d ends in the first report", len(got))
		}
		poll.LastSeen = maxEndsInReport
		if got := target.Execute(poll).Ended; len(got) != 2 || got[0].Number != maxEndsInReport+1 {
			t.Errorf("%d ends in the second report", len(got))
		}
		target.Boot("t", 2)
		if got := target.Execute(Call{Kind: Poll, Target: "t"}); got.Answer != Done || len(got.Ended) > 0 || got.Incarnation != 2 {
			t.Errorf("the next incarnation answers %+v", got)
		}
	})
}

func TestFaultsDecideExecutionAndAnswer(t *testing.T) {
	const delay = 300 * time.Millisecond
	for _, c := range []struct {
		name     string
		fault    Fault
		err      error
		answer   Answer
		runs     bool // right after the call
		runsLate bool
	}{
		{"none", None, nil, Done, true, true},
		{"silent", Silent, ErrSilent, 0, true, true},
		{"lost", Lost, ErrSilent, 0, false, false},
		{"late", Late, ErrSilent, 0, false, true},
		{"reset", Reset, ErrReset, 0, false, false},
		{"reset executed", ResetExecuted, ErrReset, 0, true, true},
		{"reset late", ResetLate, ErrReset, 0, false, true},
		{"busy", Busy, nil, Unhealthy, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := newTestTarget()
				var chances Chances
				chances[c.fault] = 1
				end := target.Disturb(Mix{Chances: All(chances), MaxDelay: delay})
				ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
				defer cancel()
				reply, err := target.Do(ctx, startCall(1, testLease, attempt(0, 1)))
				if !errors.Is(err, c.err) || reply.Answer != c.answer || target.IsRunning(attempt(0, 1)) != c.runs {
					t.Errorf("answer %d, %v; runs %v", reply.Answer, err, target.IsRunning(attempt(0, 1)))
				}
				end()
				time.Sleep(delay)
				if target.IsRunning(attempt(0, 1)) != c.runsLate {
					t.Errorf("later runs %v", !c.runsLate)
				}
			})
		})
	}
}

// A late order is executed by the incarnation that runs then under the same ID, which has seen
// no token.
func TestLateOrderReachesTheNextIncarnation(t *testing.T) {
	for id, runs := range map[string]bool{"t": true, "u": false} {
		synctest.Test(t, func(t *testing.T) {
			target := newTestTarget()
			target.Execute(Call{Kind: Poll, Target: "t", Token: 9})
			target.Disturb(Mix{Chances: All(Chances{ResetLate: 1}), MaxDelay: time.Second, Seed: 1})
			_, _ = target.Do(t.Context(), startCall(1, testLease, attempt(0, 1)))
			target.Boot(id, 2)
			time.Sleep(time.Second)
			if len(target.Runs()) > 0 != runs {
				t.Errorf("runs %v at target %s", target.Runs(), id)
			}
		})
	}
}

func TestPollWaitsForTheNextEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := newTestTarget()
		a := attempt(0, 1)
		target.Execute(startCall(1, testLease, a))
		poll := Call{Kind: Poll, Target: "t", Token: 1, Wait: 50 * time.Millisecond}
		began := time.Now()
		if reply, err := target.Do(t.Context(), poll); err != nil || len(reply.Running) != 1 || time.Since(began) != poll.Wait {
			t.Errorf("%+v, %v after %v", reply, err, time.Since(began))
		}
		time.AfterFunc(10*time.Millisecond, func() { target.End(a, peer.OutcomeDone) })
		began = time.Now()
		if reply, err := target.Do(t.Context(), poll); err != nil || len(reply.Ended) != 1 || time.Since(began) != 10*time.Millisecond {
			t.Errorf("%+v, %v after %v", reply, err, time.Since(began))
		}
		poll.LastSeen = 1
		time.AfterFunc(10*time.Millisecond, func() { target.Crash(false) })
		ctx, cancel := context.WithTimeout(t.Context(), poll.Wait)
		defer cancel()
		if _, err := target.Do(ctx, poll); !errors.Is(err, ErrSilent) {
			t.Errorf("%v from a target that has crashed", err)
		}
	})
}

// Each call draws anew, independently of calls about other attempts.
func TestShareOfFaultyCallsIsAsGiven(t *testing.T) {
	target := newTestTarget()
	target.Disturb(Mix{Chances: [kinds]Chances{Stop: {Reset: 0.2, Busy: 0.3}}, Seed: 7})
	const calls = 4000
	resets, busy := 0, 0
	for i := range calls {
		reply, err := target.Do(t.Context(), Call{Kind: Stop, Target: "t", Attempt: attempt(i%10, 1)})
		if err != nil {
			resets++
		} else if reply.Answer == Unhealthy {
			busy++
		}
	}
	if share := float64(resets) / calls; share < 0.17 || share > 0.23 {
		t.Errorf("%.2f of the calls are reset", share)
	}
	if share := float64(busy) / calls; share < 0.27 || share > 0.33 {
		t.Errorf("%.2f of the calls are refused as busy", share)
	}
}

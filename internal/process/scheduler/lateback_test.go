package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// The agent was away for longer than an attempt can last and links again: it lists the run, is
// told to stop it, and does. A job that is sent again meanwhile need not be turned away.
func TestJobSentAgainOnceAgentIsBackBeginsWhenItsRunIsStopped(t *testing.T) {
	for _, sameProcess := range []bool{false, true} {
		t.Run(fmt.Sprint("same process ", sameProcess), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc, first, other, s, answered := startWithLateOrder(t, shortWait)
				first.link.Close()
				await(t, answered)
				time.Sleep(2 * tc.scheduler.attemptExpiry())
				back := first
				if sameProcess {
					first.relink(s.Attempt)
				} else {
					back = tc.agent("lost", s.Attempt)
				}
				back.beat()
				for range back.stops {
					break
				}
				again := tc.resend()
				time.Sleep(50 * time.Millisecond)
				back.report(s.Attempt, s.Need, peer.OutcomeStopped, "")
				select {
				case s := <-other.starts:
					other.done(s)
				case s := <-back.starts:
					back.done(s)
				case a := <-again:
					t.Fatalf("turned away: %+v", a)
				}
				if a := await(t, again); a.State != StateComplete {
					t.Errorf("answer %+v", a)
				}
			})
		})
	}
}

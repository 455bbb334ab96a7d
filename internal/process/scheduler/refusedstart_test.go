package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// An agent refuses each start while its target is about to end its runs, for as long as 240 ms
// here, and says nothing else about the target. No other target has room.
func TestTaskIsNotSentAgainAtOnceToTargetThatRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		agent := tc.agent("only")
		tc.submit(tc.job("j", 1, 1000))
		sent := 0
		for end := time.After(240 * time.Millisecond); ; sent++ {
			select {
			case s := <-agent.starts:
				agent.report(s.Attempt, s.Need, peer.OutcomeRefused, peer.RefusalUnavailable)
				continue
			case <-end:
			}
			break
		}
		if limit := int(240 * time.Millisecond / sweepInterval); sent > limit {
			t.Errorf("%d starts in 240 ms, want %d at most (reports take %v)", sent, limit, reportDelay)
		}
	})
}

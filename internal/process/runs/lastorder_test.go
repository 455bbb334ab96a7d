package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A target leaves all start orders of an attempt unanswered and crashes. The last order was sent
// after the first one, and may be executed until MaxOrderDelay after that.
func TestRunIsKeptWhileTheLastOfItsOrdersMayBeExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.delayStarts(startTries)
		var sent time.Time
		h.target.set(func() { h.target.beforeStart = func() { sent = time.Now() } })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		var first time.Time
		time.Sleep(time.Millisecond)
		h.target.set(func() { first = sent })
		for delayed := 0; delayed < startTries; time.Sleep(time.Millisecond) {
			h.target.set(func() { delayed = len(h.target.delayedStarts) })
		}
		h.target.set(func() { h.target.unresponsive = true })
		t.Logf("the last order was sent %v after the first one", sent.Sub(first))
		h.expectNoResult(a, peer.MaxOrderDelay-time.Since(sent))
	})
}

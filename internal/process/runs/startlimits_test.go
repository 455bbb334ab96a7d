package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// sendStarts sends starts of tasks that need nothing, a few hundred in each frame.
func (h *harness) sendStarts(n int) {
	const perFrame = 200
	for sent := 0; sent < n; sent += perFrame {
		var starts []peer.Start
		for i := sent; i < min(n, sent+perFrame); i++ {
			starts = append(starts, peer.Start{
				Attempt: task.Attempt{Key: task.Key{Job: "many", Index: i}, Run: 1}, Incarnation: 1, Expected: time.Second,
			})
		}
		h.receive(7, peer.Frame{Starts: starts})
	}
}

// pending returns the number of starts that the target has not answered, and of runs.
func (h *harness) pending() (starts, runs int) {
	h.manager.mu.Lock()
	defer h.manager.mu.Unlock()
	return h.manager.pendingBytes / pendingStartBytes, len(h.manager.runs)
}

// Tasks that need nothing fit beside any others: without bounds the agent holds as many as its entries send.
func TestRunsAndPendingStartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.startDelay.Store(int64(10 * time.Millisecond))
		h.sendStarts(1000)
		if starts, _ := h.pending(); starts != maxPendingBytes/pendingStartBytes {
			t.Errorf("%d starts are pending", starts)
		}
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Full })
		h.target.startDelay.Store(0)
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && !f.Room.Full })
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			h.sendStarts(maxRuns + 200)
		}
		if _, runs := h.pending(); runs != maxRuns {
			t.Errorf("%d runs", runs)
		}
	})
}

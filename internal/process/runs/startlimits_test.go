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

// A target refuses starts although they fit by what its agent knows, as after its capacity has shrunk.
// Entries would send them again at once, thousands of times a second.
func TestTargetThatRefusesDespiteRoomGetsNoFurtherStartsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.rejectsStarts = AnswerNoRoom })
		need := task.Resources{CPU: 1000}
		h.start(0, 1, need)
		h.waitFor(func(f *peer.Frame) bool { return len(f.Results) == 1 && f.Room.Free.CPU < need.CPU })
		h.target.set(func() { h.target.rejectsStarts = AnswerDone })
		for i, c := range []struct {
			need    task.Resources
			refused bool
		}{{need, true}, {task.Resources{CPU: 2000}, true}, {task.Resources{CPU: 500}, false}} {
			a := h.start(i+1, 1, c.need)
			if !c.refused {
				h.waitStarted(a)
				continue
			}
			if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalNoCapacity {
				t.Errorf("%v is refused for %q", c.need, r.Refusal)
			}
		}
		h.waitFor(func(f *peer.Frame) bool { return f.Room != nil && f.Room.Free.CPU >= need.CPU })
		h.waitStarted(h.start(9, 1, need))
	})
}

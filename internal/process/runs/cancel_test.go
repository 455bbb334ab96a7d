package runs

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A start of a cancelled job arrives from an entry that has not learned of it.
func TestStartOfCancelledJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.entry.Send(peer.Frame{CancelJobs: []string{"j"}})
		h.waitFor(func(f *peer.Frame) bool { return slices.Contains(f.CancelsRecorded, "j") })
		time.Sleep(4 * time.Second)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		if r := h.waitOutcome(a, peer.OutcomeRefused); r.Refusal != peer.RefusalCancelled {
			t.Errorf("refused for %q", r.Refusal)
		}
		if h.target.startsOf(a) > 0 {
			t.Error("the task was started")
		}
	})
}

// The entry that holds a job is cut off while the job is cancelled, and links again.
func TestEntryThatLinksLaterLearnsOfCancelledJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.entry.Send(peer.Frame{CancelJobs: []string{"j"}})
		h.waitFor(func(f *peer.Frame) bool { return slices.Contains(f.CancelsRecorded, "j") })
		h.connect(8)
		h.waitFor(func(f *peer.Frame) bool { return f.Hello != nil && slices.Contains(f.CancelJobs, "j") })
	})
}

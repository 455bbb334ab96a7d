package runs

import (
	"fmt"
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

// Clients cancel more jobs than fit into the first frame of a link. Those that an agent has confirmed must
// still be refused.
func TestManyCancellationsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		const jobs = 10_000
		cancelled := []string{"j"}
		for i := range jobs {
			cancelled = append(cancelled, fmt.Sprintf("other-%d", i))
		}
		h.receive(7, peer.Frame{CancelJobs: cancelled})
		if r := h.waitOutcome(h.start(0, 1, task.Resources{CPU: 1000}), peer.OutcomeRefused); r.Refusal != peer.RefusalCancelled {
			t.Errorf("refused for %q", r.Refusal)
		}
		h.connect(8)
		h.waitFor(func(f *peer.Frame) bool {
			return f.Hello != nil && len(f.CancelJobs) == maxCancelledInHello && slices.Contains(f.CancelJobs, fmt.Sprintf("other-%d", jobs-1))
		})
	})
}

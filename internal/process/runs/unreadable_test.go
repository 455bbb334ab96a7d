package runs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// A run that is missing in a report of which a row is unreadable may still be running: if it
// counted as lost, it would be started again beside itself.
func TestRunWithUnreadableRowIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		a := h.start(0, 1, task.Resources{CPU: 1000})
		h.waitStarted(a)
		h.target.set(func() { h.target.unreadable = true })
		time.Sleep(time.Second)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

// The answer to a start order is lost and the row of its run is unreadable: the report does
// not prove that it has not run.
func TestUnansweredStartWithUnreadableRowIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.startsToLeaveUnanswered, h.target.unreadable = startTries, true })
		a := h.start(0, 1, task.Resources{CPU: 1000})
		time.Sleep(time.Second)
		h.target.end(a, peer.OutcomeDone)
		h.waitOutcome(a, peer.OutcomeDone)
	})
}

// One of two runs whose start orders were not answered has an unreadable row: the report that
// resolves the other one says nothing of it.
func TestReportThatResolvesOneStartSaysNothingOfUnreadableOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		m := h.manager
		a, b := task.Attempt{Key: task.Key{Job: "j"}, Run: 1}, task.Attempt{Key: task.Key{Job: "j", Index: 1}, Run: 1}
		runA, runB := &run{attempt: a, orderToken: 1}, &run{attempt: b, orderToken: 1}
		m.mu.Lock()
		m.runs[a.Key], m.runs[b.Key] = runA, runB
		target := m.target
		target.resolution = resolution{token: 2, report: Report{Incomplete: true, Running: []ActiveRun{{Attempt: a}}}}
		m.mu.Unlock()
		_, openA := m.resolvingPoll(target, runA)
		_, openB := m.resolvingPoll(target, runB)
		if openA || !openB {
			t.Errorf("needs another poll: %t and %t, want false and true", openA, openB)
		}
	})
}

// A target answers each poll at once as long as it lists an end that is not acknowledged, as
// one that cannot be read.
func TestUnreadableRowDoesNotSpeedUpPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.target.set(func() { h.target.unreadable = true })
		time.Sleep(time.Second)
		h.target.set(func() {
			if most := int(time.Second / pollBackoff); h.target.polls > most || h.target.polls < most/4 {
				t.Errorf("%d polls in a second, want at most %d", h.target.polls, most)
			}
		})
		if n := h.manager.opts.Counters.Counter("rows_unreadable").Count(); n == 0 {
			t.Error("unreadable rows are not counted")
		}
	})
}

package runs

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// sendResultLocked reports the outcome of an attempt to its entry, and keeps the result
// until the entry acknowledges it. With incarnation 0 the owner is unknown and all
// entries get it.
func (m *Manager) sendResultLocked(incarnation uint64, a task.Attempt, outcome peer.Outcome, refusal peer.Refusal) {
	m.resultsSent++
	result := peer.Result{Number: m.resultsSent, Attempt: a, Outcome: outcome, Refusal: refusal}
	for id, o := range m.owners {
		if id != incarnation && incarnation != 0 {
			continue
		}
		o.results = append(o.results, result)
		if o.link != nil {
			o.link.Send(peer.Frame{Results: []peer.Result{result}})
		}
	}
}

// recordEarlierEndLocked keeps the end of a run that an earlier process of this agent has started,
// for the entries that link next.
func (m *Manager) recordEarlierEndLocked(e EndedRun) {
	m.sendResultLocked(0, e.Attempt, e.Outcome, peer.RefusalNone)
	m.earlierEnds = append(m.earlierEnds, peer.Result{Number: m.resultsSent, Attempt: e.Attempt, Outcome: e.Outcome})
}

// earlierResultsLocked returns the results for an entry that links for the first time.
func (m *Manager) earlierResultsLocked() []peer.Result {
	if time.Since(m.firstReportAt) > ownerRetention {
		m.earlierEnds = nil
	}
	return slices.Clone(m.earlierEnds)
}

// finishLocked removes a run that has ended or never started, and reports the outcome.
func (m *Manager) finishLocked(r *run, outcome peer.Outcome, refusal peer.Refusal) {
	delete(m.runs, r.attempt.Key)
	m.endPresenceLocked(r)
	if o := m.owners[r.owner]; o != nil {
		o.runCount--
	}
	m.sendResultLocked(r.owner, r.attempt, outcome, refusal)
	for _, claimant := range r.otherClaimants {
		m.sendResultLocked(claimant, r.attempt, outcome, refusal)
	}
	for _, held := range r.refusedAtEnd {
		m.sendResultLocked(held.owner, held.attempt, peer.OutcomeRefused, peer.RefusalStaleRun)
	}
	m.markFreeCapacityDirtyLocked()
	event := m.opts.Log.Info()
	if outcome == peer.OutcomeFailed || outcome == peer.OutcomeLost {
		event = m.opts.Log.Warn()
	}
	event.Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Stringer("outcome", outcome).Str("refusal", string(refusal)).Int("orders", r.orders.Sent).
		Int("unanswered", r.orders.Open).Str("decided_by", r.decidedBy).
		Dur("after", time.Since(r.confirmedAt)).Msg("run ended")
}

func (m *Manager) markFreeCapacityDirtyLocked() {
	for _, o := range m.owners {
		o.freeCapacityDirty = true
	}
}

package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// recordLateOrders records the attempts of which an order may be executed late. An agent lists
// them again on each link; the first report counts.
func (t *target) recordLateOrders(late []task.Attempt, now time.Duration) {
	for _, id := range late {
		if at := t.attempts[id]; at != nil && at.lateOrderReportedAt == 0 {
			at.lateOrderReportedAt, at.lateOrderReportedBy = now, t.agentIncarnation
		}
	}
}

// mayStartLate reports whether an order of the attempt may still be executed after the lease of
// its target has ended. While the agent is away the target may restart under its ID, and no token
// prevents that its next incarnation executes the order.
func (at *attempt) mayStartLate(now time.Duration) bool {
	return at.lateOrderReportedAt > 0 && now < at.lateUntil()
}

// lateUntil returns when the late order of an attempt can no longer be executed.
func (at *attempt) lateUntil() time.Duration { return at.lateOrderReportedAt + peer.MaxOrderDelay }

// handleLost handles the report of the linked process of an agent that the lease of an attempt
// has ended. The process that reported its late order keeps the attempt until that cannot be
// executed any more; a later one does not know of the order, and proves nothing about it.
func (s *Scheduler) handleLost(at *attempt) {
	now := s.now()
	reporter := at.target.agentIncarnation
	if !at.mayStartLate(now) || at.lateOrderReportedBy == reporter {
		s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		return
	}
	at.knownBy, at.reportedLost = reporter, true
	s.recordKept(at, now)
}

// recordKept logs and counts, once, that an attempt is kept for its late order.
func (s *Scheduler) recordKept(at *attempt, now time.Duration) {
	if at.kept {
		return
	}
	at.kept = true
	s.opts.Counters.Counter("attempts_kept").Inc(1)
	s.opts.Log.Warn().Str("job", at.id.Key.Job).Stringer("task", at.id.Key).Uint64("run", at.id.Run).
		Str("target", at.target.info.ID).Dur("for", at.lateUntil()-now).Bool("reported_lost", at.reportedLost).
		Dur("agent_heard", now-at.target.lastFrameAt).Msg("attempt kept: order may come late")
}

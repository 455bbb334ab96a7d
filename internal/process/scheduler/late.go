package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
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

// isFenced reports whether the next incarnation of its target has answered the linked process of
// the agent, whose tokens are higher than that of the late order. A target is available only then.
func (at *attempt) isFenced() bool {
	info := &at.target.info
	return info.Available && info.Incarnation != at.targetIncarnation
}

// handleLost handles the report of the linked process of an agent that the lease of an attempt
// has ended. The process that reported its late order keeps the attempt until that cannot be
// executed any more; a later one does not know of the order, and proves nothing before the order
// is fenced.
func (s *Scheduler) handleLost(at *attempt) {
	now := s.now()
	reporter := at.target.agentIncarnation
	if !at.mayStartLate(now) || at.lateOrderReportedBy == reporter || at.isFenced() {
		s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		return
	}
	at.knownBy, at.reportedLost = reporter, true
	s.recordKept(at, now)
}

// resolveFenced resolves the attempts at a target that were reported as lost, and of which the
// late order is fenced.
func (s *Scheduler) resolveFenced(t *target) {
	for _, at := range t.attempts {
		if at.reportedLost && at.isFenced() {
			s.resolve(at, peer.OutcomeLost, peer.RefusalNone)
		}
	}
}

// recordKept logs and counts, once, that an attempt is kept for its late order.
func (s *Scheduler) recordKept(at *attempt, now time.Duration) {
	if at.keptLogged {
		return
	}
	at.keptLogged = true
	s.opts.Counters.Counter("attempts_kept").Inc(1)
	s.opts.Log.Warn().Str("job", at.id.Key.Job).Stringer("task", at.id.Key).Uint64("run", at.id.Run).
		Str("target", at.target.info.ID).Dur("for", at.lateUntil()-now).Bool("reported_lost", at.reportedLost).
		Dur("agent_heard", now-at.target.lastFrameAt).Msg("attempt kept: order may come late")
}

// isKept reports whether an attempt is unresolved only because its order may be executed late:
// otherwise it would have expired, or its agent would have stopped it, by now.
func (s *Scheduler) isKept(at *attempt, now time.Duration) bool {
	if !at.mayStartLate(now) {
		return false
	}
	expiry := s.attemptExpiry()
	if at.reportedLost || now-at.target.lastFrameAt >= expiry {
		return true
	}
	// An agent that was away learns of the job's end when it links again.
	j := at.item.job
	return j.ended && now-max(j.endedAt, at.target.reconciledAt) >= expiry
}

// keptUntil returns until when attempts of a job are kept for their late orders, 0 if none is.
func (s *Scheduler) keptUntil(j *job, now time.Duration) time.Duration {
	var until time.Duration
	for i := range j.steps {
		for _, it := range j.steps[i].items {
			if it.attempt != nil && s.isKept(it.attempt, now) {
				s.recordKept(it.attempt, now)
				until = max(until, it.attempt.lateUntil())
			}
		}
	}
	return until
}

// answerBlocked returns the answer to a job that cannot begin in time, since attempts of its
// predecessor are kept for their late orders.
func (s *Scheduler) answerBlocked(j *job, now time.Duration) (Answer, bool) {
	if j.predecessor == nil {
		return Answer{}, false
	}
	until := s.keptUntil(j.predecessor, now)
	if until == 0 || until <= j.latestStart {
		return Answer{}, false
	}
	return Answer{
		State:      StateUnfinished,
		Verdict:    j.reportedVerdict(),
		Reason:     apiv1.Reason_REASON_OUTCOME_UNKNOWN,
		RetryAfter: until - now,
		Message:    "an order of an earlier attempt may be executed late",
	}, true
}

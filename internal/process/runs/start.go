package runs

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// startTries is how often a start order is sent before its outcome is resolved by a poll.
	startTries = 5
	// maxOrderAge is how long after its acceptance a start order may be sent. The entry that
	// gave it may have given the attempt up later, also if its lease is valid again.
	maxOrderAge = peer.OwnerLease
)

// startLocked checks a start order and either refuses it or begins to execute it.
func (m *Manager) startLocked(o *owner, s peer.Start) {
	if present := m.runs[s.Attempt.Key]; present != nil {
		m.awaitEndLocked(o, s.Attempt, present)
		return
	}
	refusal := m.refusalLocked(o, s)
	if refusal == peer.RefusalNoCapacity && m.mayHoldLocked(s) {
		m.holdLocked(o, s)
		return
	}
	m.beginLocked(o, s, refusal, m.clock())
}

// beginLocked refuses a start, or begins to execute one that was accepted at acceptedAt.
func (m *Manager) beginLocked(o *owner, s peer.Start, refusal peer.Refusal, acceptedAt time.Duration) {
	if refusal != peer.RefusalNone {
		m.sendResultLocked(o.incarnation, s.Attempt, peer.OutcomeRefused, refusal)
		m.opts.Counters.Counter("starts_refused_" + string(refusal)).Inc(1)
		m.opts.Log.Info().Str("job", s.Attempt.Key.Job).Stringer("task", s.Attempt.Key).Uint64("run", s.Attempt.Run).
			Str("entry", o.name).Str("refusal", string(refusal)).Int64("free_cpu", m.freeLocked().CPU).
			Uint64("policy_revision", m.policy.Revision).Msg("start refused")
		return
	}
	r := &run{
		attempt:      s.Attempt,
		queue:        s.Queue,
		isolated:     s.Isolated,
		exclusiveFor: s.ExclusiveFor,
		owner:        o.incarnation,
		need:         s.Need,
		confirmedAt:  time.Now(),
		orderedAt:    acceptedAt,
		expected:     s.Expected,
		average:      s.Average,
	}
	if !m.target.health.Healthy() {
		m.target.health.RecordProbe(r.orderedAt)
		m.target.prober = 0
	}
	if !m.hasRunsOfLocked(s.Attempt.Key.Job) {
		m.starts.Record(r.orderedAt, s.Queue)
	}
	m.runs[s.Attempt.Key] = r
	m.beginPresenceLocked(r)
	o.runCount++
	m.markFreeCapacityDirtyLocked()
	m.pendingBytes += pendingBytes(&s)
	go m.executeStart(m.target, r, s)
}

// awaitEndLocked holds the refusal of a start back until the present run of its task, which
// another entry has sent, is over: the entry may start the task elsewhere once it is refused.
func (m *Manager) awaitEndLocked(o *owner, a task.Attempt, present *run) {
	present.refusedAtEnd = append(present.refusedAtEnd, heldRefusal{owner: o.incarnation, attempt: a})
	m.opts.Counters.Counter("starts_beside_run_of_task").Inc(1)
	m.opts.Log.Warn().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).Str("entry", o.name).
		Uint64("present_run", present.attempt.Run).Msg("start held back: its task still runs here")
}

// hasRunsOfLocked reports whether a run of a job is at the target.
func (m *Manager) hasRunsOfLocked(job string) bool {
	for key := range m.runs {
		if key.Job == job {
			return true
		}
	}
	return false
}

func (m *Manager) refusalLocked(o *owner, s peer.Start) peer.Refusal {
	refusal := m.permissionLocked(o)
	switch {
	case refusal != peer.RefusalNone:
		return refusal
	case m.cancelled.Has(s.Attempt.Key.Job, m.clock()):
		return peer.RefusalCancelled
	case o.retiring, s.Incarnation != m.target.Incarnation:
		return peer.RefusalUnavailable
	case !m.isolationAllowsLocked(s):
		return peer.RefusalIsolation
	case m.isFullLocked(), m.target.roomRefusal.refuses(m.clock(), s.Need),
		!s.Need.FitsIn(m.freeLocked()), m.isBehindHeldLocked(s):
		return peer.RefusalNoCapacity
	case m.endsWithLeaseLocked(s.Expected):
		return peer.RefusalUnavailable
	}
	return peer.RefusalNone
}

// permissionLocked returns why no start order of an entry may be sent to the target now.
func (m *Manager) permissionLocked(o *owner) peer.Refusal {
	m.uptime.Measure()
	if !m.availableLocked() || o == nil {
		return peer.RefusalUnavailable
	}
	if _, expired := o.leaseExpired(m.clock(), time.Now()); expired {
		return peer.RefusalUnavailable
	}
	if m.isDataCentreOutLocked() {
		return peer.RefusalDataCentreOut
	}
	return peer.RefusalNone
}

// start sends a start order. It is safe to repeat an unanswered one while its entry's
// lease is valid: the target confirms an attempt that runs and refuses one that has ended.
func (m *Manager) start(t *targetIncarnation, r *run, s peer.Start) {
	var retry backoff
	for range startTries {
		permit, refusal := m.startPermit(t, r)
		if refusal != peer.RefusalNone {
			m.refuseStart(t, r, refusal)
			return
		}
		answer, err := m.sendStart(t, r, permit, s)
		switch {
		case err != nil:
			retry.sleep(t.ctx, permit.IssuedAt)
		case answer == AnswerDone:
			m.startConfirmed(t, r)
			return
		case answer == AnswerDoneByOtherIncarnation:
			m.startedByOtherIncarnation(r)
			return
		case answer == AnswerFenced:
			m.raiseToken(t, permit.Token, tokenStep)
		case answer == AnswerLeaseExpired:
		default:
			if answer == AnswerNoRoom {
				m.recordRoomRefusal(t, s.Need)
			}
			m.refuseStart(t, r, refusals[answer])
			return
		}
	}
	m.resolveStart(t, r)
}

// sendStart sends one start order and records what its answer proves.
func (m *Manager) sendStart(t *targetIncarnation, r *run, permit Permit, s peer.Start) (Answer, error) {
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	answer, err := t.client.Start(ctx, permit, s)
	if err != nil {
		m.recordStartOrder(r, verdict.ProvesNothing)
		m.recordUnanswered(t, r, permit, err)
		m.orderUnanswered(t, "start", s.Attempt, err)
		return answer, err
	}
	m.targetAnswered(t)
	m.recordStartOrder(r, startProofs[answer])
	m.logStartAnswer(r, answer)
	return answer, nil
}

// refuseStart reports a start as refused if no order of it can have been executed. Otherwise
// an order without an answer may have been, whatever a later one was answered.
func (m *Manager) refuseStart(t *targetIncarnation, r *run, refusal peer.Refusal) {
	if m.startVerdict(r) == verdict.NotRun {
		m.startRefused(t, r, refusal)
		return
	}
	m.resolveStart(t, r)
}

// startVerdict returns whether an attempt may run of which the latest order was rejected or
// not sent.
func (m *Manager) startVerdict(r *run) verdict.Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.orders.Verdict(verdict.ProvesRejected)
}

// recordStartOrder counts a start order and what its answer proves.
func (m *Manager) recordStartOrder(r *run, proof verdict.Proof) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.orders.Record(proof)
}

// recordUnanswered records that a start order has no answer, unless nothing listens at the
// target's address.
func (m *Manager) recordUnanswered(t *targetIncarnation, r *run, permit Permit, err error) {
	if errors.Is(err, ErrRefused) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.firstUnansweredAt.IsZero() {
		r.firstUnansweredAt = permit.IssuedAt
		m.reportLateOrderLocked(r)
	}
	r.lastUnansweredAt, m.latestUnansweredAt = permit.IssuedAt, permit.IssuedAt
	t.unansweredToken = max(t.unansweredToken, permit.Token)
}

// logStartAnswer counts the answer to a start order, and logs one other than success.
func (m *Manager) logStartAnswer(r *run, answer Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.decidedBy = answer.String()
	m.opts.Counters.Counter("start_orders_" + answer.String()).Inc(1)
	if startProofs[answer] != verdict.ProvesRejected {
		return
	}
	m.opts.Log.Info().Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Stringer("answer", answer).Int("orders", r.orders.Sent).Int("unanswered", r.orders.Open).Msg("start order rejected")
}

// startPermit checks the permission to start r before each order: it may have lapsed, or the
// target's capacity may have shrunk, after the start was accepted. It returns the permit, or
// why there is none.
func (m *Manager) startPermit(t *targetIncarnation, r *run) (Permit, peer.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isStartingLocked(t, r) || r.stopRequested {
		return Permit{}, peer.RefusalStopped
	}
	refusal := m.permissionLocked(m.owners[r.owner])
	switch {
	case refusal != peer.RefusalNone:
	case m.clock()-r.orderedAt > maxOrderAge:
		refusal = peer.RefusalUnavailable
	case !m.fitsLocked(r):
		refusal = peer.RefusalNoCapacity
	}
	if refusal != peer.RefusalNone {
		m.opts.Counters.Counter("start_permits_lapsed").Inc(1)
		return Permit{}, refusal
	}
	permit, mayRenew := m.permitLocked(t)
	if !mayRenew || m.endsWithLeaseLocked(r.expected) {
		m.opts.Counters.Counter("start_permits_lapsed").Inc(1)
		return Permit{}, peer.RefusalUnavailable
	}
	t.recordRenewal(permit)
	r.orderToken = permit.Token
	return permit, peer.RefusalNone
}

// fitsLocked reports whether the target's capacity is enough for a run and all others there.
func (m *Manager) fitsLocked(r *run) bool { return r.need.FitsIn(m.freeLocked().Add(r.need)) }

// isStartingLocked reports whether a start at an incarnation of the target is still to be
// decided. After a restart only the new incarnation's report decides it: an answer for the
// former one says nothing about orders that the new one may have executed.
func (m *Manager) isStartingLocked(t *targetIncarnation, r *run) bool {
	return m.target == t && m.runs[r.attempt.Key] == r && r.phase == phaseStarting
}

func (m *Manager) startConfirmed(t *targetIncarnation, r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startConfirmedLocked(t, r)
}

func (m *Manager) startConfirmedLocked(t *targetIncarnation, r *run) {
	if !m.isStartingLocked(t, r) {
		return
	}
	r.phase, r.confirmedAt = phaseRunning, time.Now()
	r.startedAt = m.clock()
	r.pace.Start(r.startedAt)
	m.opts.Log.Info().Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Str("target", t.ID).Int64("free_cpu", m.freeLocked().CPU).Dur("accepted_ago", m.clock()-r.orderedAt).
		Func(m.entryHeardLocked(r.owner)).Int("orders", r.orders.Sent).
		Int("unanswered", r.orders.Open).Str("decided_by", r.decidedBy).Msg("run started")
	m.sendResultLocked(r.owner, r.attempt, peer.OutcomeStarted, peer.RefusalNone)
	if r.stopRequested {
		r.phase = phaseStopping
	}
}

func (m *Manager) startRefused(t *targetIncarnation, r *run, refusal peer.Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isStartingLocked(t, r) {
		m.finishLocked(r, peer.OutcomeRefused, refusal)
		m.startHeldLocked()
	}
}

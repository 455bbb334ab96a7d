package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// decidedByPoll is the value of run.decidedBy after a poll with a higher token, instead of
// the answer to a start order.
const decidedByPoll = "fenced_poll"

// resolution is a report of the target and the token of its poll. Orders with lower tokens have
// taken effect in it, or never will.
type resolution struct {
	token  uint64
	report Report
}

// resolveStart determines whether an attempt runs whose start orders were not all answered.
// It polls with a higher token, so that those orders can no longer take effect. One poll at a
// time is in progress, and resolves all attempts whose orders came before it: while the target
// does not answer, further polls give no more information.
func (m *Manager) resolveStart(t *targetIncarnation, r *run) {
	select {
	case t.resolving <- struct{}{}:
	case <-t.ctx.Done():
		return
	}
	defer func() { <-t.resolving }()
	var retry backoff
	for t.ctx.Err() == nil {
		poll, ok := m.resolvingPoll(t, r)
		if !ok {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		report, err := t.client.Poll(ctx, poll)
		cancel()
		if err == nil && report.Answer == AnswerDone && report.decides(r.attempt) {
			m.targetAnswered(t)
			m.recordResolution(t, resolution{token: poll.Token, report: report})
			continue
		}
		m.resolvingPollFailed(t, r, poll.Token, report.Answer, err)
		m.expireTargetLease(t)
		retry.sleep(t.ctx, sent)
	}
}

// resolvingPoll returns a poll with a higher token than all orders so far, or false if r
// is no longer starting, as after a report that resolves it.
func (m *Manager) resolvingPoll(t *targetIncarnation, r *run) (PollRequest, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isStartingLocked(t, r) {
		return PollRequest{}, false
	}
	if t.resolution.token > r.orderToken && t.resolution.report.decides(r.attempt) {
		m.startResolvedLocked(t, r, t.resolution.report)
		return PollRequest{}, false
	}
	t.token++
	permit, _ := m.permitLocked(t)
	return PollRequest{Permit: permit, LastSeen: t.lastSeen}, true
}

// resolvingPollFailed handles a poll that had no answer or was rejected.
func (m *Manager) resolvingPollFailed(t *targetIncarnation, r *run, token uint64, answer Answer, err error) {
	switch {
	case err != nil:
		m.orderUnanswered(t, "look", r.attempt, err)
	case answer == AnswerFenced:
		m.raiseToken(t, token, tokenStep)
	case answer == AnswerOtherIncarnation, answer == AnswerDoneByOtherIncarnation:
		m.markReplaced(t)
	}
}

func (m *Manager) recordResolution(t *targetIncarnation, res resolution) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.resolution = res
}

// startResolvedLocked applies a report that was polled with a higher token than all orders of r.
func (m *Manager) startResolvedLocked(t *targetIncarnation, r *run, report Report) {
	r.decidedBy = decidedByPoll
	switch {
	case report.isRunning(r.attempt):
		m.startConfirmedLocked(t, r)
	case report.hasEnded(r.attempt): // pollTarget processes the end
	case r.stopRequested:
		m.finishLocked(r, peer.OutcomeRefused, peer.RefusalStopped)
	default:
		m.finishLocked(r, peer.OutcomeRefused, peer.RefusalUnanswered)
	}
}

// decides reports whether the report shows whether an attempt is active.
func (r *Report) decides(a task.Attempt) bool {
	return !r.Incomplete || r.isRunning(a) || r.hasEnded(a)
}

func (r *Report) isRunning(a task.Attempt) bool {
	for _, running := range r.Running {
		if running.Attempt == a {
			return true
		}
	}
	return false
}

func (r *Report) hasEnded(a task.Attempt) bool {
	for _, ended := range r.Ended {
		if ended.Attempt == a {
			return true
		}
	}
	return false
}

// startedByOtherIncarnation handles a run that a later incarnation of the target has
// started.
func (m *Manager) startedByOtherIncarnation(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.attempt.Key] == r && r.phase == phaseStarting {
		m.misdirectedLocked(r)
	}
}

// misdirectedLocked keeps a run until the incarnation that its orders may have reached has
// stopped it, or reports that it neither runs nor can start any more.
func (m *Manager) misdirectedLocked(r *run) {
	if r.phase == phaseMisdirected {
		return
	}
	r.phase = phaseMisdirected
	if !r.stopRequested {
		r.stopRequested, r.stopRequestedAt = true, m.clock()
	}
	m.opts.Log.Warn().Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Int("orders", r.orders.Sent).Int("unanswered", r.orders.Open).
		Msg("start order may have reached a later incarnation of the target")
	go m.stopMisdirected(r)
}

// stopMisdirected sends stop orders until one is executed, a report settles the run, or the
// target's lease has certainly expired and no order can be executed late, and then reports the
// run as lost.
func (m *Manager) stopMisdirected(r *run) {
	leaseEnd := time.Now().Add(m.targetLease())
	var retry backoff
	for m.mayBeStarted(r, leaseEnd) {
		sent := time.Now()
		if m.stopAtCurrentTarget(r) {
			time.Sleep(leaseMargin)
			break
		}
		if sent.Before(leaseEnd) {
			time.Sleep(pollBackoff)
		} else {
			retry.sleep(context.Background(), sent)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[r.attempt.Key] == r {
		m.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
}

// mayBeStarted reports whether a misdirected run is not settled, and may be at the current
// incarnation of the target or be started there.
func (m *Manager) mayBeStarted(r *run, leaseEnd time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[r.attempt.Key] == r && (time.Now().Before(leaseEnd) || mayComeLate(r.lastUnansweredAt))
}

// stopAtCurrentTarget sends one stop order to the current incarnation of the target and
// reports whether it was executed.
func (m *Manager) stopAtCurrentTarget(r *run) bool {
	m.mu.Lock()
	t := m.target
	if t == nil {
		m.mu.Unlock()
		return false
	}
	token := t.token
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
	defer cancel()
	answer, err := t.client.Stop(ctx, token, r.attempt)
	if err == nil && answer == AnswerFenced {
		m.raiseToken(t, token, tokenStep)
	}
	return err == nil && (answer == AnswerDone || answer == AnswerDoneByOtherIncarnation)
}

// settleMisdirectedLocked settles a misdirected run that is missing in a report of the current
// incarnation. With a higher token than all orders of the run, the report proves that none of
// them can take effect any more.
func (m *Manager) settleMisdirectedLocked(r *run, token uint64) {
	if r.phase == phaseMisdirected && token > r.orderToken {
		m.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
}

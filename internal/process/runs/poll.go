package runs

import (
	"context"
	"errors"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// pollWait is how long the target may hold a poll while no run ends.
	pollWait = 50 * time.Millisecond
	// pollGrace is added to the wait before a poll counts as unanswered.
	pollGrace = 30 * time.Millisecond
	// pollBackoff is the delay after a poll that the target refused, and between tries to
	// stop a misdirected run.
	pollBackoff = 10 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which the target gets no new
	// work and its lease is no longer renewed, so that its runs end within a known time.
	unresponsiveAfter = 250 * time.Millisecond
)

// pollTarget renews the lease and processes ended runs until the incarnation ends.
func (m *Manager) pollTarget(t *targetIncarnation) {
	wait := time.Duration(0)
	var retry backoff
	for t.ctx.Err() == nil {
		poll := m.nextPoll(t, wait)
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, wait+pollGrace)
		report, err := t.client.Poll(ctx, poll)
		cancel()
		if err != nil {
			m.pollFailed(t, err)
			retry.sleepUpTo(t.ctx, sent, m.longestPollBackoff(t))
			wait = 0
			continue
		}
		retry.reset()
		wait = m.handleReport(t, report, poll.Token, sent)
	}
}

// longestPollBackoff returns the longest time between polls that fail. While a start order may
// still be executed late, the next incarnation of the target is polled as soon as it is up: until
// then it would execute the order. A target that has answered nothing since the order is probably
// down, and its runs are kept until its lease has ended: it is polled as often from then on.
func (m *Manager) longestPollBackoff(t *targetIncarnation) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case mayComeLate(m.lateOrderSentAt):
		return backoffMin
	case mayComeLate(m.latestUnansweredAt):
		leaseLeft := m.opts.TargetLease - time.Since(t.renewedAt)
		return min(max(leaseLeft, backoffMin), backoffMax)
	}
	return backoffMax
}

func (m *Manager) nextPoll(t *targetIncarnation, wait time.Duration) PollRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	permit, mayRenew := m.permitLocked(t)
	// Before the first report, runs of an earlier process of the agent may be at the target.
	renew := mayRenew && t.reported && !t.unresponsive && !t.unconfirmed && !t.leaving
	if renew {
		t.recordRenewal(permit)
	}
	return PollRequest{Permit: permit, LastSeen: t.lastSeen, Wait: wait, Renew: renew}
}

// handleReport processes a report and returns how long the next poll may wait.
func (m *Manager) handleReport(t *targetIncarnation, report Report, token uint64, sent time.Time) time.Duration {
	switch report.Answer {
	case AnswerDone:
		m.applyReport(t, report, token, sent)
		if report.Unreadable > 0 {
			// The target does not wait while it lists an end that is not acknowledged.
			time.Sleep(pollBackoff)
		}
		return pollWait
	case AnswerFenced:
		m.raiseToken(t, token, tokenStep)
	case AnswerOtherIncarnation, AnswerDoneByOtherIncarnation:
		m.markReplaced(t)
		m.expireTargetLease(t)
		time.Sleep(pollBackoff)
	default:
		time.Sleep(pollBackoff)
	}
	return 0
}

// markReplaced records that an incarnation other than the announced one answers at the
// target's address.
func (m *Manager) markReplaced(t *targetIncarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.fenceUnansweredLocked()
	t.replaced = true
	if t.replaceable {
		return
	}
	t.unconfirmed, t.replaceable = true, true
	m.opts.Log.Warn().Str("target", t.ID).Int64("incarnation", t.Incarnation).Msg("another incarnation of the target answers")
	m.broadcastTargetLocked()
}

// pollFailed handles a poll without an answer.
func (m *Manager) pollFailed(t *targetIncarnation, err error) {
	if t.ctx.Err() != nil {
		return
	}
	m.opts.Counters.Counter("looks_unanswered").Inc(1)
	m.mu.Lock()
	t.unanswered++
	t.fenceUnansweredLocked()
	if errors.Is(err, ErrRefused) {
		m.noteCrashLocked(t, "its address refuses connections")
	}
	silent := time.Since(t.answeredAt)
	if silent > unresponsiveAfter && !t.unresponsive {
		t.unresponsive, t.unconfirmed = true, true
		m.opts.Log.Warn().Err(err).Str("target", t.ID).Dur("silent", silent).Msg("target does not answer")
		m.broadcastTargetLocked()
	}
	if t.unresponsive {
		m.noteSilenceLocked(t)
	}
	m.mu.Unlock()
	m.expireTargetLease(t)
}

// targetAnswered records that the target has answered.
func (m *Manager) targetAnswered(t *targetIncarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.answeredAt, t.unanswered = time.Now(), 0
	m.expectLateOrdersLocked()
	m.withdrawCrashLocked(t)
	if t.unresponsive {
		t.unresponsive = false
		m.opts.Log.Info().Str("target", t.ID).Msg("target answers again")
		m.broadcastTargetLocked()
	}
}

// applyReport updates the runs from a report of the target. token and sent are those of the
// poll.
func (m *Manager) applyReport(t *targetIncarnation, report Report, token uint64, sent time.Time) {
	m.targetAnswered(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.target != t {
		return
	}
	first := !t.reported
	now := m.clock()
	t.replaceable = false
	m.recordUnreadableLocked(t, report)
	if t.unconfirmed {
		t.unconfirmed = false
		m.broadcastTargetLocked()
	}
	running := make(map[task.Attempt]ActiveRun, len(report.Running))
	for _, r := range report.Running {
		running[r.Attempt] = r
	}
	for _, e := range report.Ended {
		m.applyEndLocked(t, e)
	}
	for _, r := range m.runs {
		if !report.decides(r.attempt) {
			continue
		}
		if _, ok := running[r.attempt]; !ok {
			m.settleMisdirectedLocked(r, token)
		}
		m.reconcileRunLocked(r, running, sent, now)
	}
	m.startHeldLocked()
	m.updateHealthLocked(t)
	for a, active := range running {
		if r := m.runs[a.Key]; r == nil || r.attempt != a {
			m.handleUnknownRunLocked(t, active)
		}
	}
	if first {
		if !m.reported {
			m.reported, m.firstReportAt = true, time.Now()
		}
		t.reported = true
		m.opts.Log.Info().Str("target", t.ID).Int("running", len(running)).Int("ended", len(report.Ended)).
			Uint64("token", t.token).Msg("first report of the target received")
		m.broadcastTargetLocked()
	}
}

// recordUnreadableLocked counts the listed runs that cannot be read, and logs the first one of
// an incarnation.
func (m *Manager) recordUnreadableLocked(t *targetIncarnation, report Report) {
	if report.Unreadable == 0 {
		return
	}
	m.opts.Counters.Counter("rows_unreadable").Inc(int64(report.Unreadable))
	if t.loggedUnreadable {
		return
	}
	t.loggedUnreadable = true
	m.opts.Log.Warn().Str("target", t.ID).Str("cause", eventlog.Text(report.Cause.Error())).Int("rows", report.Unreadable).
		Msg("listed runs of the target cannot be read")
}

func (m *Manager) applyEndLocked(t *targetIncarnation, e EndedRun) {
	if e.Number <= t.lastSeen {
		return
	}
	t.lastSeen = e.Number
	r := m.runs[e.Attempt.Key]
	if r == nil || r.attempt != e.Attempt {
		m.logUnknownEndLocked(t, e)
		if !m.reported {
			m.recordEarlierEndLocked(e)
		}
		return
	}
	if e.Outcome == peer.OutcomeDone || e.Outcome == peer.OutcomeFailed {
		t.health.RecordRun(e.Attempt.Key.Job, r.orderedAt, m.clock(), e.Outcome == peer.OutcomeFailed)
	}
	if e.Outcome == peer.OutcomeDone {
		m.recordSpeedLocked(t, r)
		m.recordInterferenceLocked(t, r)
	}
	m.finishLocked(r, e.Outcome, peer.RefusalNone)
}

// logUnknownEndLocked logs the end of a run of which the agent has no record. Before the first
// report it may have been started by an earlier process of this agent. Later it means that
// the run had been reported as ended or refused before it was.
func (m *Manager) logUnknownEndLocked(t *targetIncarnation, e EndedRun) {
	event := m.opts.Log.Info()
	if t.reported {
		event = m.opts.Log.Warn()
		m.opts.Counters.Counter("ends_of_unknown_runs").Inc(1)
	}
	event.Str("job", e.Attempt.Key.Job).Stringer("task", e.Attempt.Key).Uint64("run", e.Attempt.Run).
		Str("target", t.ID).Stringer("outcome", e.Outcome).Bool("first_report", !t.reported).Msg("unknown run ended")
}

// updateHealthLocked updates the target's health with the mean pace of the jobs that run
// there. The pace of a job is that of its fastest run, and at most 1.
func (m *Manager) updateHealthLocked(t *targetIncarnation) {
	paces := make(map[string]float64)
	for _, r := range m.runs {
		if pace, ok := r.pace.Pace(); ok && r.phase == phaseRunning {
			job := r.attempt.Key.Job
			paces[job] = max(paces[job], min(pace, 1))
		}
	}
	mean := 0.0
	for _, pace := range paces {
		mean += pace / float64(len(paces))
	}
	t.health.RecordPace(mean, len(paces))
	if healthy := t.health.Healthy(); healthy == t.loggedUnhealthy {
		t.loggedUnhealthy = !healthy
		m.opts.Log.Warn().Str("target", t.ID).Bool("sound", healthy).Float64("pace", mean).
			Int("jobs", len(paces)).Int("failures", t.health.Failures()).Int("proofs", t.health.RequiredSuccesses()).Msg("target judged")
		m.opts.Counters.Counter("target_judgements").Inc(1)
		m.broadcastTargetLocked()
	}
}

// reconcileRunLocked updates the progress of a run. A run that is missing from the report
// is lost if the poll was sent after the run's start was confirmed.
func (m *Manager) reconcileRunLocked(r *run, running map[task.Attempt]ActiveRun, sent time.Time, now time.Duration) {
	if seen, ok := running[r.attempt]; ok {
		if seen.ProgressUnknown {
			return
		}
		r.percent = seen.Percent
		if r.phase == phaseRunning {
			r.pace.Update(now, seen.Percent, r.expected)
		}
		return
	}
	if (r.phase == phaseRunning || r.phase == phaseStopping) && r.confirmedAt.Before(sent) {
		m.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
}

// handleUnknownRunLocked handles a reported run of which the agent has no record. In the
// first report that this process receives it may have been started by an earlier process.
// Later it comes from a delayed order that reached a new incarnation of the target; no
// entry waits for it, so it is stopped.
func (m *Manager) handleUnknownRunLocked(t *targetIncarnation, active ActiveRun) {
	a := active.Attempt
	if m.runs[a.Key] != nil {
		m.stopStrayLocked(t, a)
		return
	}
	m.adoptRunLocked(active)
	if m.reported {
		m.stopLocked(a, "started by an order that came late")
	}
}

// adoptRunLocked keeps a run that an earlier process of this agent has started until an
// entry claims it and says what it needs. Until then its target's lease is not renewed.
func (m *Manager) adoptRunLocked(active ActiveRun) {
	a := active.Attempt
	m.runs[a.Key] = &run{attempt: a, phase: phaseRunning, confirmedAt: time.Now()}
	m.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
		Int64("used_cpu", active.CPU).Msg("run adopted")
}

package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// orderTimeout bounds the wait for the answer to one order. A healthy target on the
	// same machine answers within 1 or 2 ms.
	orderTimeout = 30 * time.Millisecond
	// strayStopInterval is the time between stop orders for one stray run.
	strayStopInterval = 50 * time.Millisecond
	// tokenStep raises the token above that of a former process. Tokens start at the time
	// of day in milliseconds, and the clock of that process may have been ahead.
	tokenStep = 10_000
	// tokenReserve is how many tokens a process may use beyond the stored one. Each restart of the
	// agent and each start that goes unanswered takes some.
	tokenReserve = 100_000
)

// raiseToken raises the token, unless another call has already replaced the one used.
func (m *Manager) raiseToken(t *targetIncarnation, used, by uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.token == used {
		t.token = used + by
	}
}

// fenceUnansweredLocked raises the token above those of all start orders without an answer. The
// next poll may reach another incarnation of the target that has not announced itself. It has
// seen no token, and would execute such an order if it came late.
func (t *targetIncarnation) fenceUnansweredLocked() {
	t.token = max(t.token, t.unansweredToken+1)
}

func (m *Manager) orderUnanswered(t *targetIncarnation, order string, a task.Attempt, err error) {
	if t.ctx.Err() != nil {
		return
	}
	m.opts.Counters.Counter("orders_unanswered").Inc(1)
	m.opts.Log.Warn().Err(err).Str("order", order).Str("job", a.Key.Job).Stringer("task", a.Key).
		Uint64("run", a.Run).Msg("order not answered")
}

// stopLocked stops a run. A run whose start is not confirmed is stopped as well: its orders may
// have been executed, and a stop prevents those that have not been.
func (m *Manager) stopLocked(a task.Attempt, reason string) {
	if m.refuseHeldLocked(peer.RefusalStopped, func(h *heldStart) bool { return h.start.Attempt == a }) > 0 {
		return
	}
	r := m.runs[a.Key]
	if r == nil || r.attempt != a || r.stopRequested {
		return
	}
	r.stopRequested, r.stopRequestedAt = true, m.clock()
	m.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
		Str("reason", reason).Func(m.entryHeardLocked(r.owner)).Msg("run stopped")
	m.opts.Counters.Counter("runs_stopped").Inc(1)
	switch r.phase {
	case phaseRunning:
		r.phase = phaseStopping
		go m.stop(m.target, r)
	case phaseStarting:
		go m.stop(m.target, r)
	}
}

// stop sends a stop order until one is executed or the run is gone. The end of the run is then
// reported by pollTarget.
func (m *Manager) stop(t *targetIncarnation, r *run) {
	var retry backoff
	for t.ctx.Err() == nil {
		token, ok := m.stopToken(t, r)
		if !ok {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		answer, err := t.client.Stop(ctx, token, r.attempt)
		cancel()
		switch {
		case err != nil:
			m.orderUnanswered(t, "stop", r.attempt, err)
		case answer == AnswerDone:
			return
		case answer == AnswerFenced:
			m.raiseToken(t, token, tokenStep)
		default:
			m.stopRejected(t, r, answer)
		}
		retry.sleep(t.ctx, sent)
	}
}

// stopToken returns the token of the next stop order for a run, or false if the run is gone.
func (m *Manager) stopToken(t *targetIncarnation, r *run) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return t.token, m.runs[r.attempt.Key] == r
}

func (m *Manager) stopRejected(t *targetIncarnation, r *run, answer Answer) {
	m.opts.Counters.Counter("stop_orders_rejected").Inc(1)
	m.opts.Log.Warn().Str("target", t.ID).Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).
		Uint64("run", r.attempt.Run).Stringer("answer", answer).Msg("stop order rejected")
}

// stopStrayLocked stops a run that the target lists beside another run of its task: a delayed
// order has started it.
func (m *Manager) stopStrayLocked(t *targetIncarnation, a task.Attempt) {
	if time.Since(t.strays[a]) < strayStopInterval {
		return
	}
	t.strays[a] = time.Now()
	token := t.token
	m.opts.Counters.Counter("stray_runs_stopped").Inc(1)
	m.opts.Log.Warn().Str("target", t.ID).Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
		Uint64("other_run", m.runs[a.Key].attempt.Run).Msg("second run of a task stopped")
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, orderTimeout)
		defer cancel()
		// The next report lists the run again if it goes on.
		if _, err := t.client.Stop(ctx, token, a); err != nil {
			m.orderUnanswered(t, "stop", a, err)
		}
	}()
}

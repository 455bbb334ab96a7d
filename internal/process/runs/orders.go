package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// orderTimeout bounds the wait for the answer to one order. A healthy
	// target on the same machine answers within a millisecond or two.
	orderTimeout = 30 * time.Millisecond
	// orderTries is how often an order without an answer is sent again.
	orderTries = 5
	// stopTries is the same for a stop; the target's lease ends the run if all
	// of them fail.
	stopTries = 20
	// tokenStep raises the token above that of a former process: tokens begin at
	// the time of day in milliseconds, and its clock may have been ahead.
	tokenStep = 10_000
)

// startLocked checks an order to start in the instant of starting.
func (k *Keeper) startLocked(o *owner, s peer.Start) {
	if refusal := k.refusalLocked(o, s); refusal != peer.RefusalNone {
		k.resultLocked(o.incarnation, s.Attempt, peer.OutcomeRefused, refusal)
		k.opts.Counters.Counter("starts_refused_" + string(refusal)).Inc(1)
		k.opts.Log.Info().Str("job", s.Attempt.Key.Job).Stringer("task", s.Attempt.Key).Uint64("run", s.Attempt.Run).
			Str("entry", o.name).Str("refusal", string(refusal)).Int64("free_cpu", k.freeLocked().CPU).
			Uint64("policy_revision", k.policy.Revision).Msg("start refused")
		return
	}
	r := &run{
		attempt:  s.Attempt,
		owner:    o.incarnation,
		need:     s.Need,
		since:    time.Now(),
		began:    k.clock(),
		expected: s.Expected,
	}
	if !k.life.health.Sound() {
		k.life.health.Probed(r.began)
		k.life.prober = 0
	}
	k.runs[s.Attempt.Key] = r
	o.attempts++
	k.roomChangedLocked()
	go k.start(k.life, r, s)
}

func (k *Keeper) refusalLocked(o *owner, s peer.Start) peer.Refusal {
	present := k.runs[s.Attempt.Key]
	switch {
	case !k.availableLocked(), o.retiring, s.Incarnation != k.life.Incarnation:
		return peer.RefusalUnavailable
	case k.isOutLocked():
		return peer.RefusalOut
	case k.clock()-o.heard > peer.OwnerLease:
		return peer.RefusalUnavailable
	case present != nil && present.attempt.Run >= s.Attempt.Run:
		return peer.RefusalStaleRun
	case present != nil, !s.Need.FitsIn(k.freeLocked()):
		return peer.RefusalRoom
	}
	return peer.RefusalNone
}

// start carries out an order. An order without an answer is repeated: starting
// an attempt that runs succeeds, and one that has ended is refused.
func (k *Keeper) start(l *lifetime, r *run, s peer.Start) {
	var pace pace
	for range orderTries {
		token, ok := k.tokenFor(l, r)
		if !ok {
			break
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		answer, err := l.target.Start(ctx, token, s)
		cancel()
		if err != nil {
			k.unanswered(l, "start", s.Attempt, err)
			pace.failed(l.ctx, sent)
			continue
		}
		k.heard(l)
		if answer == AnswerDone {
			k.started(r)
			return
		}
		if answer == AnswerFenced {
			k.raiseToken(l, token, tokenStep)
			continue
		}
		if answer == AnswerDoneByOther {
			k.startedByOther(r)
			return
		}
		if refused, ok := refusals[answer]; ok {
			k.refused(r, refused)
			return
		}
	}
	k.settle(l, r)
}

// tokenFor returns the token of the next order for r, or false when r has ended
// or is not wanted any more.
func (k *Keeper) tokenFor(l *lifetime, r *run) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] != r || r.stop {
		return 0, false
	}
	l.renewed = time.Now()
	return l.token, true
}

// raiseToken replaces the token used by a higher one, once.
func (k *Keeper) raiseToken(l *lifetime, used, by uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.token == used {
		l.token = used + by
	}
}

func (k *Keeper) unanswered(l *lifetime, order string, a task.Attempt, err error) {
	if l.ctx.Err() != nil {
		return
	}
	k.opts.Counters.Counter("orders_unanswered").Inc(1)
	k.opts.Log.Warn().Err(err).Str("order", order).Str("job", a.Key.Job).Stringer("task", a.Key).
		Uint64("run", a.Run).Msg("order not answered")
}

func (k *Keeper) started(r *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] != r {
		return
	}
	r.phase, r.since = phaseRunning, time.Now()
	r.pace.Start(k.clock())
	k.opts.Log.Info().Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Str("target", k.life.ID).Int64("free_cpu", k.freeLocked().CPU).Msg("run started")
	k.resultLocked(r.owner, r.attempt, peer.OutcomeStarted, peer.RefusalNone)
	if r.stop {
		k.beginStopLocked(r)
	}
}

func (k *Keeper) refused(r *run, refusal peer.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] == r {
		k.finishLocked(r, peer.OutcomeRefused, refusal)
	}
}

// settle finds out whether an attempt whose orders were not answered runs. The
// look carries a token above theirs, so that none of them counts later. Attempts of
// one target are settled one at a time: while it does not answer, one look tells as
// much as many.
func (k *Keeper) settle(l *lifetime, r *run) {
	select {
	case l.settling <- struct{}{}:
	case <-l.ctx.Done():
		return
	}
	defer func() { <-l.settling }()
	var pace pace
	for l.ctx.Err() == nil {
		order, ok := k.settlingLook(l, r)
		if !ok {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		report, err := l.target.Look(ctx, order)
		cancel()
		if err == nil && report.Answer == AnswerDone {
			k.settled(l, r, report)
			return
		}
		k.unanswered(l, "look", r.attempt, err)
		if k.lapsed(l) {
			return
		}
		pace.failed(l.ctx, sent)
	}
}

// settlingLook returns a look with a token above that of all orders so far, or false
// when r has ended.
func (k *Keeper) settlingLook(l *lifetime, r *run) (Look, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] != r {
		return Look{}, false
	}
	l.token++
	return Look{Token: l.token, LastSeen: l.lastSeen}, true
}

func (k *Keeper) settled(l *lifetime, r *run, report Report) {
	k.heard(l)
	for _, running := range report.Running {
		if running.Attempt == r.attempt {
			k.started(r)
			return
		}
	}
	for _, ended := range report.Ended {
		if ended.Attempt == r.attempt {
			return // the loop that looks takes note of the end
		}
	}
	if r.stop {
		k.refused(r, peer.RefusalStopped)
		return
	}
	k.refused(r, peer.RefusalUnanswered)
}

// stopLocked ends an attempt.
func (k *Keeper) stopLocked(a task.Attempt, why string) {
	r := k.runs[a.Key]
	if r == nil || r.attempt != a || r.stop {
		return
	}
	r.stop = true
	k.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
		Str("reason", why).Msg("run stopped")
	k.opts.Counters.Counter("runs_stopped").Inc(1)
	if r.phase == phaseRunning {
		k.beginStopLocked(r)
	}
}

func (k *Keeper) beginStopLocked(r *run) {
	r.phase = phaseStopping
	go k.stop(k.life, r)
}

// stop orders the end of a run. Its end is reported by the loop that looks.
func (k *Keeper) stop(l *lifetime, r *run) {
	var pace pace
	for range stopTries {
		k.mu.Lock()
		gone, token := k.runs[r.attempt.Key] != r, l.token
		k.mu.Unlock()
		if gone || l.ctx.Err() != nil {
			return
		}
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		answer, err := l.target.Stop(ctx, token, r.attempt)
		cancel()
		switch {
		case err != nil:
			k.unanswered(l, "stop", r.attempt, err)
			pace.failed(l.ctx, sent)
		case answer == AnswerFenced:
			k.raiseToken(l, token, tokenStep)
		case answer == AnswerDone:
			return
		}
	}
}

// startedByOther ends a run that a later lifetime of the target has begun.
func (k *Keeper) startedByOther(r *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] == r && r.phase == phaseStarting {
		k.endAstrayLocked(r)
	}
}

// endAstrayLocked keeps a run until the later lifetime that its order may reach has
// stopped and forbidden it.
func (k *Keeper) endAstrayLocked(r *run) {
	r.phase, r.stop = phaseAstray, true
	k.opts.Log.Warn().Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Msg("order may have reached a later lifetime of the target")
	go k.endAstray(r)
}

func (k *Keeper) endAstray(r *run) {
	lease := k.opts.TargetLease*(100+clockDrift)/100 + lapseMargin
	for begun := time.Now(); time.Since(begun) < lease; {
		k.mu.Lock()
		l := k.life
		var token uint64
		if l != nil {
			token = l.token
		}
		k.mu.Unlock()
		if l == nil {
			time.Sleep(lookBackoff)
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		answer, err := l.target.Stop(ctx, token, r.attempt)
		cancel()
		if err == nil && (answer == AnswerDone || answer == AnswerDoneByOther) {
			time.Sleep(lapseMargin)
			break
		}
		if err == nil && answer == AnswerFenced {
			k.raiseToken(l, token, tokenStep)
		}
		time.Sleep(lookBackoff)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs[r.attempt.Key] == r {
		k.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
}

// resultLocked reports an attempt to its entry and keeps the report until it has
// been taken.
func (k *Keeper) resultLocked(incarnation uint64, a task.Attempt, outcome peer.Outcome, refusal peer.Refusal) {
	k.results++
	result := peer.Result{Number: k.results, Attempt: a, Outcome: outcome, Refusal: refusal}
	for id, o := range k.owners {
		if id != incarnation && incarnation != 0 {
			continue
		}
		o.results = append(o.results, result)
		if o.link != nil {
			o.link.Send(peer.Frame{Results: []peer.Result{result}})
		}
	}
}

// finishLocked removes a run that has ended or never began, and reports it.
func (k *Keeper) finishLocked(r *run, outcome peer.Outcome, refusal peer.Refusal) {
	delete(k.runs, r.attempt.Key)
	if o := k.owners[r.owner]; o != nil {
		o.attempts--
	}
	k.resultLocked(r.owner, r.attempt, outcome, refusal)
	k.roomChangedLocked()
	event := k.opts.Log.Info()
	if outcome == peer.OutcomeFailed || outcome == peer.OutcomeLost {
		event = k.opts.Log.Warn()
	}
	event.Str("job", r.attempt.Key.Job).Stringer("task", r.attempt.Key).Uint64("run", r.attempt.Run).
		Stringer("outcome", outcome).Str("refusal", string(refusal)).
		Dur("after", time.Since(r.since)).Msg("run ended")
}

func (k *Keeper) roomChangedLocked() {
	for _, o := range k.owners {
		o.roomDirty = true
	}
}

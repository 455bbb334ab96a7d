package runs

import (
	"context"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// lookWait is how long the target holds a look without an end.
	lookWait = 50 * time.Millisecond
	// lookGrace is added to it before the look counts as unanswered.
	lookGrace = 30 * time.Millisecond
	// lookBackoff spaces looks that are refused.
	lookBackoff = 10 * time.Millisecond
	// muteAfter is the silence after which the target gets no new work, and
	// after which its lease is not renewed, so that what runs there is over in
	// a known time.
	muteAfter = 250 * time.Millisecond
	// clockDrift is how much slower than ours the target's clock may run, in
	// percent.
	clockDrift = 2
	// lapseMargin is added to the target's lease for the stop itself.
	lapseMargin = 60 * time.Millisecond
)

// look renews the lease and takes note of ends until the lifetime is over.
func (k *Keeper) look(l *lifetime) {
	wait := time.Duration(0)
	var pace pace
	for l.ctx.Err() == nil {
		order := k.nextLook(l, wait)
		sent := time.Now()
		ctx, cancel := context.WithTimeout(l.ctx, wait+lookGrace)
		report, err := l.target.Look(ctx, order)
		cancel()
		if err != nil {
			k.missed(l, err)
			pace.failed(l.ctx, sent)
			wait = 0
			continue
		}
		pace.answered()
		wait = k.looked(l, report, order.Token, sent)
	}
}

func (k *Keeper) nextLook(l *lifetime, wait time.Duration) Look {
	k.mu.Lock()
	defer k.mu.Unlock()
	order := Look{Token: l.token, LastSeen: l.lastSeen, Wait: wait, Renew: !l.mute}
	if order.Renew {
		l.renewed = time.Now()
	}
	return order
}

// looked takes a report, and returns how long the next look may wait.
func (k *Keeper) looked(l *lifetime, report Report, token uint64, sent time.Time) time.Duration {
	switch report.Answer {
	case AnswerDone:
		k.take(l, report, sent)
		return lookWait
	case AnswerFenced:
		k.raiseToken(l, token, tokenStep)
	case AnswerOtherLifetime, AnswerDoneByOther:
		k.displace(l)
		time.Sleep(lookBackoff)
	default:
		time.Sleep(lookBackoff)
	}
	return 0
}

// displace notes that the target is another lifetime than the one known.
func (k *Keeper) displace(l *lifetime) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.displaced {
		return
	}
	l.displaced = true
	k.opts.Log.Warn().Str("target", l.ID).Int64("incarnation", l.Incarnation).Msg("another lifetime answers")
	k.describeLocked()
}

// missed counts a look without an answer.
func (k *Keeper) missed(l *lifetime, err error) {
	if l.ctx.Err() != nil {
		return
	}
	k.opts.Counters.Counter("looks_unanswered").Inc(1)
	k.mu.Lock()
	silent := time.Since(l.answered)
	if silent > muteAfter && !l.mute {
		l.mute, l.displaced = true, true
		k.opts.Log.Warn().Err(err).Str("target", l.ID).Dur("silent", silent).Msg("target does not answer")
		k.describeLocked()
	}
	k.mu.Unlock()
	k.lapsed(l)
}

// lapsed ends all runs once the target's lease on them is surely over, and
// reports whether it was. A renewal counts though it was not answered.
func (k *Keeper) lapsed(l *lifetime) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	lease := k.opts.TargetLease*(100+clockDrift)/100 + lapseMargin
	if k.life != l || time.Since(l.renewed) < lease {
		return false
	}
	for _, r := range k.runs {
		k.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
	return true
}

// heard notes that the target answers.
func (k *Keeper) heard(l *lifetime) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l.answered = time.Now()
	if l.mute {
		l.mute = false
		k.opts.Log.Info().Str("target", l.ID).Msg("target answers again")
		k.describeLocked()
	}
}

// take brings the runs up to date with a report of the target.
func (k *Keeper) take(l *lifetime, report Report, sent time.Time) {
	k.heard(l)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.life != l {
		return
	}
	first := !l.looked
	now := k.clock()
	if l.displaced {
		l.displaced = false
		k.describeLocked()
	}
	running := make(map[task.Attempt]Running, len(report.Running))
	for _, r := range report.Running {
		running[r.Attempt] = r
	}
	for _, e := range report.Ended {
		k.endedLocked(l, e)
	}
	for _, r := range k.runs {
		k.compareLocked(r, running, sent, now)
	}
	k.judgeLocked(l)
	for a := range running {
		if r := k.runs[a.Key]; r == nil || r.attempt != a {
			k.strayLocked(a, first)
		}
	}
	if first {
		l.looked = true
		k.opts.Log.Info().Str("target", l.ID).Int("running", len(running)).Int("ended", len(report.Ended)).
			Uint64("token", l.token).Msg("target looked at")
		k.describeLocked()
	}
}

func (k *Keeper) endedLocked(l *lifetime, e Ended) {
	if e.Number <= l.lastSeen {
		return
	}
	l.lastSeen = e.Number
	r := k.runs[e.Attempt.Key]
	if r == nil || r.attempt != e.Attempt {
		if !l.looked {
			k.resultLocked(0, e.Attempt, e.Outcome, peer.RefusalNone)
		}
		return
	}
	if e.Outcome == peer.OutcomeDone || e.Outcome == peer.OutcomeFailed {
		l.health.Ended(e.Attempt.Key.Job, r.began, k.clock(), e.Outcome == peer.OutcomeFailed)
	}
	k.finishLocked(r, e.Outcome, peer.RefusalNone)
}

// judgeLocked judges the target by the mean pace of the jobs that run there.
func (k *Keeper) judgeLocked(l *lifetime) {
	paces := make(map[string]float64)
	for _, r := range k.runs {
		if pace, ok := r.pace.Pace(); ok && r.phase == phaseRunning {
			job := r.attempt.Key.Job
			paces[job] = max(paces[job], min(pace, 1))
		}
	}
	mean := 0.0
	for _, pace := range paces {
		mean += pace / float64(len(paces))
	}
	l.health.Paced(mean, len(paces))
	if is := l.health.Sound(); is == l.doubted {
		l.doubted = !is
		k.opts.Log.Warn().Str("target", l.ID).Bool("sound", is).Float64("pace", mean).
			Int("jobs", len(paces)).Int("failures", l.health.Failures()).Int("proofs", l.health.Proofs()).Msg("target judged")
		k.opts.Counters.Counter("target_judgements").Inc(1)
		k.describeLocked()
	}
}

// compareLocked takes the progress of a run, and ends one that the target does
// not know although the look was sent after its start was confirmed.
func (k *Keeper) compareLocked(r *run, running map[task.Attempt]Running, sent time.Time, now time.Duration) {
	if seen, ok := running[r.attempt]; ok {
		r.percent = seen.Percent
		if r.phase == phaseRunning {
			r.pace.Update(now, seen.Percent, r.expected)
		}
		return
	}
	if (r.phase == phaseRunning || r.phase == phaseStopping) && r.since.Before(sent) {
		k.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
	}
}

// strayLocked takes a run that is not known here. At the first look it may be one
// of an earlier process of this agent; later it is that of an order which came late
// to a new lifetime of the target, and nobody waits for it.
func (k *Keeper) strayLocked(a task.Attempt, first bool) {
	if k.runs[a.Key] != nil {
		return
	}
	k.adoptLocked(a)
	if !first {
		k.stopLocked(a, "started by an order that came late")
	}
}

// adoptLocked keeps a run that an earlier process of this agent has started,
// until an entry claims it.
func (k *Keeper) adoptLocked(a task.Attempt) {
	k.runs[a.Key] = &run{attempt: a, phase: phaseRunning, since: time.Now()}
	k.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).Msg("run adopted")
}

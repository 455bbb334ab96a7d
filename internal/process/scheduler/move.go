package scheduler

import (
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// maxMoves bounds how often one task is moved.
const maxMoves = 2

// handleProgress moves a run that hangs or is too slow, if another target has capacity.
func (s *Scheduler) handleProgress(t *target, p peer.Progress) {
	at := t.attempts[p.Attempt]
	if at == nil || at.stopping || at.item.job.ended {
		return
	}
	it := at.item
	now := s.now()
	remaining := load.Remaining(p.Percent, float64(p.Pace)/100, it.expectedOn(t))
	slow := t.probation || it.job.forecast.Certain
	if it.moves >= maxMoves || !load.ShouldMove(now, it.job.objective, remaining, it.expected, slow) {
		return
	}
	it.avoid = t.name
	other := s.choose(it, s.newRound())
	if other == nil || other == t || !load.ShouldMove(now, it.job.objective, remaining, it.expectedOn(other), slow) {
		return
	}
	it.moves++
	s.opts.Counters.CountRetry(apiv1.Reason_REASON_STRAGGLER)
	s.opts.Log.Info().Str("job", it.key.Job).Stringer("task", it.key).Uint64("run", at.id.Run).Str("target", t.info.ID).
		Int("percent", p.Percent).Int("pace", p.Pace).Dur("after", now-at.sentAt).Dur("expected", it.expected).
		Dur("objective_in", it.job.objective-now).Msg("attempt moved")
	s.stopAttempt(at)
}

package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// recordSlowdown records the slowdown that an agent reports of its target. A new process of the
// agent does not know it yet, so the former one holds while the target is the same incarnation.
func (s *Scheduler) recordSlowdown(t *target, info *peer.Target) {
	same := info.ID == t.info.ID && info.Incarnation == t.info.Incarnation
	switch {
	case info.Slowdown > 0:
		t.slowdownAt = s.now() - info.SlowdownAge
	case same && t.info.Slowdown > 0:
		info.Slowdown, info.SlowdownRuns = t.info.Slowdown, t.info.SlowdownRuns
	}
}

// updateSpeeds derives the relative slowdown of each target from those that agents report. It is
// called when a report arrives and every speedUpdateInterval, since slowdowns are forgotten.
func (s *Scheduler) updateSpeeds(now time.Duration) {
	s.speedsUpdatedAt = now
	if !s.opts.TargetSpeeds {
		return
	}
	clear(s.averageSlowdown)
	clear(s.fastest)
	known := make(map[string]int)
	for _, t := range s.targets {
		if t.info.Slowdown > 0 {
			known[t.info.Pool]++
			s.averageSlowdown[t.info.Pool] += (float64(t.info.Slowdown)/100 - s.averageSlowdown[t.info.Pool]) / float64(known[t.info.Pool])
		}
	}
	s.unequalSpeeds = false
	for _, t := range s.targets {
		former := t.slowdown
		t.slowdown = load.RelativeSlowdown(float64(t.info.Slowdown)/100, s.averageSlowdown[t.info.Pool], now-t.slowdownAt)
		s.unequalSpeeds = s.unequalSpeeds || t.slowdown != 1
		if t.usable(now) && t.slowdown < s.fastestSlowdown(t.info.Pool) {
			s.fastest[t.info.Pool] = t.slowdown
		}
		if (former == 1) != (t.slowdown == 1) {
			s.opts.Counters.Counter("target_speed_judgements").Inc(1)
			s.opts.Log.Info().Str("target", t.info.ID).Float64("slowdown", t.slowdown).Float64("former", former).
				Int("reported_percent", t.info.Slowdown).Int("runs", t.info.SlowdownRuns).Dur("age", now-t.slowdownAt).
				Msg("speed of a target judged")
		}
	}
}

// speedUpdateInterval is the time between updates of the slowdowns without a report.
const speedUpdateInterval = time.Second

func (s *Scheduler) sweepSpeeds(now time.Duration) {
	if now-s.speedsUpdatedAt >= speedUpdateInterval {
		s.updateSpeeds(now)
	}
}

// fastestSlowdown returns the relative slowdown of the fastest target of a pool, at most 1.
func (s *Scheduler) fastestSlowdown(pool string) float64 {
	if slowdown, ok := s.fastest[pool]; ok {
		return slowdown
	}
	return 1
}

// expectedOn returns the predicted run time of a task on a target.
func (it *item) expectedOn(t *target) time.Duration {
	return time.Duration(float64(it.expected) * t.slowdown)
}

// averageRunTime returns the predicted run time of a task on the average target, from which
// agents derive the speed of theirs, or 0 while it is only declared.
func (s *Scheduler) averageRunTime(it *item) time.Duration {
	if !(s.opts.TargetSpeeds || s.opts.Interference) || !s.estimate.IsLearned(it.job.queue.Name) {
		return 0
	}
	return it.expected
}

// latestStartOn returns when the job's first task must start on a target to meet the objective.
func (j *job) latestStartOn(t *target) time.Duration {
	return load.LatestStartOn(j.latestStart, j.forecast, 1+t.slowdown-j.fastest)
}

// endsTooLate reports whether a task would miss its objective on a target only because the
// target is slow: until latestStart of its job it waits for a faster one.
func (s *Scheduler) endsTooLate(it *item, t *target, now time.Duration) bool {
	return t.slowdown > it.job.fastest && now <= it.job.latestStart && now > it.job.latestStartOn(t)
}

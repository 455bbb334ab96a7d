package scheduler

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

const (
	// noTargetRetry is the retry delay for a caller whose job no target could run.
	noTargetRetry = 500 * time.Millisecond
	// stoppingRetry is the retry delay at a stopping entry; it is short because the
	// caller can send the job to any other entry.
	stoppingRetry = 50 * time.Millisecond
	// warmUpPeriod is how long after its start, and after its first configuration, an entry lets
	// jobs wait for targets whose agents have not connected yet.
	warmUpPeriod = time.Second
	// sweepInterval is the time between checks for passed deadlines and silent agents.
	sweepInterval = 10 * time.Millisecond
)

const messageNoCapacity = "no room before its objective could no longer be met"

// admit decides whether a job may be queued, and returns its refusal if not.
func (s *Scheduler) admit(j *job) (Answer, bool) {
	now := s.now()
	s.topPriority(j.queue.Pool).Observe(now, j.queue.Priority)
	if s.stop != nil && !s.stop.Admits(now, j.forecast.RunTime) {
		return j.refusal(apiv1.Reason_REASON_STOPPING, stoppingRetry, "this entry stops"), false
	}
	if j.suspicion.MustGiveUp() {
		return crashedAnswer(j.suspicion), false
	}
	if a, ok := s.answerBlocked(j, now); ok {
		s.unfinished.put(j.spec.ID, a, now)
		return a, false
	}
	if j.separation == load.Isolated {
		return s.admitIsolated(j, now)
	}
	if message, ok := s.canEverRun(j); !ok && !s.isWarmingUp(now) {
		return j.refusal(apiv1.Reason_REASON_NO_ELIGIBLE_TARGET, noTargetRetry, message), false
	}
	j.capacity = s.predictCapacity(j, now)
	if load.IsSurelyTooLate(j.capacity.wait, j.latestStart-now) && !s.acceptLate(j, now) {
		retry := load.RetryAfter(j.capacity.wait, s.opts.Random())
		return j.refusal(apiv1.Reason_REASON_OVERLOAD, retry, "would wait past its objective"), false
	}
	return Answer{}, true
}

// isWarmingUp reports whether agents may still be connecting. After a loss of power they read the
// list of entries from the store, as entries read their configuration.
func (s *Scheduler) isWarmingUp(now time.Duration) bool {
	return now <= warmUpPeriod || (s.firstPolicyAt > 0 && now <= s.firstPolicyAt+warmUpPeriod)
}

// canEverRun reports whether each step has a target that could run its tasks.
func (s *Scheduler) canEverRun(j *job) (string, bool) {
	r := s.newRound()
	for i := range j.spec.Steps {
		if !s.hasTarget(j, i, r) {
			return "no target in service could run its tasks", false
		}
	}
	return "", true
}

func (s *Scheduler) hasTarget(j *job, step int, r placementRound) bool {
	req := s.requirements(&j.spec.Steps[step])
	for _, t := range s.targets {
		if !r.isEligible(t, j) {
			continue
		}
		if c := t.candidate(); req.CanRun(&c) {
			return true
		}
	}
	return false
}

func (s *Scheduler) retryAfter() time.Duration {
	wait := s.drain.EstimateWait(s.now(), s.queue.TotalWork(), s.shareOfCapacity())
	return load.RetryAfter(wait, s.opts.Random())
}

// Sweep ends jobs that can no longer be served, and attempts that must have ended. It
// is called every sweepInterval.
func (s *Scheduler) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, t := range s.targets {
		s.sweepTarget(t, now)
	}
	s.sweepConfinement(now)
	s.sweepSpeeds(now)
	s.sweepInterference(now)
	s.sweepCancels(now)
	for _, j := range s.jobs {
		s.sweepJob(j, now)
	}
	s.placeQueued()
}

func (s *Scheduler) sweepJob(j *job, now time.Duration) {
	switch {
	case now >= j.deadline:
		s.giveUp(j, apiv1.Reason_REASON_DEADLINE_EXCEEDED, "its caller's deadline has passed")
	case j.isApart() && s.waitedTooLongApart(j, now):
		s.giveUp(j, apiv1.Reason_REASON_TARGET_CRASHED, messageNoTargetApart)
	case s.isTooLate(j, now) && !s.acceptLate(j, now):
		s.giveUp(j, apiv1.Reason_REASON_OVERLOAD, messageNoCapacity)
	default:
		if a, ok := s.answerBlocked(j, now); ok {
			s.finish(j, a)
		}
	}
}

// isTooLate reports whether no task of a job has run and the job would miss its
// objective if it began now.
func (s *Scheduler) isTooLate(j *job, now time.Duration) bool {
	return j.verdict() == verdict.NotRun && now > j.latestStart
}

// Run calls Sweep periodically until done is closed.
func (s *Scheduler) Run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.Sweep()
		}
	}
}

package scheduler

import (
	"slices"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// callerCheckInterval is how long the result of a check that a job has a caller holds for
// further starts of its tasks.
const callerCheckInterval = 20 * time.Millisecond

// waiter is one caller that waits for the answer of a job.
type waiter struct {
	answer    chan Answer
	connected func() bool
}

// withdraw removes a caller that no longer waits, and ends the job if it was the last
// one.
func (s *Scheduler) withdraw(j *job, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.ended {
		return
	}
	if i := slices.Index(j.waiters, w); i >= 0 {
		j.waiters = slices.Delete(j.waiters, i, i+1)
	}
	if len(j.waiters) > 0 {
		return
	}
	s.abandon(j, "its caller left")
	s.placeQueued()
}

// hasCaller reports whether a caller of a job is still connected, and ends the job otherwise.
// It is checked before tasks are started, since this process may have been paused: a caller
// that has left meanwhile may have sent the job to another entry.
func (s *Scheduler) hasCaller(j *job) bool {
	now := s.now()
	if j.callerSeenAt > 0 && now-j.callerSeenAt < callerCheckInterval {
		return true
	}
	for _, w := range j.waiters {
		if w.connected() {
			j.callerSeenAt = now
			return true
		}
	}
	s.opts.Counters.Counter("starts_without_caller").Inc(1)
	s.opts.Log.Warn().Str("job", j.spec.ID).Dur("arrived_ago", now-j.arrived).Dur("caller_seen_ago", now-j.callerSeenAt).
		Bool("caller_seen", j.callerSeenAt > 0).Msg("start withheld: no caller is connected")
	s.abandon(j, "its caller had left before a start")
	return false
}

// abandon ends a job without callers.
func (s *Scheduler) abandon(j *job, message string) {
	s.finish(j, Answer{State: StateAbandoned, Verdict: j.verdict(), Reason: apiv1.Reason_REASON_CANCELLED, Message: message})
}

package scheduler

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/process/load"
)

// acceptLate makes a job that can no longer meet its objective overdue, in place of refusing it,
// if there is spare capacity now, and it is enough for the overdue work while its answer is still
// useful. It reports whether it did. During a burst the spare capacity of the time after it can't be
// foreseen, and a caller that waits for it is refused late.
func (s *Scheduler) acceptLate(j *job, now time.Duration) bool {
	if !s.opts.LateAnswers || j.overdue || j.isApart() {
		return false
	}
	left := j.deadline - now
	f := j.forecast
	f.Waited += now - j.arrived
	slack := load.UsefulSlack(f, j.queue.Objective(f.RunTime), left)
	ahead := s.overdueWork() + load.WorkOf(j.initialCPU(), f.RunTime)
	wait := load.SpareWait(ahead, s.shareOfCapacity())
	if !load.MayAnswerLate(wait, slack) || !load.HasSpareCapacity(s.usableCPU(s.newRound())) {
		return false
	}
	j.overdue = true
	j.latestStart = now + slack
	s.fixOrder(j)
	s.opts.Counters.Counter("jobs_accepted_late").Inc(1)
	s.opts.Log.Info().Str("job", j.spec.ID).Str("queue", j.queue.Name).Dur("waited", now-j.arrived).
		Dur("expected", f.RunTime).Dur("predicted_wait", wait).Dur("slack", slack).Msg("job accepted for a late answer")
	return true
}

// overdueWork returns the work of the queued tasks of overdue jobs.
func (s *Scheduler) overdueWork() load.Work {
	var work load.Work
	s.queue.All(func(it *item) {
		if it.Overdue() {
			work += it.Work()
		}
	})
	return work
}

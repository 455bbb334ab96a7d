package load

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// crashesBeforeGivingUp is the number of crashes under a task after which its job is
	// given up, if at least one of them had no runs of other jobs. maxCrashes is the number
	// after which it is given up in any case.
	crashesBeforeGivingUp = 2
	maxCrashes            = 3
	// suspectShare is the share of the suspicion for one crash from which a job is kept
	// apart from others.
	suspectShare = 0.3
	// minRunAge is the resolution of the ages of runs: the time that a crash takes to be
	// noticed.
	minRunAge = 5 * time.Millisecond
)

// Suspicion is what the crashes under the tasks of a job say about it.
type Suspicion struct {
	// Crashes is the highest number of crashes under one of its tasks, Alone the number of
	// them in which only runs of this job were on the target.
	Crashes, Alone int
	// Share is its highest share of the suspicion for one crash, from 0 to 1.
	Share float64
}

// MustGiveUp reports whether the job must not be started again.
func (s Suspicion) MustGiveUp() bool {
	return s.Crashes >= maxCrashes || (s.Crashes >= crashesBeforeGivingUp && s.Alone > 0)
}

// MustIsolate reports whether the job may be started only apart from other jobs.
func (s Suspicion) MustIsolate() bool {
	return s.Crashes >= crashesBeforeGivingUp || s.Alone > 0 || s.Share >= suspectShare
}

// Suspects holds the suspicion against each job that was on a target when it crashed.
//
// Load pattern: a few tasks crash each target that starts them, and each crash has a dozen
// runs of other jobs on it. Started again beside others, each such task takes a dozen more
// runs and another target with it.
type Suspects map[string]Suspicion

// NewSuspects derives the suspects from all reports of crashes. A job with a withdrawn
// report only is no suspect.
func NewSuspects(reports []crash.Report) Suspects {
	suspects := make(Suspects)
	crashes := make(map[task.Key]Suspicion)
	for i := range reports {
		r := &reports[i]
		if r.Withdrawn {
			continue
		}
		shares := suspicionShares(r)
		for _, run := range r.Runs {
			of := crashes[run.Task]
			of.Crashes++
			if r.IsAlone() {
				of.Alone++
			}
			crashes[run.Task] = of
			of.Share = shares[run.Task.Job]
			suspects.raise(run.Task.Job, of)
		}
	}
	return suspects
}

// raise raises the suspicion against a job to that against one of its tasks.
func (s Suspects) raise(job string, of Suspicion) {
	known := s[job]
	s[job] = Suspicion{
		Crashes: max(known.Crashes, of.Crashes),
		Alone:   max(known.Alone, of.Alone),
		Share:   max(known.Share, of.Share),
	}
}

// suspicionShares divides the suspicion for one crash between the jobs on the target. A run
// counts by the reciprocal of its age: a task that crashes targets may do so at any time
// after its start, but a run that has long been harmless is unlikely to be the cause.
func suspicionShares(r *crash.Report) map[string]float64 {
	shares := make(map[string]float64)
	var sum float64
	for _, run := range r.Runs {
		weight := 1 / max(run.Age, minRunAge).Seconds()
		shares[run.Task.Job] += weight
		sum += weight
	}
	for job := range shares {
		shares[job] /= sum
	}
	return shares
}

package load

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// crashesBeforeGivingUp is the number of crashes under a task after which its job is
	// given up, if they prove that it is the cause. maxCrashes is the number, with those that
	// are not certain, after which it is given up in any case.
	crashesBeforeGivingUp = 2
	maxCrashes            = 3
	// suspectShare is the share of the suspicion for one crash from which a job is kept
	// apart from others.
	suspectShare = 0.3
	// minorShare is the share from which a job is started again only beside other suspects.
	minorShare = 0.05
	// minRunAge is the resolution of the ages of runs: the time that a crash takes to be
	// noticed.
	minRunAge = 5 * time.Millisecond
	// ageTolerance and ageFactor bound the difference of the ages at which one task crashes
	// targets, whose speeds differ.
	ageTolerance = 20 * time.Millisecond
	ageFactor    = 2
)

// Suspicion is what the crashes under the tasks of a job say about it.
type Suspicion struct {
	// Crashes is the highest number of crashes under one of its tasks, CertainCrashes that of
	// those that were certainly under it: the target has not only stopped answering, it had
	// confirmed the task, and no other one crashed at the same moment.
	Crashes, CertainCrashes int
	// Alone is set if a target has crashed with runs of this job only.
	Alone bool
	// Proven is set if one did so at about the same age of a run as another target under the
	// same task, and both crashes are certain.
	Proven bool
	// Share is its highest share of the suspicion for one crash, from 0 to 1.
	Share float64
}

// MustGiveUp reports whether the job must not be started again.
func (s Suspicion) MustGiveUp() bool {
	return s.Crashes >= maxCrashes || (s.Crashes >= crashesBeforeGivingUp && s.Proven)
}

// MayFail reports whether a job that is given up may be answered as failed. Otherwise crashes
// under it may be withdrawn, so that it can be run later.
func (s Suspicion) MayFail() bool { return s.CertainCrashes >= crashesBeforeGivingUp }

// MustIsolate reports whether the job may be started only apart from other jobs.
func (s Suspicion) MustIsolate() bool {
	return s.Crashes >= crashesBeforeGivingUp || s.Alone || s.Share >= suspectShare
}

// MustKeepApart reports whether the job may be started only beside other suspects.
func (s Suspicion) MustKeepApart() bool { return s.Share >= minorShare }

// Suspects holds the suspicion against each job that was on a target when it crashed.
//
// Load pattern: a few tasks crash each target that starts them, and each crash has a dozen
// runs of other jobs on it. Started again beside others, each such task takes a dozen more
// runs and another target with it.
type Suspects map[string]Suspicion

// taskCrash is one crash under a task.
type taskCrash struct {
	age time.Duration
	// alone is set if only runs of its job were on the target.
	alone bool
	// certain is set if it counts as one of Suspicion.CertainCrashes.
	certain bool
}

// NewSuspects derives the suspects from all reports of crashes. A job with a withdrawn
// report only is no suspect.
func NewSuspects(reports []crash.Report) Suspects {
	suspects := make(Suspects)
	crashes := make(map[task.Key][]taskCrash)
	for i := range reports {
		r := &reports[i]
		if r.Withdrawn {
			continue
		}
		shares := suspicionShares(r)
		outside := len(neighbours(reports, i)) > 0 // the cause is likely to be outside the targets
		if outside {
			clear(shares)
		}
		for _, run := range r.Runs {
			crashes[run.Task] = append(crashes[run.Task], taskCrash{age: run.Age, alone: r.IsAlone(), certain: !r.Silent && !run.Unconfirmed && !outside})
			s := suspects[run.Task.Job]
			s.Share = max(s.Share, shares[run.Task.Job])
			suspects[run.Task.Job] = s
		}
	}
	for key, of := range crashes {
		suspects[key.Job] = suspects[key.Job].with(of)
	}
	return suspects
}

// with returns the suspicion with the crashes under one more task of the job.
func (s Suspicion) with(crashes []taskCrash) Suspicion {
	s.Crashes = max(s.Crashes, len(crashes))
	certain := 0
	for i, c := range crashes {
		if c.certain {
			certain++
		}
		s.Alone = s.Alone || c.alone
		for n, other := range crashes {
			if c.alone && n != i && c.certain && other.certain && isSameAge(c.age, other.age) {
				s.Proven = true
			}
		}
	}
	s.CertainCrashes = max(s.CertainCrashes, certain)
	return s
}

// isSameAge reports whether two crashes came at about the same age of a task. A task that
// crashes targets does so at the same point of its work.
func isSameAge(a, b time.Duration) bool {
	return (a-b).Abs() <= ageTolerance || max(a, b) <= ageFactor*min(a, b)
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

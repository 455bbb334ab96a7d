package load

import (
	"math"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// causeWindow is the age up to which crashes are explained together.
	causeWindow = 10 * time.Second
	// sameMoment is the time between crashes that have a cause outside the targets, as a loss
	// of power: tasks crash one target at a time.
	sameMoment = 15 * time.Millisecond
	// otherCauseShare is the part of the crashes that may have another cause than the one
	// assumed.
	otherCauseShare = 0.1
	// externalPrior is the assumed probability that no task is the cause of the crashes.
	externalPrior = 0.25
	// ageRangeFactor is the ratio of the ends of a range of ages: runs of one kind crash
	// their targets at much the same point of their work. ageRanges is the number of ranges,
	// of which each begins at twice the start of the one before.
	ageRangeFactor = 4
	ageRanges      = 12
	// maxLikelihoodRatio bounds what one crash can say.
	maxLikelihoodRatio = 50
)

// Causes holds the queues that may be the cause of recent crashes.
//
// Load pattern: several queues have runs on each target that crashes, and some tasks of one
// of them are the cause. A queue with many runs has a young one on each target by chance.
type Causes map[string]Cause

// Cause is the evidence against one queue.
type Cause struct {
	// Probability is that of the queue being the cause of most of the crashes.
	Probability float64
	// Crashes is how many crashes it explains.
	Crashes int
}

// FindCauses returns the evidence against each queue with runs on the targets that crashed.
// reports are in the order of their ages. startRate returns how many jobs of a queue
// begin on one target each second.
//
// If a queue is the cause, each crash has a run of it whose age is in a certain range. The
// number of such runs is compared with that expected by chance, for each queue and each range.
// Crashes for which another queue alone can be the cause say nothing about a queue.
func FindCauses(reports []crash.Report, startRate func(queue string) float64) Causes {
	recent := recentCrashes(reports)
	causes := make(Causes)
	likelihoods := make(map[string]float64)
	var sum float64
	for _, queue := range queuesOf(recent) {
		var c Cause
		c.Crashes, likelihoods[queue] = likelihood(queue, recent, startRate(queue))
		causes[queue] = c
		sum += likelihoods[queue]
	}
	prior := (1 - externalPrior) / float64(max(len(causes), 1))
	for queue, c := range causes {
		c.Probability = prior * likelihoods[queue] / (externalPrior + prior*sum)
		causes[queue] = c
	}
	return causes
}

// MostLikely returns the queue that is the cause with the highest probability.
func (c Causes) MostLikely() (queue string, cause Cause) {
	for name, of := range c {
		if of.Probability > cause.Probability || (of.Probability == cause.Probability && name < queue) {
			queue, cause = name, of
		}
	}
	return queue, cause
}

// likelihood returns how many times as likely the crashes are if a queue is the cause as if
// none is, as the mean over the ranges of ages. crashes is how many it explains.
func likelihood(queue string, recent []*crash.Report, rate float64) (crashes int, mean float64) {
	best := 0.0
	from := minRunAge / 2
	for range ageRanges {
		to := ageRangeFactor * from
		expected := rate * (to - from).Seconds()
		explained, product := 0, 1.0
		for _, r := range recent {
			if only, single := onlyQueue(r); single && only != queue {
				continue
			}
			n := jobsOfAge(r, queue, from, to)
			product *= otherCauseShare + (1-otherCauseShare)*min(float64(n)/expected, maxLikelihoodRatio)
			if n > 0 {
				explained++
			}
		}
		if product > best {
			best, crashes = product, explained
		}
		mean += product / ageRanges
		from *= 2
	}
	return crashes, mean
}

// jobsOfAge returns how many jobs of a queue had a run of an age in [from, to) on the target.
func jobsOfAge(r *crash.Report, queue string, from, to time.Duration) int {
	jobs := make(map[string]bool)
	for i := range r.Runs {
		run := &r.Runs[i]
		if age := max(run.Age, minRunAge); run.Queue == queue && age >= from && age < to {
			jobs[run.Task.Job] = true
		}
	}
	return len(jobs)
}

func queuesOf(reports []*crash.Report) []string {
	known := make(map[string]bool)
	var queues []string
	for _, r := range reports {
		for i := range r.Runs {
			if q := r.Runs[i].Queue; q != "" && !known[q] {
				known[q] = true
				queues = append(queues, q)
			}
		}
	}
	return queues
}

// recentCrashes returns the crashes that tasks may have caused. reports are in the order of
// their ages.
func recentCrashes(reports []crash.Report) []*crash.Report {
	var valid []*crash.Report
	for i := range reports {
		if r := &reports[i]; !r.Withdrawn && len(r.Runs) > 0 && r.Age <= causeWindow {
			valid = append(valid, r)
		}
	}
	var recent []*crash.Report
	for i, r := range valid {
		younger := i > 0 && r.Age-valid[i-1].Age <= sameMoment
		older := i+1 < len(valid) && valid[i+1].Age-r.Age <= sameMoment
		if !younger && !older {
			recent = append(recent, r)
		}
	}
	return recent
}

// startRates measures how often this entry starts jobs of each queue on a target. A job counts
// once for each target that it has runs on.
type startRates struct {
	byQueue map[string]*startRate
}

type startRate struct {
	count float64
	since time.Duration
	at    time.Duration
}

const (
	// startRateWindow is the time constant of the measured rates.
	startRateWindow = 10 * time.Second
	// minStartRate is assumed for a queue of which no starts are known, in starts per second.
	minStartRate = 1
	// minRateTime is the shortest time from which a rate is derived.
	minRateTime = 100 * time.Millisecond
)

func (s *startRates) record(now time.Duration, queue string) {
	if s.byQueue == nil {
		s.byQueue = make(map[string]*startRate)
	}
	r := s.byQueue[queue]
	if r == nil {
		r = &startRate{since: now, at: now}
		s.byQueue[queue] = r
	}
	r.count = r.count*decay(now-r.at) + 1
	r.at = now
}

// perSecond returns the starts per second of a queue.
func (s *startRates) perSecond(now time.Duration, queue string) float64 {
	r := s.byQueue[queue]
	if r == nil {
		return minStartRate
	}
	observed := startRateWindow.Seconds() * (1 - decay(max(now-r.since, minRateTime)))
	return max(r.count*decay(now-r.at)/observed, minStartRate)
}

func decay(age time.Duration) float64 { return math.Exp(-age.Seconds() / startRateWindow.Seconds()) }

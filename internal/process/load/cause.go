package load

import (
	"math"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/crash"
)

const (
	// causeWindow is the age up to which crashes are explained together.
	causeWindow = 10 * time.Second
	// maxExplainedCrashes bounds the crashes that are explained together, the latest ones.
	maxExplainedCrashes = 64
	// sameMoment is the time between crashes that are likely to have a cause outside the
	// targets, as a loss of power: tasks crash one target at a time.
	sameMoment = 15 * time.Millisecond
	// maxUncertainty bounds what is added to sameMoment for crashes whose time is uncertain.
	maxUncertainty = 60 * time.Millisecond
	// externalPrior is the assumed probability that no task is the cause of the crashes.
	externalPrior = 0.25
	// ageRangeFactor is the ratio of the ends of a range of ages: runs of one kind crash
	// their targets at much the same point of their work. ageRanges is the number of ranges,
	// of which each begins at twice the start of the one before.
	ageRangeFactor = 4
	ageRanges      = 12
	// maxLikelihoodRatio bounds what one crash can say.
	maxLikelihoodRatio = 50
	// minStartRate is the lowest rate of starts that is assumed, in jobs per second on a target.
	minStartRate = 0.1
)

const (
	// otherCauseShare is the assumed part of the crashes with another cause than tasks of one
	// queue, alone at their moment, and manyCauseShare that of three or more of one moment.
	otherCauseShare = 0.1
	manyCauseShare  = 0.9
	// minCrashTime is the time in which the first crash may have been by chance.
	minCrashTime = time.Second
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
// reports are in the order of their ages. Without any that gives rates of starts there is no
// evidence.
//
// If a queue is the cause, each crash has a run of it whose age is in a certain range. The
// number of such runs is compared with that expected by chance, for each queue and each range.
// Crashes for which another queue alone can be the cause say nothing about a queue.
func FindCauses(reports []crash.Report) Causes {
	recent, ok := recentCrashes(reports)
	if !ok {
		return nil
	}
	causes := make(Causes)
	likelihoods := make(map[string]float64)
	var sum float64
	for queue := range queuesOf(recent) {
		var c Cause
		c.Crashes, likelihoods[queue] = likelihood(queue, recent)
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
func likelihood(queue string, recent []recentCrash) (crashes int, mean float64) {
	best := 0.0
	from := minRunAge / 2
	for range ageRanges {
		explained, ratio := likelihoodForAges(queue, recent, from, ageRangeFactor*from)
		if ratio > best {
			best, crashes = ratio, explained
		}
		mean += ratio / ageRanges
		from *= 2
	}
	return crashes, mean
}

// likelihoodForAges returns the same if the cause is a run with an age in [from, to).
func likelihoodForAges(queue string, recent []recentCrash, from, to time.Duration) (crashes int, ratio float64) {
	ratio = 1
	for _, r := range recent {
		if len(r.ages) == 1 && len(r.ages[queue]) == 0 {
			continue
		}
		n := expectedBetween(r.ages[queue], from, to)
		expected := max(r.rates[queue], minStartRate) * (to - from).Seconds()
		ratio *= r.otherCause + (1-r.otherCause)*min(n/expected, maxLikelihoodRatio)
		if n > 0 {
			crashes++
		}
	}
	return crashes, ratio
}

// ageRange is the range in which the age of a run at the crash is, uniformly.
type ageRange struct{ from, to time.Duration }

// share returns the probability that the age is in [from, to).
func (a ageRange) share(from, to time.Duration) float64 {
	switch {
	case a.from < a.to:
		return max(0, (min(a.to, to)-max(a.from, from)).Seconds()/(a.to-a.from).Seconds())
	case a.from >= from && a.from < to:
		return 1
	default:
		return 0
	}
}

// expectedBetween returns the expected number of ages in [from, to).
func expectedBetween(ages []ageRange, from, to time.Duration) float64 {
	n := 0.0
	for _, age := range ages {
		n += age.share(from, to)
	}
	return n
}

func queuesOf(recent []recentCrash) map[string]bool {
	queues := make(map[string]bool)
	for _, r := range recent {
		for queue := range r.ages {
			queues[queue] = true
		}
	}
	return queues
}

// recentCrash is a crash that tasks may have caused.
type recentCrash struct {
	// ages holds, by queue, the range of the age of the youngest run of each job.
	ages map[string][]ageRange
	// otherCause is the assumed probability that the cause is no task of one queue.
	otherCause float64
	// rates holds how many jobs of each queue have begun on the target each second.
	rates map[string]float64
}

// recentCrashes returns the crashes that tasks may have caused, or false if no report gives
// rates of starts. reports are in the order of their ages.
func recentCrashes(reports []crash.Report) (recent []recentCrash, ok bool) {
	moments := momentsPerSecond(reports)
	for i := range reports {
		r := &reports[i]
		if r.Age > causeWindow || len(recent) == maxExplainedCrashes {
			break
		}
		if r.Withdrawn {
			continue
		}
		others := neighbours(reports, i)
		if ages := agesByQueue(r, others); len(ages) > 0 {
			recent = append(recent, recentCrash{ages: ages, otherCause: otherCause(r, others, moments), rates: ratesOf(r)})
		}
	}
	mean := meanRates(recent)
	for i := range recent {
		if recent[i].rates == nil {
			recent[i].rates = mean
		}
	}
	return recent, mean != nil
}

// otherCause returns the assumed probability that a crash has another cause than tasks of one queue.
// Tasks crash one target at a time, so that the fewer crashes come, the less likely two of them are
// at one moment by chance.
func otherCause(r *crash.Report, atSameMoment []*crash.Report, momentsPerSecond float64) float64 {
	switch len(atSameMoment) {
	case 0:
		return otherCauseShare
	case 1:
		around := 2 * momentWidth(r, atSameMoment[0]).Seconds()
		byChance := 1 - math.Exp(-momentsPerSecond*around)
		return otherCauseShare / (otherCauseShare + (1-otherCauseShare)*byChance)
	default:
		return manyCauseShare
	}
}

// momentsPerSecond returns how often targets have crashed recently. Those that crashed at the same
// moment count once.
func momentsPerSecond(reports []crash.Report) float64 {
	moments := 0.0
	var newest, oldest time.Duration
	for i := range reports {
		r := &reports[i]
		if r.Age > causeWindow {
			break
		}
		if r.Withdrawn {
			continue
		}
		if moments == 0 {
			newest = r.Age
		}
		oldest = r.Age
		moments += 1 / float64(1+len(neighbours(reports, i)))
	}
	return moments / (oldest - newest + minCrashTime).Seconds()
}

// ratesOf returns the rates of starts that a report gives, or nil.
func ratesOf(r *crash.Report) map[string]float64 {
	if len(r.Rates) == 0 {
		return nil
	}
	rates := make(map[string]float64, len(r.Rates))
	for _, rate := range r.Rates {
		rates[rate.Queue] = rate.PerSecond
	}
	return rates
}

// meanRates returns the means of the rates of starts of the crashes that have them, or nil.
func meanRates(recent []recentCrash) map[string]float64 {
	known := 0
	mean := make(map[string]float64)
	for _, r := range recent {
		if r.rates == nil {
			continue
		}
		known++
		for queue, rate := range r.rates {
			mean[queue] += rate
		}
	}
	if known == 0 {
		return nil
	}
	for queue := range mean {
		mean[queue] /= float64(known)
	}
	return mean
}

// agesByQueue returns, by queue, the range of the age of the youngest run of each job. Of a target that has
// stopped answering, the first run without an answer says nothing: there always is one. Nor does
// a job that was on another target that crashed at the same moment: a task crashes one.
func agesByQueue(r *crash.Report, atSameMoment []*crash.Report) map[string][]ageRange {
	type job struct{ queue, id string }
	elsewhere := jobsOf(atSameMoment)
	youngest := make(map[job]time.Duration)
	for i := range r.Runs {
		run := &r.Runs[i]
		if (r.Silent && run.Age == 0) || elsewhere[run.Task.Job] {
			continue
		}
		of := job{run.Queue, run.Task.Job}
		if age, known := youngest[of]; run.Queue != "" && (!known || run.Age < age) {
			youngest[of] = run.Age
		}
	}
	ages := make(map[string][]ageRange)
	for of, age := range youngest {
		ages[of.queue] = append(ages[of.queue], rangeOf(r, age))
	}
	return ages
}

// rangeOf returns the range of the age of a run. A crash is noticed at once, a silence is not.
func rangeOf(r *crash.Report, age time.Duration) ageRange {
	if !r.Silent {
		return ageRange{from: max(age, minRunAge), to: max(age, minRunAge)}
	}
	return ageRange{from: max(age-r.Uncertainty, minRunAge), to: max(age+r.Uncertainty, minRunAge)}
}

// jobsOf returns the jobs with runs in any of the reports.
func jobsOf(reports []*crash.Report) map[string]bool {
	jobs := make(map[string]bool)
	for _, r := range reports {
		for i := range r.Runs {
			jobs[r.Runs[i].Task.Job] = true
		}
	}
	return jobs
}

// neighbours returns the crashes of other targets at the same moment as the i-th. reports are in
// the order of their ages.
func neighbours(reports []crash.Report, i int) []*crash.Report {
	var others []*crash.Report
	for _, step := range []int{-1, 1} {
		for at := i + step; at >= 0 && at < len(reports) && (reports[at].Age-reports[i].Age).Abs() <= sameMoment+maxUncertainty; at += step {
			if !reports[at].Withdrawn && isSameMoment(&reports[at], &reports[i]) {
				others = append(others, &reports[at])
			}
		}
	}
	return others
}

// IsOneOfSeveral reports whether other targets crashed at the same moment as that of a report, of
// which reports are all that are known.
func IsOneOfSeveral(reports []crash.Report, id crash.ID) bool {
	i := slices.IndexFunc(reports, func(r crash.Report) bool { return r.ID == id })
	return i >= 0 && len(neighbours(reports, i)) > 0
}

func isSameMoment(a, b *crash.Report) bool { return (a.Age - b.Age).Abs() <= momentWidth(a, b) }

// momentWidth returns the longest time between two crashes that may be of the same moment.
func momentWidth(a, b *crash.Report) time.Duration {
	return sameMoment + min(max(a.Uncertainty, b.Uncertainty), maxUncertainty)
}

package load

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSamples is the number of the latest runs from which a slowdown is derived, and
	// minSpeedSamples that from which it is known.
	speedSamples    = 64
	minSpeedSamples = 12
	// minSlowdown and maxSlowdown bound a slowdown: beyond them a target is faulty, which
	// Health handles.
	minSlowdown, maxSlowdown = 0.25, 4.0
	// equalSpeedBand is the relative difference from the average target below which a target
	// counts as average. The median of minSpeedSamples runs varies that much by itself.
	equalSpeedBand = 0.1
	// speedRetention is the time constant with which a slowdown without new runs is forgotten.
	// A target that is avoided gets no runs that could show that its speed has changed.
	speedRetention = 15 * time.Second
)

// RunSpeed measures how long the runs at one target take, relative to their predicted run time
// on the average target. It addresses pools of unequal targets, where a job is as late as its
// task on the slowest one. It uses the median of many runs, so that tasks that run much longer
// than others of their queue do not count as slowness of the target.
type RunSpeed struct {
	logs []float64
	next int
}

// Observe records a run that has succeeded.
func (r *RunSpeed) Observe(predicted, took time.Duration) {
	if predicted <= 0 || took <= 0 {
		return
	}
	value := math.Log(float64(took) / float64(predicted))
	if len(r.logs) < speedSamples {
		r.logs = append(r.logs, value)
		return
	}
	r.logs[r.next] = value
	r.next = (r.next + 1) % speedSamples
}

// Samples returns the number of runs from which the slowdown is derived.
func (r *RunSpeed) Samples() int { return len(r.logs) }

// Slowdown returns the median ratio of the actual to the predicted run time. It reports false
// until enough runs have ended.
func (r *RunSpeed) Slowdown() (float64, bool) {
	if len(r.logs) < minSpeedSamples {
		return 1, false
	}
	sorted := slices.Clone(r.logs)
	slices.Sort(sorted)
	return min(max(math.Exp(sorted[len(sorted)/2]), minSlowdown), maxSlowdown), true
}

// RelativeSlowdown returns how much longer runs take at a target than at the average one of its
// pool. average is the mean slowdown of the pool, age the time since the target's was measured.
// Dividing by the average keeps the predicted run times of a queue and the slowdowns of its
// targets from drifting apart, since each is derived from the other.
func RelativeSlowdown(slowdown, average float64, age time.Duration) float64 {
	if slowdown <= 0 || average <= 0 {
		return 1
	}
	relative := 1 + (slowdown/average-1)*math.Exp(-float64(max(age, 0))/float64(speedRetention))
	if math.Abs(relative-1) < equalSpeedBand {
		return 1
	}
	return min(max(relative, minSlowdown), maxSlowdown)
}

// LatestStartOn returns the latest start on a target with a relative slowdown that meets the
// objective, if latest is that on the average target.
func LatestStartOn(latest time.Duration, f Forecast, slowdown float64) time.Duration {
	return latest + time.Duration((1-slowdown)*f.shortestRun())
}

const (
	// comfortableRatio is the ratio of the time left until the objective to the run time from
	// which a faster target is worth nothing to the job: the tasks of a step differ from each
	// other by less.
	comfortableRatio = 1.5
	// slownessPenalty is the score penalty for each unit that is missing to comfortableRatio,
	// as a share of a target's capacity. A target on which the job would just meet its objective
	// is used once the others are fuller by this share.
	slownessPenalty = 2
)

// SlownessPenalty returns the score penalty of a target on which a run is expected to take run,
// for a job that has left until its objective. Short tasks with time to spare use the slow
// targets, which leaves the fast ones to those that would be late elsewhere.
func SlownessPenalty(run, left time.Duration) float64 {
	if run <= 0 {
		return 0
	}
	ratio := max(float64(left)/float64(run), 0)
	return slownessPenalty * max(comfortableRatio-ratio, 0)
}

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
	// causeRounds is the number of rounds in which the shares of the queues are refined.
	causeRounds = 3
)

// startRates measures how often runs of each queue are started.
type startRates struct {
	byQueue map[string]*startRate
}

type startRate struct {
	count float64
	at    time.Duration
}

// startRateWindow is the time constant of the measured rates.
const startRateWindow = 10 * time.Second

func (s *startRates) record(now time.Duration, queue string) {
	if s.byQueue == nil {
		s.byQueue = make(map[string]*startRate)
	}
	r := s.byQueue[queue]
	if r == nil {
		r = &startRate{at: now}
		s.byQueue[queue] = r
	}
	r.count = r.count*math.Exp(-float64(now-r.at)/float64(startRateWindow)) + 1
	r.at = now
}

// relative returns the rate of a queue, in starts within startRateWindow, and 1 if it is
// unknown.
func (s *startRates) relative(now time.Duration, queue string) float64 {
	r := s.byQueue[queue]
	if r == nil {
		return 1
	}
	return r.count*math.Exp(-float64(now-r.at)/float64(startRateWindow)) + 1
}

// mainCause returns the queue that explains most of the recent crashes, and how many of them
// and all queues explain. Each crash is shared between the queues of its runs: a run counts the
// more the younger it is and the rarer runs of its queue are, since a young run of a rare queue
// is seldom there by chance. It also counts by the number of crashes that its queue explains in
// the round before, so that a queue that is present at each crash gains on the others.
func mainCause(now time.Duration, reports []crash.Report, rates *startRates) (queue string, score, total float64) {
	recent := recentCrashes(reports)
	scores := make(map[string]float64)
	for range causeRounds {
		scores = refineCause(now, recent, rates, scores)
	}
	for name, s := range scores {
		total += s
		if s > score || (s == score && name < queue) {
			queue, score = name, s
		}
	}
	return queue, score, total
}

// recentCrashes returns the crashes that tasks may have caused. reports are in the order of
// their ages.
func recentCrashes(reports []crash.Report) []*crash.Report {
	var valid []*crash.Report
	for i := range reports {
		if r := &reports[i]; !r.Withdrawn && r.Age <= causeWindow {
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

// refineCause returns the number of crashes that each queue explains, given those of the round
// before.
func refineCause(now time.Duration, recent []*crash.Report, rates *startRates, before map[string]float64) map[string]float64 {
	scores := make(map[string]float64)
	for _, r := range recent {
		weights, sum := queueWeights(now, r, rates, before)
		for name, w := range weights {
			if name != "" && sum > 0 {
				scores[name] += w / sum
			}
		}
	}
	return scores
}

// queueWeights returns the weight of each queue in the explanation of one crash, and their sum.
func queueWeights(now time.Duration, r *crash.Report, rates *startRates, before map[string]float64) (weights map[string]float64, sum float64) {
	weights = make(map[string]float64)
	for _, run := range r.Runs {
		w := 1 / max(run.Age, minRunAge).Seconds() / math.Sqrt(rates.relative(now, run.Queue))
		if len(before) > 0 {
			w *= before[run.Queue]
		}
		weights[run.Queue] += w
		sum += w
	}
	return weights, sum
}

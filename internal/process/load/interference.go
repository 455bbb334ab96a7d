package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Interference is the slowdown of tasks of one queue by tasks of another on the same target. It
// answers a load of which some kinds of tasks compete for what a target's resources do not count,
// such as memory bandwidth: their run times depend on what runs beside them.
//
// Agents measure it, since they see all runs of a target. A run is compared with others of its queue on
// the same target, so that the speed of the target and its mean load cancel out; run times are compared
// as logarithms within bounds, so that a few very long tasks do not decide. Entries combine the
// estimates of all targets by their uncertainty.

const (
	// interferenceRetention is the time constant with which measured runs are forgotten.
	interferenceRetention = 12 * time.Second
	// besideShare is the part of its run time for which a run must have another kind beside it to
	// count as slowed by it, aloneShare the part up to which it counts as not.
	besideShare = 0.6
	aloneShare  = 0.2
	// maxLogRatio bounds the logarithm of a run's relative run time.
	maxLogRatio = 1.0
	// minPairRuns is the number of runs beside the other kind, and without it, that an estimate of
	// one target needs.
	minPairRuns = 4
	// minInterference is the slowdown from which two kinds are kept apart, as a logarithm: some 15 %.
	minInterference = 0.14
	// pairConfidence is the number of standard errors by which an estimate must exceed
	// minInterference. With some ten pairs, chance exceeds it once in some thousand evaluations.
	pairConfidence = 4
	// minPairTargets is the number of targets that must show the effect.
	minPairTargets = 2
	// interferenceWeight is the score penalty of a slowdown by 100 %, as a share of a target's
	// capacity.
	interferenceWeight = 0.5
	maxQueuesMeasured  = 16
)

// Pair is a queue whose tasks are slowed down by those of another one beside them.
type Pair struct{ Queue, Beside string }

// PairEstimate is an estimate of the slowdown of a pair at one target or, combined, at all.
type PairEstimate struct {
	Pair
	// Effect is the logarithm of the slowdown, Error its standard error.
	Effect, Error float64
}

// InterferenceMeter measures the interference at one target.
type InterferenceMeter struct {
	pairs map[Pair]*pairSamples
	// seen is when a run of each queue was last measured.
	seen map[string]time.Duration
}

// pairSamples are the runs of a queue with and without another one beside them.
type pairSamples struct {
	with, without moments
	at            time.Duration
}

// moments are decaying sums over samples.
type moments struct{ n, sum, squares float64 }

func (m *moments) decay(factor float64) {
	m.n, m.sum, m.squares = m.n*factor, m.sum*factor, m.squares*factor
}

func (m *moments) add(x float64) { m.n, m.sum, m.squares = m.n+1, m.sum+x, m.squares+x*x }

func (m *moments) mean() float64 { return m.sum / m.n }

// variance returns the variance of the mean.
func (m *moments) variance() float64 {
	mean := m.mean()
	return max(m.squares/m.n-mean*mean, 1e-4) / max(m.n-1, 1)
}

// Observe records a run that has succeeded. beside has, for each other queue that the target runs, the
// part of the run's time for which tasks of it were there.
func (m *InterferenceMeter) Observe(now time.Duration, queue string, predicted, took time.Duration, beside map[string]float64) {
	if predicted <= 0 || took <= 0 {
		return
	}
	if m.pairs == nil {
		m.pairs, m.seen = make(map[Pair]*pairSamples), make(map[string]time.Duration)
	}
	if _, known := m.seen[queue]; !known && len(m.seen) >= maxQueuesMeasured {
		return
	}
	m.seen[queue] = now
	ratio := min(max(math.Log(float64(took)/float64(predicted)), -maxLogRatio), maxLogRatio)
	for other, at := range m.seen {
		if now-at > interferenceRetention {
			delete(m.seen, other)
			continue
		}
		if other == queue {
			continue
		}
		m.record(now, Pair{Queue: queue, Beside: other}, ratio, beside[other])
	}
}

func (m *InterferenceMeter) record(now time.Duration, pair Pair, ratio, share float64) {
	s := m.pairs[pair]
	if s == nil {
		s = &pairSamples{at: now}
		m.pairs[pair] = s
	}
	factor := math.Exp(-float64(now-s.at) / float64(interferenceRetention))
	s.with.decay(factor)
	s.without.decay(factor)
	s.at = now
	switch {
	case share >= besideShare:
		s.with.add(ratio)
	case share <= aloneShare:
		s.without.add(ratio)
	}
}

// Estimates returns the estimates of the pairs with enough recent runs.
func (m *InterferenceMeter) Estimates(now time.Duration) []PairEstimate {
	var out []PairEstimate
	for pair, s := range m.pairs {
		if now-s.at > interferenceRetention {
			delete(m.pairs, pair)
			continue
		}
		if s.with.n < minPairRuns || s.without.n < minPairRuns {
			continue
		}
		out = append(out, PairEstimate{
			Pair: pair, Effect: s.with.mean() - s.without.mean(), Error: math.Sqrt(s.with.variance() + s.without.variance()),
		})
	}
	slices.SortFunc(out, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Beside, b.Beside))
	})
	return out
}

// InterferenceTable combines the estimates of all targets at an entry.
type InterferenceTable struct {
	byTarget map[string]targetEstimates
	// known are the pairs that are kept apart, with the logarithm of their slowdown.
	known map[Pair]float64
}

type targetEstimates struct {
	list []PairEstimate
	at   time.Duration
}

// Record replaces the estimates of a target.
func (t *InterferenceTable) Record(target string, now time.Duration, list []PairEstimate) {
	if t.byTarget == nil {
		t.byTarget, t.known = make(map[string]targetEstimates), make(map[Pair]float64)
	}
	t.byTarget[target] = targetEstimates{list: list, at: now}
}

// PairChange is a pair that was learned or forgotten.
type PairChange struct {
	PairEstimate
	Targets int
	Learned bool
}

// Update derives the pairs that are kept apart, and returns those that have changed. A pair is
// forgotten once its estimate falls below half of what it takes to learn it, or is gone.
func (t *InterferenceTable) Update(now time.Duration) []PairChange {
	type sums struct{ weight, effect, targets float64 }
	combined := make(map[Pair]*sums)
	for target, e := range t.byTarget {
		if now-e.at > interferenceRetention {
			delete(t.byTarget, target)
			continue
		}
		for _, p := range e.list {
			s := combined[p.Pair]
			if s == nil {
				s = &sums{}
				combined[p.Pair] = s
			}
			weight := 1 / max(p.Error*p.Error, 1e-4)
			s.weight, s.effect, s.targets = s.weight+weight, s.effect+weight*p.Effect, s.targets+1
		}
	}
	var changes []PairChange
	for pair, s := range combined {
		e := PairEstimate{Pair: pair, Effect: s.effect / s.weight, Error: 1 / math.Sqrt(s.weight)}
		_, known := t.known[pair]
		keep := s.targets >= minPairTargets && e.Effect-pairConfidence*e.Error > minInterference
		if known {
			keep = e.Effect > minInterference/2
		}
		if keep {
			t.known[pair] = e.Effect
		} else {
			delete(t.known, pair)
		}
		if keep != known {
			changes = append(changes, PairChange{PairEstimate: e, Targets: int(s.targets), Learned: keep})
		}
	}
	for pair, effect := range t.known {
		// Once two kinds are kept apart, no run shows their effect any more.
		if combined[pair] == nil {
			delete(t.known, pair)
			changes = append(changes, PairChange{PairEstimate: PairEstimate{Pair: pair, Effect: effect}})
		}
	}
	return changes
}

// IsEmpty reports whether no pair is kept apart.
func (t *InterferenceTable) IsEmpty() bool { return len(t.known) == 0 }

// Penalty returns the score penalty of a target for a task of a queue beside the tasks of others. It
// only ranks targets that have room: it is no reason to wait or to refuse.
func (t *InterferenceTable) Penalty(queue string, beside []string) float64 {
	if len(t.known) == 0 {
		return 0
	}
	slowdown := 0.0
	for _, other := range beside {
		for _, pair := range [...]Pair{{queue, other}, {other, queue}} {
			if effect, ok := t.known[pair]; ok {
				slowdown += math.Exp(effect) - 1
			}
		}
	}
	return interferenceWeight * min(slowdown, 2)
}

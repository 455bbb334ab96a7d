// Package compare runs the same days of the users' bench with two versions of the sources
// and compares the results in pairs of equal day and seed. Days with other seeds differ by
// more than most changes of a policy do; the difference within a pair does not contain
// that spread.
package compare

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Outcome is the result of one run of a day.
type Outcome struct {
	// Figures are the day's worth and its parts, by name and in the order of Names.
	Figures map[string]float64
	Names   []string
	// BrokenRules are the rules that the run has broken; a run that was given up counts as
	// a broken rule too.
	BrokenRules []string
}

// Pair holds the outcomes of one day and seed.
type Pair struct {
	Day      string
	Seed     uint64
	Old, New *Outcome
}

// Estimate is a mean difference with its 95 % confidence interval of Mean ± HalfWidth.
// HalfWidth is infinite for a single pair.
type Estimate struct {
	Pairs            int
	OldMean, NewMean float64
	Mean, HalfWidth  float64
}

// confidence is the probability that the interval of an Estimate contains the true mean.
const confidence = 0.95

// estimate compares one figure over pairs.
func estimate(pairs []Pair, figure string) Estimate {
	var before, after, differences []float64
	for _, p := range pairs {
		o, n := p.Old.Figures[figure], p.New.Figures[figure]
		before, after = append(before, o), append(after, n)
		differences = append(differences, n-o)
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	e := Estimate{
		Pairs:     len(pairs),
		OldMean:   stat.Mean(before, nil),
		NewMean:   stat.Mean(after, nil),
		Mean:      mean,
		HalfWidth: math.Inf(1),
	}
	if n := len(pairs); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
		e.HalfWidth = t.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(n))
	}
	return e
}

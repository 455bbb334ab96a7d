package compare

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

func outcome(worth float64, broken ...string) *Outcome {
	return &Outcome{Figures: map[string]float64{"worth": worth}, Names: []string{"worth"}, BrokenRules: broken}
}

func TestEstimateUsesDifferencesWithinPairs(t *testing.T) {
	pairs := []Pair{
		{Day: "d", Seed: 1, Old: outcome(0.5), New: outcome(0.51)},
		{Day: "d", Seed: 2, Old: outcome(0.9), New: outcome(0.92)},
		{Day: "d", Seed: 3, Old: outcome(0.7), New: outcome(0.73)},
	}
	e := estimate(pairs, "worth")
	// The differences are 0.01, 0.02 and 0.03: deviation 0.01, and the quantile of Student's
	// t with 2 degrees of freedom is 4.303.
	if math.Abs(e.Mean-0.02) > 1e-9 || math.Abs(e.HalfWidth-4.303*0.01/math.Sqrt(3)) > 1e-5 {
		t.Errorf("mean %v ± %v", e.Mean, e.HalfWidth)
	}
	if math.Abs(e.OldMean-0.7) > 1e-9 || math.Abs(e.NewMean-0.72) > 1e-9 {
		t.Errorf("means %v and %v", e.OldMean, e.NewMean)
	}
}

func TestPrintNamesBrokenRulesWithTheirSeed(t *testing.T) {
	var out strings.Builder
	pairs := []Pair{{Day: "d", Seed: 7, Old: outcome(0.5), New: outcome(0.6, "TWICE")}}
	if err := Print(&out, pairs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| d | worth | 1 | 0.5000 | 0.6000 | +0.1000 | one pair |", "Broken by new on d with seed 7: [TWICE]"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, &out)
		}
	}
}

// testOptions has runs that write their worth, the seed, to the report. Those that fail are
// listed by fails.
func testOptions(t *testing.T, played *atomic.Int64, fails func(Run) bool) Options {
	return Options{
		Old:       Tree{Name: "old"},
		New:       Tree{Name: "new"},
		Days:      []string{"a", "b"},
		Seeds:     []uint64{1, 2, 3},
		Jobs:      2,
		ReportDir: t.TempDir(),
		Build:     func(context.Context, Tree) error { return nil },
		Play: func(_ context.Context, r Run) error {
			if fails(r) {
				return errors.New("the bench failed")
			}
			played.Add(1)
			return os.WriteFile(r.ReportPath, fmt.Append(nil, r.Seed), 0o600)
		},
		ReadOutcome: func(path string) (*Outcome, error) {
			b, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			worth, err := strconv.ParseFloat(string(b), 64)
			return outcome(worth), err
		},
		Progress: func(int, int, Run) {},
	}
}

func TestVersionsOfOneNameAreRefused(t *testing.T) {
	var played atomic.Int64
	o := testOptions(t, &played, func(Run) bool { return false })
	o.New = o.Old
	if _, err := Do(t.Context(), o); err == nil || played.Load() > 0 {
		t.Errorf("%d runs, error %v", played.Load(), err)
	}
}

func TestRunsWithAReportAreNotRepeated(t *testing.T) {
	var played atomic.Int64
	failing := true
	o := testOptions(t, &played, func(r Run) bool { return failing && r.Day == "b" && r.Tree.Name == "new" && r.Seed == 3 })
	if _, err := Do(t.Context(), o); err == nil || !strings.Contains(err.Error(), "new, b, seed 3") {
		t.Errorf("error %v", err)
	}
	failing = false
	pairs, err := Do(t.Context(), o)
	if err != nil || len(pairs) != 6 || played.Load() != 12 {
		t.Errorf("%d pairs after %d runs, error %v", len(pairs), played.Load(), err)
	}
	for _, p := range pairs {
		if p.New.Figures["worth"] != float64(p.Seed) {
			t.Errorf("pair %+v", p)
		}
	}
}

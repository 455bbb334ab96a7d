package compare

import (
	"fmt"
	"io"
	"math"
	"slices"
)

// minShownMean is the mean of a figure's two versions below which its row is left out.
const minShownMean = 0.0005

// Print writes the comparison as Markdown: a table for each day, one over all days, and
// the runs that have broken a rule.
func Print(w io.Writer, pairs []Pair) error {
	out := &printer{w: w}
	var days []string
	for _, p := range pairs {
		if !slices.Contains(days, p.Day) {
			days = append(days, p.Day)
		}
	}
	out.printf("| day | figure | pairs | old | new | difference | 95 %% interval |\n|---|---|---|---|---|---|---|\n")
	for _, day := range days {
		out.rows(day, slices.DeleteFunc(slices.Clone(pairs), func(p Pair) bool { return p.Day != day }))
	}
	if len(days) > 1 {
		out.rows("all", pairs)
	}
	out.brokenRules(pairs)
	return out.err
}

// printer writes until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) rows(day string, pairs []Pair) {
	for _, figure := range pairs[0].New.Names {
		e := estimate(pairs, figure)
		if math.Max(math.Abs(e.OldMean), math.Abs(e.NewMean)) < minShownMean {
			continue
		}
		p.printf("| %s | %s | %d | %.4f | %.4f | %+.4f | %s |\n",
			day, figure, e.Pairs, e.OldMean, e.NewMean, e.Mean, e.interval())
	}
}

func (e Estimate) interval() string {
	if math.IsInf(e.HalfWidth, 0) || math.IsNaN(e.HalfWidth) {
		return "one pair"
	}
	return fmt.Sprintf("%+.4f to %+.4f", e.Mean-e.HalfWidth, e.Mean+e.HalfWidth)
}

func (p *printer) brokenRules(pairs []Pair) {
	for _, pair := range pairs {
		for _, version := range []struct {
			name    string
			outcome *Outcome
		}{{"old", pair.Old}, {"new", pair.New}} {
			if len(version.outcome.BrokenRules) > 0 {
				p.printf("\nBroken by %s on %s with seed %d: %v\n", version.name, pair.Day, pair.Seed, version.outcome.BrokenRules)
			}
		}
	}
}

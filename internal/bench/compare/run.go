package compare

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"
)

// Tree is one version of the sources, in a directory of its own. The names of the two trees
// of a comparison differ.
type Tree struct{ Name, Dir string }

// Run is one run of a day with one version.
type Run struct {
	Tree Tree
	Day  string
	Seed uint64
	// ReportPath is where the bench writes the report.
	ReportPath string
}

// Options select the runs.
type Options struct {
	Old, New Tree
	Days     []string
	Seeds    []uint64
	// Jobs is the number of runs at a time.
	Jobs int
	// ReportDir keeps the reports. Runs whose report exists are not repeated.
	ReportDir string
	// Build builds the sources of a tree. Play runs a day, and ReadOutcome reads its report.
	Build       func(context.Context, Tree) error
	Play        func(context.Context, Run) error
	ReadOutcome func(path string) (*Outcome, error)
	// Progress is called after each run with the number of completed and of all runs.
	Progress func(done, all int, run Run)
}

// Do runs all days and seeds with both versions and returns the pairs in the order of the
// options.
func Do(ctx context.Context, o Options) ([]Pair, error) {
	if o.Old.Name == o.New.Name {
		return nil, eris.Errorf("both versions have the name %q", o.Old.Name)
	}
	if err := os.MkdirAll(o.ReportDir, 0o755); err != nil {
		return nil, eris.Wrap(err, "create directory of reports")
	}
	if err := o.playMissing(ctx); err != nil {
		return nil, err
	}
	var pairs []Pair
	for _, day := range o.Days {
		for _, seed := range o.Seeds {
			p := Pair{Day: day, Seed: seed}
			var err error
			if p.Old, err = o.ReadOutcome(o.run(o.Old, day, seed).ReportPath); err != nil {
				return nil, err
			}
			if p.New, err = o.ReadOutcome(o.run(o.New, day, seed).ReportPath); err != nil {
				return nil, err
			}
			pairs = append(pairs, p)
		}
	}
	return pairs, nil
}

// run returns the run of a day, named by its tree in the directory of reports.
func (o *Options) run(t Tree, day string, seed uint64) Run {
	name := fmt.Sprintf("%s-%s-%d.json", t.Name, filepath.Base(day), seed)
	return Run{Tree: t, Day: day, Seed: seed, ReportPath: filepath.Join(o.ReportDir, name)}
}

// missing returns the runs without a report.
func (o *Options) missing() []Run {
	var runs []Run
	for _, day := range o.Days {
		for _, seed := range o.Seeds {
			for _, t := range []Tree{o.Old, o.New} {
				r := o.run(t, day, seed)
				if _, err := o.ReadOutcome(r.ReportPath); err != nil {
					runs = append(runs, r)
				}
			}
		}
	}
	return runs
}

// playMissing plays the missing runs, Jobs at a time. It stops at the first error.
func (o *Options) playMissing(ctx context.Context) error {
	runs := o.missing()
	built := make(map[Tree]bool)
	for _, r := range runs {
		if built[r.Tree] {
			continue
		}
		if err := o.Build(ctx, r.Tree); err != nil {
			return err
		}
		built[r.Tree] = true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pending := make(chan Run)
	var workers sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range max(o.Jobs, 1) {
		workers.Go(func() {
			for r := range pending {
				if err := o.Play(ctx, r); err != nil {
					cancel(eris.Wrapf(err, "%s, %s, seed %d", r.Tree.Name, r.Day, r.Seed))
					continue
				}
				mu.Lock()
				done++
				o.Progress(done, len(runs), r)
				mu.Unlock()
			}
		})
	}
	for _, r := range runs {
		if ctx.Err() != nil {
			break
		}
		pending <- r
	}
	close(pending)
	workers.Wait()
	return context.Cause(ctx)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/bench/compare"
	"github.com/rosemarybay/rosemarybay/platform/report"
)

// standardDays are the days with trouble of each site of the users.
const standardDays = "trouble-1,scale-1,trouble-2,scale-2,trouble-3"

// runCompare runs days of the users' bench with two versions of the sources.
func runCompare(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	flags.Usage = func() {
		_, _ = fmt.Fprintln(os.Stderr, "usage: rosemarybay-bench compare [FLAGS] OLD NEW SITE")
		flags.PrintDefaults()
	}
	program := flags.String("bench", "", "path of the users' bench")
	days := flags.String("days", standardDays, "days, separated by commas")
	seeds := flags.String("seeds", "1-8", "seeds, as numbers and ranges separated by commas")
	jobs := flags.Int("jobs", 3, "runs at a time")
	reports := flags.String("reports", "", "directory for reports; existing ones are used")
	why := flags.String("why", "", "reason, recorded with each run")
	processor := flags.Bool("cpu", false, "charge processor time")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if flags.NArg() != 3 || *program == "" || *why == "" || *reports == "" {
		flags.Usage()
		return exitUsage
	}
	seedList, err := parseSeeds(*seeds)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench:", err)
		return exitUsage
	}
	paths, err := absolute(*program, *reports, flags.Arg(0), flags.Arg(1), flags.Arg(2))
	if err != nil {
		return exitStatus(err)
	}
	programPath, reportDir, oldDir, newDir, site := paths[0], paths[1], paths[2], paths[3], paths[4]
	bench := &report.Bench{Program: programPath, Site: site, Why: *why, ChargeProcessor: *processor}
	pairs, err := compare.Do(ctx, compare.Options{
		Old:         compare.Tree{Name: filepath.Base(oldDir), Dir: oldDir},
		New:         compare.Tree{Name: filepath.Base(newDir), Dir: newDir},
		Days:        strings.Split(*days, ","),
		Seeds:       seedList,
		Jobs:        *jobs,
		ReportDir:   reportDir,
		Build:       bench.Build,
		Play:        bench.Play,
		ReadOutcome: report.ReadOutcome,
		Progress: func(done, all int, r compare.Run) {
			_, _ = fmt.Fprintf(os.Stderr, "%d of %d: %s %s seed %d\n", done, all, r.Tree.Name, r.Day, r.Seed)
		},
	})
	if err == nil {
		err = compare.Print(os.Stdout, pairs)
	}
	return exitStatus(err)
}

// absolute returns the absolute form of paths, since the bench runs in another directory.
func absolute(paths ...string) ([]string, error) {
	var out []string
	for _, path := range paths {
		abs, err := filepath.Abs(path)
		if err != nil {
			return nil, eris.Wrap(err, "resolve path")
		}
		out = append(out, abs)
	}
	return out, nil
}

// maxSeeds bounds the seeds of one comparison.
const maxSeeds = 1000

// parseSeeds parses numbers and ranges such as "1-8,12".
func parseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, err := strconv.ParseUint(first, 10, 32)
		if err != nil {
			return nil, eris.Errorf("seed %q is not a number or a range of numbers", part)
		}
		to, err := strconv.ParseUint(last, 10, 32)
		if err != nil || to < from || to-from >= maxSeeds {
			return nil, eris.Errorf("seeds %q are not a range of at most %d numbers", part, maxSeeds)
		}
		for seed := from; seed <= to; seed++ {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

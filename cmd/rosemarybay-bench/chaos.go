package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/rosemarybay/rosemarybay/internal/bench/chaos"
)

const (
	defaultChaosJobs = 10_000
	defaultChaosSeed = 1
)

// runChaos runs jobs while random faults are injected.
func runChaos(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("chaos", flag.ContinueOnError)
	jobs := flags.Int("jobs", defaultChaosJobs, "number of jobs")
	seed := flags.Int64("seed", defaultChaosSeed, "seed of jobs and faults")
	if err := flags.Parse(args); err != nil || *jobs <= 0 || flags.NArg() > 0 {
		return exitUsage
	}
	ok, err := chaos.Run(ctx, chaos.Options{Jobs: *jobs, Seed: *seed}, os.Stdout)
	if err == nil && !ok {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench: a promise was broken")
		return exitFailed
	}
	return exitStatus(err)
}

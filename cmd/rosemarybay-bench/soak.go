package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/soak"
)

// Defaults of the soak test: ten seeds, one after the other, each with a few dozen
// processes.
const (
	soakSeedCount     = 10
	soakDuration      = 8 * time.Second
	soakEntryCount    = 3
	soakAgentCount    = 9
	soakJobsPerSecond = 40
)

func runSoak(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	first := flags.Uint64("seed", uint64(time.Now().Unix()), "first seed")
	count := flags.Int("seeds", soakSeedCount, "number of seeds, one after the other")
	o := soak.Options{}
	flags.DurationVar(&o.Duration, "for", soakDuration, "time with faults for each seed")
	flags.IntVar(&o.Entries, "entries", soakEntryCount, "entries")
	flags.IntVar(&o.Agents, "agents", soakAgentCount, "agents, each beside a target")
	flags.Float64Var(&o.Rate, "rate", soakJobsPerSecond, "jobs a second")
	flags.StringVar(&o.Dir, "dir", "", "keep settings and logs in a `DIR`; for a single seed")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	failed := 0
	for n := range *count {
		o.Seed = *first + uint64(n)
		found, err := soak.Run(ctx, o, os.Stdout)
		if err != nil {
			return exitStatus(err)
		}
		if len(found) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with findings\n", *count, failed)
	if failed > 0 {
		return exitFailed
	}
	return exitOK
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/rollout"
)

func runRollout(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("rollout", flag.ContinueOnError)
	var o rollout.Options
	flags.IntVar(&o.Rounds, "rounds", 50, "`number` of times a data centre is taken out and back")
	flags.Int64Var(&o.Seed, "seed", 1, "`seed` of the load")
	flags.DurationVar(&o.Hold, "hold", 500*time.Millisecond, "`time` a data centre stays out, and then in")
	flags.DurationVar(&o.Outage, "outage", 0, "`length` of a store outage after the rounds, measured against up to 10 s before and after it")
	flags.Float64Var(&o.Load, "load", 0, "offered load as a `share` of all slots; 0 keeps all slots busy")
	fault := flags.String("fault", "", "`fault` in each round: store_down, store_slow, lose_answers, entry_paused or partition")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		return exitUsage
	}
	o.Fault = rollout.Fault(*fault)
	if err := o.Validate(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench:", err)
		return exitUsage
	}
	ok, err := rollout.Run(ctx, o, os.Stdout)
	if err == nil && !ok {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench: a target was missed")
		return exitFailed
	}
	return status(err)
}

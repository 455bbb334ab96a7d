package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/load"
	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Defaults of the load command.
const (
	defaultLoad        = 0.8
	defaultDuration    = 20 * time.Second
	defaultWarmUp      = 2 * time.Second
	defaultFaultFactor = 10
)

// loadFlags is the parsed command line of load.
type loadFlags struct {
	options load.Options
	json    bool
	compare string
}

func parseLoadFlags(args []string) (*loadFlags, bool) {
	c := &loadFlags{}
	o := &c.options
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	profile := flags.String("profile", workload.Fundi.Name, "fleet and jobs of `USER`: fundi or cekici")
	fault := flags.String("fault", "", "`MODE` of one target: fail_all, slow or hang")
	flags.Float64Var(&o.Load, "load", defaultLoad, "offered work as a `SHARE` of all slots")
	flags.DurationVar(&o.Duration, "for", defaultDuration, "time in which jobs arrive")
	flags.DurationVar(&o.WarmUp, "warm", defaultWarmUp, "time at the start that is not measured")
	flags.Int64Var(&o.Seed, "seed", 1, "seed of arrivals and run times")
	flags.BoolVar(&o.Bursts, "bursts", false, "let jobs arrive in bursts")
	flags.BoolVar(&o.Repeatable, "repeatable", false, "mark all tasks as repeatable")
	flags.Float64Var(&o.FaultFactor, "fault-factor", defaultFaultFactor, "how many times slower a slow target is")
	flags.BoolVar(&c.json, "json", false, "print the report as JSON")
	flags.StringVar(&c.compare, "compare", "", "print ratios to the JSON report in `FILE`")
	if flags.Parse(args) != nil || flags.NArg() > 0 {
		return nil, false
	}
	switch *profile {
	case workload.Fundi.Name:
		o.Profile = workload.Fundi
	case workload.Cekici.Name:
		o.Profile = workload.Cekici
	default:
		return nil, false
	}
	o.Fault = standintarget.Mode(*fault)
	switch o.Fault {
	case standintarget.OK, standintarget.FailAll, standintarget.Slow, standintarget.Hang:
	default:
		return nil, false
	}
	return c, o.Load > 0 && o.WarmUp >= 0 && o.Duration > o.WarmUp && o.FaultFactor > 0
}

func runLoad(ctx context.Context, args []string) int {
	c, ok := parseLoadFlags(args)
	if !ok {
		_, _ = fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	var earlier *load.Report
	if c.compare != "" {
		var err error
		if earlier, err = load.ReadReport(c.compare); err != nil {
			return exitStatus(err)
		}
	}
	report, err := load.Run(ctx, c.options)
	if err != nil {
		return exitStatus(err)
	}
	if c.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return exitStatus(encoder.Encode(report))
	}
	report.WriteText(os.Stdout, earlier)
	return exitOK
}

// Command rosemarybay-bench runs benchmarks and fault tests against a fleet of real
// processes on loopback, with stand-ins for the platform's store and the targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarybay/rosemarybay/internal/bench/demo"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/replay"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: rosemarybay-bench COMMAND

  demo          run a few hundred ticket-desk jobs and print a table
  roundtrip     measure what the system adds to a call of an idle target
  load [FLAGS]  drive a fleet with jobs at a rate; -h lists the flags
  chaos [-jobs N] [-seed N]
                run jobs while nodes are killed, paused, stopped and cut off
  replay FILE.. replay traces and check their outcomes
  soak [FLAGS]  run jobs on the users' platform's stand-ins under random faults
  budget        measure the control cost of an idle fleet
  restart       restart a third of an entry's agents at once under load
  slopes        measure what one more link, task, change and so on costs
  bound SITE REPORT..
                what could have been served on days of the users' bench
  compare [FLAGS] OLD NEW SITE
                run days of the users' bench with two versions in pairs; -h lists the flags
`

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) == 0 {
		_, _ = fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	if args[0] == fleet.NodeCommand {
		return daemon.Main(args[1:], os.Stderr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch args[0] {
	case "demo":
		return runDemo(ctx)
	case "roundtrip":
		return exitStatus(demo.RoundTrip(ctx, os.Stdout))
	case "load":
		return runLoad(ctx, args[1:])
	case "chaos":
		return runChaos(ctx, args[1:])
	case "replay":
		return runReplay(ctx, args[1:])
	case "soak":
		return runSoak(ctx, args[1:])
	case "budget":
		return runBudget(ctx, args[1:])
	case "restart":
		return runRestart(ctx, args[1:])
	case "bound":
		return runBound(args[1:])
	case "compare":
		return runCompare(ctx, args[1:])
	case "slopes":
		return runSlopes(ctx, args[1:])
	default:
		_, _ = fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
}

func exitStatus(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench:", err)
		return exitFailed
	}
	return exitOK
}

func runDemo(ctx context.Context) int {
	ok, err := demo.Run(ctx, os.Stdout)
	if err == nil && !ok {
		_, _ = fmt.Fprintln(os.Stderr, "rosemarybay-bench: a promise was broken")
		return exitFailed
	}
	return exitStatus(err)
}

func runReplay(ctx context.Context, paths []string) int {
	if len(paths) == 0 {
		_, _ = fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	worst := exitOK
	for _, path := range paths {
		worst = max(worst, replay.File(ctx, path, os.Stdout, os.Stderr))
	}
	return worst
}

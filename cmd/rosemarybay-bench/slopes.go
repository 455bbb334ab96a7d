package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/slopes"
)

// defaultHeartbeat is the interval at which agents ask for permits.
const defaultHeartbeat = time.Second

const resultPerm = 0o644

// runSlopes measures slopes. With -out the result replaces the same units in
// the file and keeps the others, so that a run can be taken in parts.
func runSlopes(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("slopes", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	out := flags.String("out", "", "write JSON to `FILE`, merged with what it holds")
	only := flags.String("only", "", "measure one of: "+strings.Join(slopes.Names(), ", "))
	seed := flags.Int64("seed", 1, "seed of the loads")
	heartbeat := flags.Duration("heartbeat", defaultHeartbeat, "interval of light agents' heartbeats")
	table := flags.String("table", "", "measure nothing; print the page's table of `FILE`, written by -out")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		return exitUsage
	}
	if *table != "" {
		return status(printTable(*table))
	}
	result, err := slopes.Run(ctx, slopes.Options{Only: *only, Seed: *seed, Heartbeat: *heartbeat})
	if err != nil {
		return status(err)
	}
	if *asJSON {
		err = result.WriteJSON(os.Stdout)
	} else {
		err = result.WriteTable(os.Stdout)
	}
	if err == nil && *out != "" {
		err = mergeSlopes(*out, result)
	}
	return status(err)
}

// defaultRestartAgents are the light agents of the restart measurement.
const defaultRestartAgents = 900

// runRestart restarts a third of an entry's agents at once.
func runRestart(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("restart", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	agents := flags.Int("agents", defaultRestartAgents, "number of light agents")
	heartbeat := flags.Duration("heartbeat", defaultHeartbeat, "interval of light agents' heartbeats")
	rate := flags.Int("handshake-rate", 0, "handshakes a second at the entry; 0 keeps its default")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		return exitUsage
	}
	result, err := slopes.MeasureRestart(ctx, *agents, slopes.Options{Heartbeat: *heartbeat, HandshakeRate: *rate})
	if err != nil {
		return status(err)
	}
	if *asJSON {
		return status(json.NewEncoder(os.Stdout).Encode(result))
	}
	return status(result.Write(os.Stdout))
}

// defaultBudgetTargets is the number of targets of today's fleets.
const defaultBudgetTargets = 10

// runBudget measures the control cost of an idle fleet of real processes.
func runBudget(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("budget", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	targets := flags.Int("targets", defaultBudgetTargets, "number of targets")
	links := flags.Int("links", 0, "entries an agent links with; 0 for all")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		return exitUsage
	}
	spends, err := slopes.MeasureBudget(ctx, *targets, *links)
	if err != nil {
		return status(err)
	}
	if *asJSON {
		return status(json.NewEncoder(os.Stdout).Encode(spends))
	}
	return status(slopes.WriteSpend(os.Stdout, spends))
}

func printTable(path string) error {
	result, err := readSlopes(path)
	if err != nil {
		return err
	}
	return result.WriteMarkdown(os.Stdout)
}

func readSlopes(path string) (*slopes.Result, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	result := &slopes.Result{}
	if err := json.Unmarshal(b, result); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return result, nil
}

func mergeSlopes(path string, next *slopes.Result) error {
	result, err := readSlopes(path)
	if errors.Is(err, fs.ErrNotExist) {
		result, err = &slopes.Result{}, nil
	}
	if err != nil {
		return err
	}
	result.Merge(next)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, resultPerm)
	if err != nil {
		return err
	}
	if err := result.WriteJSON(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

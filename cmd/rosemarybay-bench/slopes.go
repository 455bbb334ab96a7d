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

// defaultHeartbeat is the default interval at which light agents, which the bench process
// simulates, request permits.
const defaultHeartbeat = time.Second

const resultFileMode = 0o644

// runSlopes measures slopes, the marginal cost of one more link, task or other unit.
// With -out the result replaces the same units in the file and keeps the others, so that
// the units can be measured in separate runs.
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
		return exitStatus(printMarkdownTable(*table))
	}
	result, err := slopes.Run(ctx, slopes.Options{Only: *only, Seed: *seed, Heartbeat: *heartbeat})
	if err != nil {
		return exitStatus(err)
	}
	if *asJSON {
		err = result.WriteJSON(os.Stdout)
	} else {
		err = result.WriteTable(os.Stdout)
	}
	if err == nil && *out != "" {
		err = mergeSlopes(*out, result)
	}
	return exitStatus(err)
}

// defaultRestartAgents is the default number of light agents in the restart measurement.
const defaultRestartAgents = 900

// runRestart measures the effect on an entry under load when a third of its agents restart
// at once.
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
		return exitStatus(err)
	}
	if *asJSON {
		return exitStatus(json.NewEncoder(os.Stdout).Encode(result))
	}
	return exitStatus(result.Write(os.Stdout))
}

// defaultBudgetTargets is the number of targets in the users' current fleets.
const defaultBudgetTargets = 10

// runBudget measures the resource usage of an idle fleet of real processes.
func runBudget(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("budget", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print JSON")
	targets := flags.Int("targets", defaultBudgetTargets, "number of targets")
	links := flags.Int("links", 0, "entries an agent links with; 0 for all")
	if err := flags.Parse(args); err != nil || flags.NArg() > 0 {
		return exitUsage
	}
	costs, err := slopes.MeasureBudget(ctx, *targets, *links)
	if err != nil {
		return exitStatus(err)
	}
	if *asJSON {
		return exitStatus(json.NewEncoder(os.Stdout).Encode(costs))
	}
	return exitStatus(slopes.WriteRoleCosts(os.Stdout, costs))
}

func printMarkdownTable(path string) error {
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
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, resultFileMode)
	if err != nil {
		return err
	}
	if err := result.WriteJSON(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

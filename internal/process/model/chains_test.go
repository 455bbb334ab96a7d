package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The choices of drawChain. rapid prefers the first ones.
var (
	firstActions = []action{killEntry, killEntry, pauseEntry, killEntry, cutLink, resetLinks}
	nextActions  = []action{killAgent, pauseAgent, killAgent, pauseAgentAgain, rejectStops, killAgent, muteTarget, pauseEntry, resetLinks}
	chainDelays  = []time.Duration{
		0, 350 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 450 * time.Millisecond,
		20 * time.Millisecond, 800 * time.Millisecond,
	}
	chainDurations = []time.Duration{
		400 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond, 60 * time.Millisecond,
		1500 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond,
	}
)

const (
	// faultsInChain is the number of faults in a chain, minChains and maxChains the bounds of the
	// chains in a schedule.
	faultsInChain = 3
	minChains     = 3
	maxChains     = 6
	// stopsRejected is how long a target rejects stop orders during some chains.
	stopsRejected = 3 * time.Second
)

// drawChains draws chains of faults of one entry and one agent: the first one concerns the entry,
// and each of the others follows soon after the beginning or the end of the one before it.
func drawChains(t *rapid.T) []step {
	var schedule []step
	for _, chain := range rapid.SliceOfN(rapid.Custom(drawChain), minChains, maxChains).Draw(t, "chains") {
		schedule = append(schedule, chain...)
	}
	return schedule
}

func drawChain(t *rapid.T) []step {
	at := time.Duration(rapid.IntRange(0, int(submitPhase/time.Millisecond)).Draw(t, "at")) * time.Millisecond
	agent := rapid.IntRange(0, agents-1).Draw(t, "agent")
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	var chain []step
	if rapid.Bool().Draw(t, "stops rejected") {
		chain = append(chain, step{at: at, agent: agent, entry: entry, action: rejectStops, calls: stopCalls, duration: stopsRejected})
	}
	actions := firstActions
	for range faultsInChain {
		s := step{
			at: at, agent: agent, entry: entry, calls: allKinds,
			action:   rapid.SampledFrom(actions).Draw(t, "action"),
			duration: rapid.SampledFrom(chainDurations).Draw(t, "length"),
		}
		switch s.action {
		case pauseAgentAgain:
			s.seed = rapid.Uint64Range(0, uint64(time.Second)).Draw(t, "seed")
		case rejectStops:
			s.calls = stopCalls
		}
		chain = append(chain, s)
		at += rapid.SampledFrom(chainDelays).Draw(t, "delay")
		if len(chain) > 1 && rapid.Bool().Draw(t, "after its end") {
			at += s.duration
		}
		actions = nextActions
	}
	return chain
}

// Three failures in a row of the same entry and agent: a bound that holds for each pair of
// failures hides one that is missing.
func TestRandomSchedulesOfChainedFaults(t *testing.T) {
	checkSchedules(t, drawChains, func(*rapid.T) workload { return workload{slowdown: pairedSlowdown} })
}

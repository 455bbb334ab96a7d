package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// resetActions are the choices of drawResets. rapid prefers the first ones.
var resetActions = []action{resetCallersAndLinks, resetCallers, resetCallersAndLinks, resetLinks}

// maxResets bounds the resets in a schedule.
const maxResets = 4

// drawResets draws resets of the connections of an entry's callers and agents.
func drawResets(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			at:     time.Duration(rapid.IntRange(0, int(submitPhase/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			action: rapid.SampledFrom(resetActions).Draw(t, "reset"),
			agent:  rapid.IntRange(0, agents-1).Draw(t, "agent"),
			entry:  rapid.IntRange(0, entries-1).Draw(t, "entry"),
		}
	}), 1, maxResets).Draw(t, "resets")
}

func resent(*rapid.T) workload { return workload{slowdown: pairedSlowdown, resent: true} }

// The connections of an entry's callers and agents are reset. A caller sends its job to another
// entry at once, while the first entry can't reach the agents that run it: the overlap has the
// documented bound.
func TestRandomSchedulesOfResetsAndResends(t *testing.T) { checkSchedules(t, drawResets, resent) }

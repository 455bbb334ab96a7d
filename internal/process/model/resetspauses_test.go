package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The choices of drawResetsBesidePauses. rapid prefers the first ones.
var (
	besideResets = []action{pauseAgent, pauseEntry, pauseAgentAgain, cutLink, killAgent, rejectStops}
	// shortPauses are not longer than the lease of an entry.
	shortPauses = []time.Duration{
		60 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	}
)

// drawResetsBesidePauses draws resets, each beside a short fault of an agent or the entry.
func drawResetsBesidePauses(t *rapid.T) []step {
	var schedule []step
	for _, reset := range drawResets(t) {
		other := reset
		other.action = rapid.SampledFrom(besideResets).Draw(t, "beside")
		other.duration = rapid.SampledFrom(shortPauses).Draw(t, "length")
		other.calls = allKinds
		if other.action == rejectStops {
			other.calls = stopCalls
		}
		other.at -= rapid.SampledFrom(shortPauses).Draw(t, "before") - minPause
		schedule = append(schedule, reset, other)
	}
	return schedule
}

// Callers resend at once after a reset beside an agent that is paused with frames in its buffers,
// an entry that is paused, a cut link, or a target that rejects stop orders for a moment: a run
// must not go on for longer than the documented bound beside the next one.
func TestRandomSchedulesOfResetsBesidePauses(t *testing.T) {
	checkSchedules(t, drawResetsBesidePauses, resent)
}

// Two runs of one task never overlap, not even after a reset.
func TestRandomSchedulesOfResetsWithoutAnyOverlap(t *testing.T) {
	checkSchedules(t, drawResets, func(*rapid.T) workload { return workload{slowdown: pairedSlowdown} })
}

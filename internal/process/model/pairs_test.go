package model

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The choices of drawPairs. rapid prefers the first ones.
var (
	pairedActions = []action{killAgent, killEntry, pauseEntry, pauseAgent, cutLink}
	// pairDelays are the times between the two faults of a pair, and between the end of the first
	// one and the second one.
	pairDelays    = []time.Duration{0, 350 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, 800 * time.Millisecond}
	pairDurations = []time.Duration{500 * time.Millisecond, 3500 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond, 2500 * time.Millisecond}
)

// pairedSlowdown makes many runs longer than callerRetry.
const pairedSlowdown = 3

// maxPairs bounds the pairs of faults in a schedule.
const maxPairs = 4

// drawPairs draws pairs of faults of one entry and one agent, the second soon after the
// beginning or the end of the first.
func drawPairs(t *rapid.T) []step {
	draw := func(t *rapid.T) []step {
		first := step{
			at:       time.Duration(rapid.IntRange(0, int(submitPhase/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			action:   rapid.SampledFrom(pairedActions).Draw(t, "first"),
			agent:    rapid.IntRange(0, agents-1).Draw(t, "agent"),
			entry:    rapid.IntRange(0, entries-1).Draw(t, "entry"),
			duration: rapid.SampledFrom(pairDurations).Draw(t, "length of the first"),
			calls:    allKinds,
		}
		second := first
		second.action = rapid.SampledFrom(pairedActions).Draw(t, "second")
		second.duration = rapid.SampledFrom(pairDurations).Draw(t, "length of the second")
		second.at += rapid.SampledFrom(pairDelays).Draw(t, "delay")
		if rapid.Bool().Draw(t, "after its end") {
			second.at += first.duration
		}
		return []step{first, second}
	}
	var schedule []step
	for _, pair := range rapid.SliceOfN(rapid.Custom(draw), 1, maxPairs).Draw(t, "pairs") {
		schedule = append(schedule, pair...)
	}
	return schedule
}

// Two faults follow each other: a caller that has left is served by another entry while an entry
// that was paused, or a second process of an agent, goes on with its job.
func TestRandomSchedulesOfPairedFaults(t *testing.T) {
	checkSchedules(t, drawPairs, func(*rapid.T) workload { return workload{slowdown: pairedSlowdown} })
}

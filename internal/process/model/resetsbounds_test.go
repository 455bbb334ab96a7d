package model

import (
	"strings"
	"testing"
	"time"
)

// maxOverlapOfUnstoppableRun is the bound that follows from docs/design/platform.md for a caller
// that sends its job again at once after a reset, whatever prevents that its runs are stopped: the
// entry requests the stop at most resetDetection after the reset, and the lease at the target ends
// 1.02 x runLimit after that. An entry that stands still requests nothing, but its agents stop its
// runs sooner, 500 + 50 ms after its last echo.
const maxOverlapOfUnstoppableRun = resetDetection + 1020*time.Millisecond

// resetDelay is the time between another fault and the reset of callers' connections.
const resetDelay = 10 * time.Millisecond

// faultsBeforeReset are the faults of one entry, one agent or one target before a reset. The steps
// of allAgents are applied to each agent.
var faultsBeforeReset = []struct {
	name      string
	fault     step
	allAgents bool
}{
	{name: "stop orders of a target rejected for 3 s", fault: step{action: rejectStops, calls: stopCalls, duration: 3 * time.Second}},
	{name: "all stop orders rejected for 3 s", fault: step{action: rejectStops, calls: stopCalls, duration: 3 * time.Second}, allAgents: true},
	{name: "agent paused for 2 s", fault: step{action: pauseAgent, duration: 2 * time.Second}},
	{name: "agent paused for 500 ms", fault: step{action: pauseAgent, duration: 500 * time.Millisecond}},
	{name: "entry paused for 490 ms", fault: step{action: pauseEntry, duration: 490 * time.Millisecond}},
	{name: "link cut for 500 ms", fault: step{action: cutLink, duration: 500 * time.Millisecond}},
}

// A caller whose connection is reset just after one other fault sends its job again at once: its
// runs must not go on beside the next ones for longer than the lease of a run that can't be stopped.
func TestOverlapAfterResetAndOneOtherFaultEndsWithLeaseOfStoppedRun(t *testing.T) {
	for _, f := range faultsBeforeReset {
		var longest overlap
		for at := 1500 * time.Millisecond; at < 2*time.Second; at += 170 * time.Millisecond {
			for n := range agents * entries {
				if f.allAgents && n%agents > 0 {
					continue
				}
				schedule := faultBeforeReset(f.fault, at, n%agents, n/agents, f.allAgents)
				violations, o := runResent(t, schedule)
				if len(violations) > 0 {
					t.Errorf("%s: %v\n%s", f.name, schedule, strings.Join(violations, "\n"))
				}
				if o.length() > longest.length() {
					longest = o
				}
			}
		}
		if longest.length() == 0 {
			t.Errorf("%s: no overlap, so that nothing was checked", f.name)
		}
		t.Logf("%s: longest overlap %v, bound %v", f.name, longest.length(), maxOverlapOfUnstoppableRun)
	}
}

// faultBeforeReset returns a schedule of a fault and the reset after it.
func faultBeforeReset(fault step, at time.Duration, agent, entry int, allAgents bool) []step {
	schedule := []step{{at: at + resetDelay, action: resetCallers, entry: entry}}
	for n := range agents {
		if n == agent || allAgents {
			fault.at, fault.agent, fault.entry = at, n, entry
			schedule = append(schedule, fault)
		}
	}
	return schedule
}

// runResent runs a schedule with callers that send their jobs again at once after a reset. It
// returns the violated invariants and the longest overlap.
func runResent(t *testing.T, schedule []step) (violations []string, longest overlap) {
	w := workload{slowdown: pairedSlowdown, resent: true, maxOverlap: maxOverlapOfUnstoppableRun}
	runChecked(t, schedule, w, func(c *checker) { violations, longest = c.check(), c.longestOverlap() })
	return violations, longest
}

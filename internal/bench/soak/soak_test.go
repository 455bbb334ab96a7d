package soak

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// TestMain runs the test binary as a node when the soak starts it with
// fleet.NodeCommand.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

// seeds holds a seed for regular runs and every seed that has ever found a fault.
var seeds = []struct {
	seed  uint64
	cause string // why the seed is in the list
}{
	{1, "the regular CI run"},
	{107, "a start request reached a target that had restarted under the same ID, and was reported as refused"},
	{900, "a rejected repeat of an unanswered start was taken for the answer to the first, and the task ran twice"},
}

func TestSoak(t *testing.T) {
	for _, s := range seeds {
		t.Run(fmt.Sprintf("seed-%d", s.seed), func(t *testing.T) {
			found, err := Run(t.Context(), Options{Seed: s.seed, Duration: 6 * time.Second, Entries: 3, Agents: 6, Rate: 25}, os.Stderr)
			if err != nil {
				t.Fatalf("%s: %v", s.cause, err)
			}
			for _, f := range found {
				t.Errorf("%s: %s", s.cause, f)
			}
		})
	}
}

func TestViolationsReportsEachKind(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	run := func(task string, from, to int, how string) standin.Run {
		return standin.Run{Task: task, Target: "t", Zone: "dc1", Started: at(from), Ended: at(to), Ending: how}
	}
	for _, c := range []struct {
		name    string
		jobs    []*submittedJob
		runs    []standin.Run
		outages []outage
		found   int
	}{
		{"no violation", []*submittedJob{{id: "j", tasks: 1, state: "complete", statuses: []int{200}, ended: at(200)}},
			[]standin.Run{run("j.0.0.0", 0, 50, "stopped"), run("j.0.0.0", 60, 100, "done")}, nil, 0},
		{"two runs at the same time", []*submittedJob{{id: "j"}},
			[]standin.Run{run("j.0.0.0", 0, 100, "done"), run("j.0.0.0", 50, 120, "done")}, nil, 1},
		{"refused and run", []*submittedJob{{id: "j", statuses: []int{503}}}, []standin.Run{run("j.0.0.0", 0, 10, "done")}, nil, 1},
		{"refused after a timeout", []*submittedJob{{id: "j", statuses: []int{504, 503}}}, []standin.Run{run("j.0.0.0", 0, 10, "done")}, nil, 0},
		{"complete answer with a missing task", []*submittedJob{{id: "j", tasks: 2, state: "complete", statuses: []int{200}, ended: at(200)}},
			[]standin.Run{run("j.0.0.0", 0, 100, "done")}, nil, 1},
		{"run of a job that was not submitted", nil, []standin.Run{run("j.0.0.0", 0, 100, "done")}, nil, 1},
		{"data centre out", []*submittedJob{{id: "j"}}, []standin.Run{run("j.0.0.0", 6000, 6100, "done")},
			[]outage{{dataCentre: "dc1", from: at(0), to: at(9000)}}, 1},
	} {
		if found := violations(c.jobs, c.runs, c.outages); len(found) != c.found {
			t.Errorf("%s: %q, want %d findings", c.name, found, c.found)
		}
	}
}

package soak

import (
	"os"
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
	"github.com/rosemarybay/rosemarybay/platform/standin"
)

// TestMain lets the test binary be a node of the soak's fleet.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	os.Exit(m.Run())
}

// seeds are one of each run in CI and all that ever failed.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, "the run of CI"},
	{107, "a start reached a target that was born again under its ID, and was reported as refused"},
}

func TestSoak(t *testing.T) {
	for _, s := range seeds {
		found, err := Run(t.Context(), Options{Seed: s.seed, For: 6 * time.Second, Entries: 3, Agents: 6, Rate: 25}, os.Stderr)
		if err != nil {
			t.Fatalf("seed %d (%s): %v", s.seed, s.cause, err)
		}
		for _, f := range found {
			t.Errorf("seed %d (%s): %s", s.seed, s.cause, f)
		}
	}
}

func TestViolationsAreFound(t *testing.T) {
	now := time.Now()
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	run := func(task string, from, to int, how string) standin.Run {
		return standin.Run{Task: task, Target: "t", Zone: "dc1", Began: at(from), Ended: at(to), How: how}
	}
	for _, c := range []struct {
		name  string
		calls []*call
		runs  []standin.Run
		outs  []out
		found int
	}{
		{"sound", []*call{{id: "j", tasks: 1, state: "complete", statuses: []int{200}, ended: at(200)}},
			[]standin.Run{run("j.0.0.0", 0, 50, "stopped"), run("j.0.0.0", 60, 100, "done")}, nil, 0},
		{"two runs at the same time", []*call{{id: "j"}},
			[]standin.Run{run("j.0.0.0", 0, 100, "done"), run("j.0.0.0", 50, 120, "done")}, nil, 1},
		{"refused and run", []*call{{id: "j", statuses: []int{503}}}, []standin.Run{run("j.0.0.0", 0, 10, "done")}, nil, 1},
		{"refused after a timeout", []*call{{id: "j", statuses: []int{504, 503}}}, []standin.Run{run("j.0.0.0", 0, 10, "done")}, nil, 0},
		{"half an answer", []*call{{id: "j", tasks: 2, state: "complete", statuses: []int{200}, ended: at(200)}},
			[]standin.Run{run("j.0.0.0", 0, 100, "done")}, nil, 1},
		{"sent by nobody", nil, []standin.Run{run("j.0.0.0", 0, 100, "done")}, nil, 1},
		{"data centre out", []*call{{id: "j"}}, []standin.Run{run("j.0.0.0", 6000, 6100, "done")},
			[]out{{zone: "dc1", from: at(0), to: at(9000)}}, 1},
	} {
		if found := violations(c.calls, c.runs, c.outs); len(found) != c.found {
			t.Errorf("%s: %q, want %d findings", c.name, found, c.found)
		}
	}
}

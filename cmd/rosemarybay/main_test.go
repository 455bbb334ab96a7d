package main

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

const (
	startTimeout  = 60 * time.Second
	awaitTimeout  = 20 * time.Second
	awaitInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	// The fleet starts its nodes by running this test binary with fleet.NodeCommand.
	if len(os.Args) > 1 && os.Args[1] == fleet.NodeCommand {
		os.Exit(daemon.Main(os.Args[2:], os.Stderr))
	}
	testscript.Main(m, map[string]func(){
		"rosemarybay":  func() { os.Exit(run()) },
		"rosemarybayd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) },
	})
}

// TestScripts runs the scripts in parallel on one fleet. Each script therefore uses its
// own departments and takes a different data centre or target out of service.
func TestScripts(t *testing.T) {
	f := startFleet(t)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("ROSEMARYBAY_ADDRESS", f.Entries[0].StatusURL)
			env.Setenv("OTHER_ENTRY", f.Entries[1].StatusURL)
			env.Setenv("TARGET_URL", f.TargetURL("r1"))
			// Each script has its own loopback address for the nodes it starts.
			env.Setenv("HOST", netip.AddrFrom4([4]byte{127, 250, byte(rand.N(250)), byte(1 + rand.N(250))}).String())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":   awaitCommand,
			"capture": captureCommand,
			"signal":  signalCommand,
			"store":   storeCommand,
			"expand":  expandCommand,
		},
	})
}

func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	spec := fleet.Spec{EntriesPerDataCentre: 1, DataCentres: []string{"nbo1", "nbo2", "nbo3"}, Direct: true}
	for _, target := range []fleet.Target{
		{Name: "r1", DataCentre: "nbo1"},
		{Name: "r2", DataCentre: "nbo2"},
		{Name: "r3", DataCentre: "nbo3"},
		{Name: "r4", DataCentre: "nbo1"},
	} {
		target.Rack, target.Slots, target.Size = target.Name, 4, fleet.Size{CPUs: 30, MemoryMB: 130000}
		spec.Targets = append(spec.Targets, target)
	}
	for _, name := range []string{"desk", "pages"} {
		spec.Departments = append(spec.Departments, fleet.Department{Name: name})
	}
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// awaitCommand implements "await PATTERN COMMAND": it repeats a command until it succeeds
// and its output matches the pattern. "! await" repeats it until it fails with output that
// matches.
func awaitCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: await PATTERN COMMAND")
	}
	pattern := regexp.MustCompile(`(?m)` + args[0])
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if (err != nil) == neg && pattern.MatchString(out) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s did not give the expected exit status and output matching %q", args[1], args[0])
		}
		time.Sleep(awaitInterval)
	}
}

// captureCommand implements "capture NAME FILE PATTERN": it sets a variable to the first
// capture group of the pattern in a file, stdout or stderr.
func captureCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: capture NAME FILE PATTERN")
	}
	match := regexp.MustCompile(`(?m)` + args[2]).FindStringSubmatch(ts.ReadFile(args[1]))
	if len(match) < 2 {
		ts.Fatalf("%s has no match of %q", args[1], args[2])
	}
	ts.Setenv(args[0], match[1])
}

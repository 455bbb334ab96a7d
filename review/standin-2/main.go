// Command standin-2 plays the cases of the second review: it starts a small deployment with
// stand-ins for clients, runners and the platform, and exits with 1 if a rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// play is a case and the deployment that it is played on.
type play struct {
	layout layout
	// run returns what broke the rule.
	run func(f *fleet, trouble bool) ([]string, error)
}

// cases holds the cases by name.
var cases = map[string]play{
	"cancelled-then-killed": {small, cancelledThenKilled},
	"cancelled-after-cut":   {grown, cancelledAfterCut},
	"queue-dropped":         {small, droppedQueue},
	"late-after-power-loss": {small, lateAfterPowerLoss},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return 2
	}
	p := cases[os.Args[1]]
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(r, p.layout)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := p.run(f, os.Getenv("TROUBLE") != "0")
	f.recordRuns()
	for _, b := range broken {
		f.add("BROKEN %s", b)
		fmt.Println(b)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		return 1
	}
	return 0
}

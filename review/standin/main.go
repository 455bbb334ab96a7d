// Command standin plays the cases of the review: it starts entries and agents as processes,
// with stand-ins for the store, the targets and the clients, and checks what clients and
// targets see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 100 * time.Second

// scenario plays a case. It returns a line for each breach of the rule, or an error if the case
// could not run.
type scenario struct {
	entries, agents int
	// timeoutMS is the timeout of the queue in milliseconds.
	timeoutMS int
	play      func(f *fleet, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{
	"frozen-entry":     {entries: 3, agents: 11, timeoutMS: 1500, play: playFrozenEntry},
	"adopted-runs":     {entries: 3, agents: 6, timeoutMS: 30000, play: playAdoptedRuns},
	"evacuation":       {entries: 3, agents: 6, timeoutMS: 30000, play: playEvacuation},
	"late-order":       {entries: 3, agents: 11, timeoutMS: 30000, play: playLateOrder},
	"cancel-cut":       {entries: 3, agents: 3, timeoutMS: 30000, play: playCancelAtCutEntry},
	"cancel-duplicate": {entries: 3, agents: 3, timeoutMS: 30000, play: playDuplicateAfterCancel},
}

func main() {
	name := flag.String("case", "", "the `NAME` of the case")
	path := flag.String("record", "", "the `FILE` for the record")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok || *path == "" {
		flag.Usage()
		os.Exit(exitFailed)
	}
	os.Exit(playCase(s, *path, os.Getenv("TROUBLE") != "0"))
}

// playCase plays one case and returns the exit status.
func playCase(s scenario, path string, trouble bool) int {
	r := newRecord()
	f, err := newFleet(r, s)
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	if err != nil {
		return finish(r, path, nil, err)
	}
	type result struct {
		found []string
		err   error
	}
	results := make(chan result, 1)
	go func() {
		found, err := s.play(f, trouble)
		results <- result{found, err}
	}()
	select {
	case got := <-results:
		return finish(r, path, got.found, got.err)
	case <-interrupted:
		return finish(r, path, nil, fmt.Errorf("interrupted"))
	case <-time.After(maxDuration):
		return finish(r, path, nil, fmt.Errorf("the case took longer than %v", maxDuration))
	}
}

func finish(r *record, path string, found []string, err error) int {
	verdict, status := "held", exitHeld
	switch {
	case err != nil:
		verdict, status = "could not run: "+err.Error(), exitFailed
	case len(found) > 0:
		status = exitBroken
		verdict = "broken"
		for _, line := range found {
			verdict += "\n" + line
		}
	}
	fmt.Println(verdict)
	if err := r.write(path, verdict); err != nil {
		fmt.Println(err)
		return exitFailed
	}
	return status
}

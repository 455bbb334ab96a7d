// Package chaos runs many short jobs on a fleet whose nodes are killed, paused,
// stopped and cut off at random, and checks that no promise is broken.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

const (
	department = "ticket-desk"
	owners     = 8
	// jobsPerSecond is the rate of arrivals; they do not wait for answers.
	jobsPerSecond = 280
	// settleTime is how long late starts may still be seen after the last answer.
	settleTime = 2 * time.Second
	// failuresShown bounds the broken promises that are printed in full.
	failuresShown = 10
)

// Options select a run.
type Options struct {
	Jobs int
	Seed int64
}

// run is one run.
type run struct {
	options Options
	fleet   *fleet.Fleet
	out     io.Writer
	clients [owners][]*client.Client // by entry

	mu     sync.Mutex
	jobs   []*job
	lost   map[string][]time.Time // kills by entry
	faults map[string]int
	homes  map[string]time.Time // first use of a ticket by home
}

// Run plays the jobs and reports whether every promise held. The error reports
// that the run could not be made.
func Run(ctx context.Context, o Options, out io.Writer) (bool, error) {
	f, err := fleet.Start(ctx, spec(o.Seed))
	if err != nil {
		return false, err
	}
	defer f.Close()
	r := &run{
		options: o,
		fleet:   f,
		out:     out,
		lost:    make(map[string][]time.Time),
		faults:  make(map[string]int),
		homes:   make(map[string]time.Time),
	}
	for owner := range owners {
		for _, n := range f.Entries {
			r.clients[owner] = append(r.clients[owner], f.Client(department, ownerName(owner), n))
		}
	}
	r.play(ctx)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	time.Sleep(settleTime)
	return r.report(), nil
}

func ownerName(owner int) string { return fmt.Sprintf("owner-%d", owner) }

func spec(seed int64) fleet.Spec {
	s := fleet.Spec{
		Trace:                "chaos",
		Seed:                 seed,
		EntriesPerDataCentre: 2,
		DataCentres:          []string{"nbo1", "nbo2", "nbo3"},
		Departments:          []fleet.Department{{Name: department}},
		Distances:            fleet.Distances{DataCentres: 500 * time.Microsecond},
	}
	for i := range 10 {
		s.Targets = append(s.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: s.DataCentres[i%len(s.DataCentres)],
			Rack:       fmt.Sprintf("rack-%d", i/3+1),
			Slots:      8,
			Size:       fleet.Size{CPUs: 30, MemoryMB: 130_000},
		})
	}
	return s
}

// play submits the jobs while faults are injected, and waits for all answers.
func (r *run) play(ctx context.Context) {
	random := rand.New(rand.NewPCG(uint64(r.options.Seed), 0))
	faulting, stop := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { r.injectFaults(faulting) })
	var callers sync.WaitGroup
	for number := range r.options.Jobs {
		j := newJob(number, random)
		r.jobs = append(r.jobs, j)
		callers.Go(func() { r.call(ctx, j) })
		if !sleep(ctx, time.Duration(random.ExpFloat64()*float64(time.Second/jobsPerSecond))) {
			break
		}
	}
	stop()
	callers.Wait()
	faults.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Package chaos submits many short jobs to a fleet while its nodes are killed, paused,
// restarted and partitioned at random, and checks that every guarantee holds.
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
	// jobsPerSecond is the mean arrival rate. Jobs arrive whether or not earlier ones
	// have been answered.
	jobsPerSecond = 280
	// settleTime is the wait after the last answer in which late task starts are still
	// observed.
	settleTime = 2 * time.Second
	// maxPrintedViolations bounds the violations that are printed in full.
	maxPrintedViolations = 10
)

// Options configure a run.
type Options struct {
	Jobs int
	Seed int64
}

// run is the state of one run.
type run struct {
	options Options
	fleet   *fleet.Fleet
	out     io.Writer
	clients [owners][]*client.Client // by owner and entry

	mu            sync.Mutex
	jobs          []*job
	kills         map[string][]time.Time // times of kills by node name
	faultCounts   map[string]int
	homeFirstUses map[string]time.Time // first use of a ticket, by home
}

// Run makes one run and reports whether every guarantee held. The error reports a run that
// could not be made.
func Run(ctx context.Context, o Options, out io.Writer) (bool, error) {
	f, err := fleet.Start(ctx, spec(o.Seed))
	if err != nil {
		return false, err
	}
	defer f.Close()
	r := &run{
		options:       o,
		fleet:         f,
		out:           out,
		kills:         make(map[string][]time.Time),
		faultCounts:   make(map[string]int),
		homeFirstUses: make(map[string]time.Time),
	}
	for owner := range owners {
		for _, n := range f.Entries {
			r.clients[owner] = append(r.clients[owner], f.Client(department, ownerName(owner), n))
		}
	}
	r.submitJobs(ctx)
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
		NetworkDelays:        fleet.NetworkDelays{BetweenDataCentres: 500 * time.Microsecond},
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

// submitJobs submits the jobs while faults are injected, and returns when all callers have
// ended and all faults are over.
func (r *run) submitJobs(ctx context.Context) {
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

// sleep waits for d, and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Package load runs an open-loop load test on a fleet of the size that package workload
// defines: jobs arrive whether or not earlier ones have been answered. It reports
// the ratio of response time to ideal, the share of jobs answered, messages, processor
// time and memory.
package load

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Options configure one run.
type Options struct {
	Profile workload.Profile
	// Load is the mean offered work as a share of all slots.
	Load float64
	// Duration is the length of the run, in which jobs arrive.
	Duration time.Duration
	// WarmUp is the warm-up at the start of the run; its jobs are not measured.
	WarmUp time.Duration
	Seed   int64
	// Bursts makes jobs arrive in bursts instead of at a steady rate.
	Bursts bool
	// Repeatable marks all tasks as repeatable.
	Repeatable bool
	// Fault is set on the first target at the end of the warm-up.
	Fault standintarget.Mode
	// FaultFactor is the factor by which a slow target is slower.
	FaultFactor float64
}

// The deadline of a job is deadlineBase plus deadlineFactor times its longest task.
const (
	deadlineBase   = 2 * time.Second
	deadlineFactor = 2
)

func (a arrival) deadline() time.Duration { return deadlineBase + deadlineFactor*a.longest }

// callerRoundTrip returns the network round trip between a caller and its entry.
func (o Options) callerRoundTrip() time.Duration { return 2 * o.Profile.NetworkDelays.CallerToEntry }

// run is the state of one run.
type run struct {
	options Options
	fleet   *fleet.Fleet
	clients []*client.Client
	began   time.Time

	mu             sync.Mutex
	responseRatios *workload.RatioHistogram
	complete       int
	failed         int
	refused        int
	wrongAnswers   int
	// completedWork is the run time of the tasks of all jobs that were completed in the
	// measured time, including jobs that arrived during the warm-up.
	completedWork time.Duration
	// reasons counts the jobs that were not completed, by verdict and reason.
	reasons map[string]int
}

// Run starts a fleet, submits the jobs of a run and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Start(ctx, o.Profile.Spec("load", o.Seed))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{
		options:        o,
		fleet:          f,
		responseRatios: workload.NewRatioHistogram(),
		reasons:        make(map[string]int),
	}
	for _, n := range f.Entries {
		r.clients = append(r.clients, f.Client(o.Profile.Department, "volunteer", n))
	}
	if err := r.fetchTickets(ctx); err != nil {
		return nil, err
	}
	arrivals := newArrivals(o, len(f.Entries))
	countersBefore := f.Counters()
	usageBefore := readUsage(f)
	stopFaultWatch := r.startFaultWatch(ctx)
	r.submitAll(ctx, arrivals)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	report := r.report(arrivals, countersBefore, usageBefore)
	report.EjectedAfterMS = stopFaultWatch()
	return report, nil
}

// fetchTickets makes each client fetch its first batch of tickets, so that no measured
// job waits for it.
func (r *run) fetchTickets(ctx context.Context) error {
	for _, c := range r.clients {
		if _, err := c.Ticket(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) submitAll(ctx context.Context, arrivals []arrival) {
	var submissions sync.WaitGroup
	r.began = time.Now()
	for i, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(r.began.Add(a.offset))):
		}
		if ctx.Err() != nil {
			break
		}
		submissions.Go(func() { r.submit(ctx, i, a) })
	}
	submissions.Wait()
}

func (r *run) submit(ctx context.Context, number int, a arrival) {
	j := client.Job{Deadline: a.deadline()}
	for i, d := range a.runTimes {
		j.Tasks = append(j.Tasks, workload.NewTask(workload.TaskName(number, i), "ticket", d, a.repeatable))
	}
	c := r.clients[a.entryIndex]
	ticket, err := c.Ticket(ctx)
	if err != nil {
		r.recordFailure(a, verdict.FromError(err))
		return
	}
	began := time.Now()
	answer, err := c.Resubmit(ctx, ticket, j)
	if err != nil {
		r.recordFailure(a, verdict.FromError(err))
		return
	}
	r.recordAnswer(number, a, answer, time.Since(began))
}

func (r *run) recordFailure(a arrival, err *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.offset < r.options.WarmUp {
		return
	}
	r.reasons[verdict.Name(err.Verdict)+" "+verdict.ReasonName(err.Reason)]++
	if err.Verdict == verdict.NotRun {
		r.refused++
		return
	}
	r.failed++
}

func (r *run) recordAnswer(number int, a arrival, answer *apiv1.Answer, response time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !workload.HasAllResults(number, len(a.runTimes), answer) {
		r.wrongAnswers++
	}
	if at := time.Since(r.began); at >= r.options.WarmUp && at < r.options.Duration {
		for _, d := range a.runTimes {
			r.completedWork += d
		}
	}
	if a.offset < r.options.WarmUp {
		return
	}
	r.complete++
	r.responseRatios.Record(response, a.longest+r.options.callerRoundTrip())
}

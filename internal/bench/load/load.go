// Package load drives a fleet of today's size with jobs that arrive whether or
// not earlier ones have been answered, and reports response over ideal, the
// share of jobs answered, messages, processor time and memory.
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

// Options describe one run.
type Options struct {
	Profile workload.Profile
	// Load is the offered work as a share of all slots.
	Load float64
	// For is the time in which jobs arrive.
	For time.Duration
	// Warm is the time at the start whose jobs are not measured.
	Warm       time.Duration
	Seed       int64
	Bursts     bool
	Repeatable bool
	// Fault is set on the first target from the end of Warm on.
	Fault       standintarget.Mode
	FaultFactor float64
}

// Deadline of a job: deadlineBase and deadlineFactor times its longest task.
const (
	deadlineBase   = 2 * time.Second
	deadlineFactor = 2
)

func (a arrival) deadline() time.Duration { return deadlineBase + deadlineFactor*a.longest }

// callerTrip is the round trip between a caller and its entry.
func (o Options) callerTrip() time.Duration { return 2 * o.Profile.Distances.Callers }

// run is one run in progress.
type run struct {
	options Options
	fleet   *fleet.Fleet
	clients []*client.Client
	began   time.Time

	mu       sync.Mutex
	ratios   *workload.Ratios
	complete int
	failed   int
	refused  int
	wrong    int
	// goodWork is the run time of the tasks of jobs that were completed in the
	// measured time, whenever they arrived.
	goodWork time.Duration
	reasons  map[string]int
}

// Run drives one fleet and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	f, err := fleet.Start(ctx, o.Profile.Spec("load", o.Seed))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &run{
		options: o,
		fleet:   f,
		ratios:  workload.NewRatios(),
		reasons: make(map[string]int),
	}
	for _, n := range f.Entries {
		r.clients = append(r.clients, f.Client(o.Profile.Department, "volunteer", n))
	}
	if err := r.fetchTickets(ctx); err != nil {
		return nil, err
	}
	arrivals := newArrivals(o, len(f.Entries))
	before := f.Counters()
	usage := readUsage(f)
	ejection := r.startFault(ctx)
	r.submitAll(ctx, arrivals)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	report := r.report(arrivals, before, usage)
	report.EjectedAfterMS = ejection()
	return report, nil
}

// fetchTickets lets each client fetch its first batch, so that no measured job
// waits for it.
func (r *run) fetchTickets(ctx context.Context) error {
	for _, c := range r.clients {
		if _, err := c.Ticket(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) submitAll(ctx context.Context, arrivals []arrival) {
	var waits sync.WaitGroup
	r.began = time.Now()
	for i, a := range arrivals {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(r.began.Add(a.at))):
		}
		if ctx.Err() != nil {
			break
		}
		waits.Go(func() { r.submit(ctx, i, a) })
	}
	waits.Wait()
}

func (r *run) submit(ctx context.Context, number int, a arrival) {
	j := client.Job{Deadline: a.deadline()}
	for i, d := range a.runs {
		j.Tasks = append(j.Tasks, workload.NewTask(workload.TaskName(number, i), "ticket", d, a.repeatable))
	}
	c := r.clients[a.entry]
	ticket, err := c.Ticket(ctx)
	if err != nil {
		r.fail(a, verdict.FromError(err))
		return
	}
	began := time.Now()
	answer, err := c.Resubmit(ctx, ticket, j)
	if err != nil {
		r.fail(a, verdict.FromError(err))
		return
	}
	r.succeed(number, a, answer, time.Since(began))
}

func (r *run) fail(a arrival, err *verdict.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.at < r.options.Warm {
		return
	}
	r.reasons[verdict.Name(err.Verdict)+" "+verdict.ReasonName(err.Reason)]++
	if err.Verdict == verdict.NotRun {
		r.refused++
		return
	}
	r.failed++
}

func (r *run) succeed(number int, a arrival, answer *apiv1.Answer, response time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !workload.IsWhole(number, len(a.runs), answer) {
		r.wrong++
	}
	if at := time.Since(r.began); at >= r.options.Warm && at < r.options.For {
		for _, d := range a.runs {
			r.goodWork += d
		}
	}
	if a.at < r.options.Warm {
		return
	}
	r.complete++
	r.ratios.Record(response, a.longest+r.options.callerTrip())
}

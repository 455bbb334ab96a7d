// Package demo runs a demonstration workload on a fleet and prints the results, and
// measures the round-trip overhead of the system.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

// Workload of the demonstration.
const (
	jobCount        = 300
	minTasks        = 6
	maxTasks        = 14
	minTaskDuration = 50 * time.Millisecond
	maxTaskDuration = 200 * time.Millisecond
	arrivalWindow   = 8 * time.Second
	jobDeadline     = 10 * time.Second
	seed            = 1
)

// Spec returns the fleet of the demonstration.
func Spec() fleet.Spec { return workload.Fundi.Spec("demo", seed) }

// demoRun is one run of the demonstration with its results.
type demoRun struct {
	fleet *fleet.Fleet

	mu           sync.Mutex
	complete     int
	failed       int
	wrongAnswers int
	ratios       *workload.RatioHistogram
	errors       map[string]int
}

// Run runs the demonstration and reports whether all guarantees held: every job complete,
// no wrong answer and no task started twice.
func Run(ctx context.Context, out io.Writer) (bool, error) {
	f, err := fleet.Start(ctx, Spec())
	if err != nil {
		return false, err
	}
	defer f.Close()
	r := &demoRun{
		fleet:  f,
		ratios: workload.NewRatioHistogram(),
		errors: make(map[string]int),
	}
	_, _ = fmt.Fprintf(out, "fleet of %d entries and %d targets is up; %d jobs follow\n", len(f.Entries), len(f.Agents), jobCount)
	r.submitAll(ctx)
	return r.report(out), ctx.Err()
}

func (r *demoRun) submitAll(ctx context.Context) {
	random := rand.New(rand.NewPCG(seed, 0))
	clients := make([]*client.Client, len(r.fleet.Entries))
	for i, n := range r.fleet.Entries {
		clients[i] = r.fleet.Client(workload.Fundi.Department, "volunteer", n)
	}
	var submissions sync.WaitGroup
	for i := range jobCount {
		runs := make([]time.Duration, minTasks+random.IntN(maxTasks-minTasks+1))
		for k := range runs {
			runs[k] = minTaskDuration + time.Duration(random.Int64N(int64(maxTaskDuration-minTaskDuration)))
		}
		c := clients[random.IntN(len(clients))]
		submissions.Go(func() { r.submit(ctx, c, i, runs) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(arrivalWindow/jobCount)))
	}
	submissions.Wait()
}

func (r *demoRun) submit(ctx context.Context, c *client.Client, number int, runs []time.Duration) {
	j := client.Job{Label: fmt.Sprintf("ticket-%d", number), Deadline: jobDeadline}
	var longest time.Duration
	for i, d := range runs {
		j.Tasks = append(j.Tasks, newTask(workload.TaskName(number, i), d))
		longest = max(longest, d.Truncate(time.Millisecond))
	}
	ticket, err := c.Ticket(ctx)
	if err != nil {
		r.recordFailure(err)
		return
	}
	began := time.Now()
	answer, err := c.Resubmit(ctx, ticket, j)
	if err != nil {
		r.recordFailure(err)
		return
	}
	ideal := longest + 2*r.fleet.Spec.NetworkDelays.CallerToEntry
	r.recordSuccess(number, len(runs), answer, time.Since(began), ideal)
}

func newTask(name string, d time.Duration) *apiv1.Task {
	return workload.NewTask(name, "ticket", d, false)
}

func (r *demoRun) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
	r.errors[err.Error()]++
}

func (r *demoRun) recordSuccess(number, tasks int, answer *apiv1.Answer, response, ideal time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete++
	r.ratios.Record(response, ideal)
	if !workload.HasAllResults(number, tasks, answer) {
		r.wrongAnswers++
	}
}

// report prints the table of results and reports whether all guarantees held.
func (r *demoRun) report(out io.Writer) bool {
	starts := make(map[string]int)
	twice := 0
	for _, s := range r.fleet.Ledger.Starts() {
		starts[s.Task]++
		if starts[s.Task] == 2 {
			twice++
		}
	}
	counters := r.fleet.Counters()
	tasks := float64(max(1, len(starts)))
	work := float64(counters["link_work_sent_frames"])
	control := float64(counters["link_control_sent_frames"])
	refused := float64(counters["retried_target_full"])
	for _, row := range []struct {
		name  string
		value string
	}{
		{"jobs complete", fmt.Sprint(r.complete)},
		{"jobs failed", fmt.Sprint(r.failed)},
		{"answers partial or of another job", fmt.Sprint(r.wrongAnswers)},
		{"tasks started", fmt.Sprint(len(starts))},
		{"tasks started twice", fmt.Sprint(twice)},
		{"response over ideal p50", fmt.Sprintf("%.3f", r.ratios.Quantile(50))},
		{"response over ideal p99", fmt.Sprintf("%.3f", r.ratios.Quantile(99))},
		{"work messages a task", fmt.Sprintf("%.2f", work/tasks)},
		{"control messages a task", fmt.Sprintf("%.2f", control/tasks)},
		{"starts refused a task", fmt.Sprintf("%.3f", refused/tasks)},
	} {
		_, _ = fmt.Fprintf(out, "%-36s %10s\n", row.name, row.value)
	}
	for message, n := range r.errors {
		_, _ = fmt.Fprintf(out, "failed %d times: %s\n", n, message)
	}
	return r.complete == jobCount && r.wrongAnswers == 0 && twice == 0
}

// oneTask returns the tasks of a job with a single task that ends immediately.
func oneTask(number int) []*apiv1.Task {
	return []*apiv1.Task{newTask(workload.TaskName(number, 0), 0)}
}

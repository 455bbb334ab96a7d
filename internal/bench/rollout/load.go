package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// The load.
const (
	tasksPerJob = 4
	minRun      = 50 * time.Millisecond
	maxRun      = 350 * time.Millisecond
	jobDeadline = 10 * time.Second
	// overcommit is the number of tasks kept outstanding for each slot.
	overcommit = 2.5
)

// answer is the outcome of one job.
type answer struct {
	sent  time.Time
	at    time.Time
	ideal time.Duration
	err   *verdict.Error
}

// load submits jobs through all entries and keeps their outcomes.
type load struct {
	fleet   *fleet.Fleet
	share   float64
	clients []*client.Client
	waits   sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	number  int
	runs    map[string]time.Duration // by task
	answers []answer
}

func newLoad(f *fleet.Fleet, seed int64, share float64) *load {
	l := &load{
		fleet:  f,
		share:  share,
		random: rand.New(rand.NewPCG(uint64(seed), 0)),
		runs:   make(map[string]time.Duration),
	}
	for _, n := range f.Entries {
		l.clients = append(l.clients, f.Client(f.Spec.Departments[0].Name, "volunteer", n))
	}
	return l
}

func (l *load) slots() int {
	total := 0
	for _, t := range l.fleet.Spec.Targets {
		total += t.Slots
	}
	return total
}

// start submits jobs until ctx ends: as many as keep all slots busy, or at a
// rate that does not wait for answers.
func (l *load) start(ctx context.Context) {
	if l.share > 0 {
		l.waits.Go(func() { l.openLoop(ctx) })
		return
	}
	callers := int(overcommit * float64(l.slots()) / tasksPerJob)
	for i := range callers {
		c := l.clients[i%len(l.clients)]
		l.waits.Go(func() {
			for ctx.Err() == nil {
				l.submit(c)
			}
		})
	}
}

func (l *load) openLoop(ctx context.Context) {
	work := tasksPerJob * (minRun + maxRun).Seconds() / 2
	rate := l.share * float64(l.slots()) / work
	next := time.Now()
	for {
		l.mu.Lock()
		gap := l.random.ExpFloat64() / rate
		c := l.clients[l.random.IntN(len(l.clients))]
		l.mu.Unlock()
		next = next.Add(time.Duration(gap * float64(time.Second)))
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		l.waits.Go(func() { l.submit(c) })
	}
}

func (l *load) wait() { l.waits.Wait() }

// newJob draws a job and returns the run time of its longest task.
func (l *load) newJob() (client.Job, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	j := client.Job{Label: fmt.Sprintf("rollout-%d", l.number), Deadline: jobDeadline}
	var longest time.Duration
	for i := range tasksPerJob {
		d := (minRun + time.Duration(l.random.Int64N(int64(maxRun-minRun)))).Truncate(time.Millisecond)
		name := fmt.Sprintf("%d/%d", l.number, i)
		l.runs[name] = d
		longest = max(longest, d)
		payload, _ := json.Marshal(standintarget.Payload{Task: name, RunMS: int(d.Milliseconds())})
		j.Tasks = append(j.Tasks, &apiv1.Task{
			Kind:    "ticket",
			Size:    &apiv1.Size{Cpus: 1, MemoryMb: 512},
			RunMs:   uint32(d.Milliseconds()),
			Payload: payload,
		})
	}
	return j, longest
}

func (l *load) submit(c *client.Client) {
	j, longest := l.newJob()
	ctx, cancel := context.WithTimeout(context.Background(), 2*jobDeadline)
	defer cancel()
	sent := time.Now()
	_, err := c.Submit(ctx, j)
	a := answer{sent: sent, at: time.Now(), ideal: longest + 2*l.fleet.Spec.Distances.Callers, err: verdict.FromError(err)}
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	if err != nil {
		sleep(ctx, minRun)
	}
}

// Package dispatch decides which target runs a task, and when. It sends each
// task's attempts to agents and follows them to one outcome.
package dispatch

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/request/retry"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const (
	// recoveryWindow is how long an agent's link may be gone before its
	// attempts count as lost.
	recoveryWindow = 2 * time.Second
	// cancelGrace is how long a cancelled task waits for the agent's word.
	cancelGrace = 500 * time.Millisecond
	// staleBackoff keeps a target idle after it refused for a stale permit.
	staleBackoff = 100 * time.Millisecond

	// ejectionMemory is how long a broker's word on an ejected target counts.
	ejectionMemory = 1500 * time.Millisecond

	// Retry budget: retries earned by a success, at the start, and at most.
	retryRatio   = 0.1
	retryInitial = 5
	retryLimit   = 20
	// lossLimit is the number of retries after the loss of an agent or a home
	// that may be made at once: as many tasks as are lost with one process.
	lossLimit = 100
)

// Options configure a Dispatcher.
type Options struct {
	// Sender is the incarnation of this entry.
	Sender     uint64
	DataCentre string
	QueueLimit int
	Config     *config.View
	Counters   *metrics.Counters
	// Slots reaches the brokers of targets; Broker lends the slots of those
	// that name this entry; nil stands for a new one.
	Slots  Slots
	Broker *slots.Broker
	// Entries returns the number of entries of the fleet; nil stands for one.
	Entries func() int
	// IsFresh reports whether the configuration may be taken for the present
	// one; no task is placed while it is not. Nil means always.
	IsFresh func() bool
}

// Dispatcher places tasks on targets. It is safe for concurrent use.
type Dispatcher struct {
	opts   Options
	budget *retry.Budget
	// losses is the budget after the loss of a process, which cannot multiply
	// load as failing tasks do.
	losses  *retry.Budget
	started gometrics.Counter
	late    gometrics.Counter
	// repeated counts the attempts that follow one that may have run.
	repeated gometrics.Counter
	// returned counts lent slots given back unused.
	returned gometrics.Counter
	// silences counts the requests that a broker did not answer.
	silences gometrics.Counter

	mu      sync.Mutex
	targets map[string]*target
	brokers brokers
	// asking is the number of requests for slots in flight.
	asking int
	// blocked holds the targets that get no work for a moment.
	blocked map[*target]struct{}
	// inUse counts the attempts in flight by department.
	inUse     map[string]int
	pace      pace
	runTimes  runTimes
	queue     queue
	completed []completion
}

type completion struct {
	task    *Task
	outcome Outcome
}

// New returns a dispatcher without targets.
func New(opts Options) *Dispatcher {
	if opts.IsFresh == nil {
		opts.IsFresh = func() bool { return true }
	}
	if opts.Broker == nil {
		opts.Broker = slots.New(opts.Config, opts.Counters)
	}
	if opts.Entries == nil {
		opts.Entries = func() int { return 1 }
	}
	return &Dispatcher{
		opts:     opts,
		budget:   retry.NewBudget(retryRatio, retryInitial, retryLimit),
		losses:   retry.NewBudget(retryRatio, lossLimit, lossLimit),
		started:  opts.Counters.Counter("attempts_sent"),
		late:     opts.Counters.Counter("results_late"),
		repeated: opts.Counters.Counter("attempts_repeated"),
		returned: opts.Counters.Counter("slots_returned"),
		silences: opts.Counters.Counter("brokers_silent"),
		targets:  make(map[string]*target),
		brokers:  newBrokers(),
		blocked:  make(map[*target]struct{}),
		inUse:    make(map[string]int),
		runTimes: runTimes{kinds: make(map[string]*runTimeHistogram)},
		pace:     pace{departments: make(map[string]*average)},
	}
}

// Submit queues the tasks of one job: all of them, or none and an error NotRun.
func (d *Dispatcher) Submit(tasks []*Task) *verdict.Error {
	d.mu.Lock()
	now := time.Now()
	if err := d.admit(tasks, now); err != nil {
		d.mu.Unlock()
		d.opts.Counters.Refuse(err.Reason)
		return err
	}
	due := now.Add(slack(tasks))
	for _, t := range tasks {
		t.started = verdict.NotRun
		t.phase = phaseQueued
		d.queue.push(t, due)
	}
	d.pump()
	d.unlockAndComplete()
	return nil
}

// Cancel ends tasks: those that wait end at once, and those that were sent when
// their agents have answered or cancelGrace has passed.
func (d *Dispatcher) Cancel(tasks []*Task, reason verdict.Reason) {
	d.mu.Lock()
	byTarget := make(map[*target][]*peerv1.AttemptID)
	for _, t := range tasks {
		t.cancelled = true
		switch t.phase {
		case phaseQueued:
			d.queue.remove(t)
			d.finish(t, Outcome{Err: verdict.New(t.started, reason, "cancelled before its start")})
		case phaseSent:
			d.queue.remove(t)
			for _, at := range t.live() {
				byTarget[at.target] = append(byTarget[at.target], at.key.proto())
			}
		}
	}
	for tg, ids := range byTarget {
		tg.send(&peerv1.Frame{Body: &peerv1.Frame_Cancel{Cancel: &peerv1.Cancel{Ids: ids}}})
	}
	if len(byTarget) > 0 {
		time.AfterFunc(cancelGrace, func() { d.giveUp(tasks, reason) })
	}
	d.unlockAndComplete()
}

// giveUp ends the cancelled tasks whose agents have not answered.
func (d *Dispatcher) giveUp(tasks []*Task, reason verdict.Reason) {
	d.mu.Lock()
	for _, t := range tasks {
		if t.phase == phaseSent {
			d.finish(t, Outcome{Err: verdict.New(verdict.MayHaveRun, reason, "cancelled after its start was sent")})
		}
	}
	d.unlockAndComplete()
}

// Refresh places waiting tasks after a change of the configuration.
func (d *Dispatcher) Refresh() {
	d.opts.Broker.Refresh()
	d.mu.Lock()
	d.applyConfig()
	d.pump()
	d.unlockAndComplete()
}

// finish records a task's outcome; the caller holds d.mu.
func (d *Dispatcher) finish(t *Task, o Outcome) {
	if t.phase == phaseFinished {
		return
	}
	d.queue.remove(t)
	t.phase = phaseFinished
	t.current, t.second = nil, nil
	d.completed = append(d.completed, completion{task: t, outcome: o})
}

// unlockAndComplete releases d.mu and then reports the outcomes recorded.
func (d *Dispatcher) unlockAndComplete() {
	completed := d.completed
	d.completed = nil
	d.mu.Unlock()
	for _, c := range completed {
		c.task.Done(c.outcome)
	}
}

// Queued returns the number of tasks that wait.
func (d *Dispatcher) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.len()
}

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
	// recoveryWindow is how long an agent may be disconnected before its attempts
	// count as lost.
	recoveryWindow = 2 * time.Second
	// cancelTimeout is how long a cancelled task waits for the agent's answer.
	cancelTimeout = 500 * time.Millisecond
	// targetBackoff is how long a target gets no tasks after its agent refused one for
	// a cause that lasts, such as a stale permit, or after a send to it failed.
	targetBackoff = 100 * time.Millisecond

	// ejectionLifetime is how long a broker's report of an ejected target is valid.
	ejectionLifetime = 1500 * time.Millisecond

	// Retry budget: retries earned per success, initial number, and upper limit.
	retryRatio   = 0.1
	retryInitial = 5
	retryLimit   = 20
	// lossRetryLimit is the number of retries that may be made at once after the loss
	// of an agent or a home: as many tasks as are lost with one process.
	lossRetryLimit = 100
	// maxCrashes is the number of targets that may be lost under a task before it is given up.
	maxCrashes = 3
)

// Options configures a Dispatcher.
type Options struct {
	// Incarnation is the incarnation of this entry.
	Incarnation uint64
	DataCentre  string
	QueueLimit  int
	Config      *config.View
	Counters    *metrics.Counters
	// Slots requests slots from the brokers of targets.
	Slots SlotBrokers
	// Broker grants the slots of the targets that have this entry as their broker. If
	// nil, a new one is created.
	Broker *slots.Broker
	// EntryCount returns the number of entries in the fleet; nil means one.
	EntryCount func() int
	// IsConfigFresh reports whether the configuration is up to date. No task is placed while
	// it is not. Nil means always.
	IsConfigFresh func() bool
}

// Dispatcher places tasks on targets. It is safe for concurrent use.
type Dispatcher struct {
	opts Options
	// budget is the retry budget for failed tasks and speculative attempts.
	budget *retry.Budget
	// lossBudget is the retry budget for tasks lost with a process. Unlike retries of
	// failing tasks, these cannot multiply the load.
	lossBudget   *retry.Budget
	attemptsSent gometrics.Counter
	resultsLate  gometrics.Counter
	// attemptsRepeated counts attempts of tasks of which an earlier attempt may have run.
	attemptsRepeated gometrics.Counter
	// slotsReturned counts granted slots returned unused.
	slotsReturned gometrics.Counter
	// unansweredRequests counts the slot requests that a broker did not answer.
	unansweredRequests gometrics.Counter

	mu      sync.Mutex
	targets map[string]*target
	brokers brokers
	// pendingRequests is the number of slot requests in flight.
	pendingRequests int
	// blocked holds the targets that get no tasks until their blockedUntil.
	blocked map[*target]struct{}
	// inUse counts the attempts in flight by department.
	inUse      map[string]int
	startRates startRates
	runTimes   runTimes
	queue      queue
	completed  []completion
}

type completion struct {
	task    *Task
	outcome Outcome
}

// New returns a dispatcher without targets.
func New(opts Options) *Dispatcher {
	if opts.IsConfigFresh == nil {
		opts.IsConfigFresh = func() bool { return true }
	}
	if opts.Broker == nil {
		opts.Broker = slots.New(opts.Config, opts.Counters)
	}
	if opts.EntryCount == nil {
		opts.EntryCount = func() int { return 1 }
	}
	return &Dispatcher{
		opts:               opts,
		budget:             retry.NewBudget(retryRatio, retryInitial, retryLimit),
		lossBudget:         retry.NewBudget(retryRatio, lossRetryLimit, lossRetryLimit),
		attemptsSent:       opts.Counters.Counter("attempts_sent"),
		resultsLate:        opts.Counters.Counter("results_late"),
		attemptsRepeated:   opts.Counters.Counter("attempts_repeated"),
		slotsReturned:      opts.Counters.Counter("slots_returned"),
		unansweredRequests: opts.Counters.Counter("brokers_silent"),
		targets:            make(map[string]*target),
		brokers:            newBrokers(),
		blocked:            make(map[*target]struct{}),
		inUse:              make(map[string]int),
		runTimes:           runTimes{kinds: make(map[string]*runTimeHistogram)},
		startRates:         startRates{departments: make(map[string]*decayingRate)},
	}
}

// Submit queues all tasks of one job, or none and returns a NotRun error.
func (d *Dispatcher) Submit(tasks []*Task) *verdict.Error {
	d.mu.Lock()
	now := time.Now()
	if err := d.admit(tasks, now); err != nil {
		d.mu.Unlock()
		d.opts.Counters.CountRefusal(err.Reason)
		return err
	}
	due := now.Add(slack(tasks))
	for _, t := range tasks {
		t.worstVerdict = verdict.NotRun
		t.phase = phaseQueued
		d.queue.push(t, due)
	}
	d.dispatchQueued()
	d.unlockAndComplete()
	return nil
}

// Cancel cancels tasks. A waiting task ends at once; a task that was sent ends when its
// agents have answered or cancelTimeout has passed.
func (d *Dispatcher) Cancel(tasks []*Task, reason verdict.Reason) {
	d.mu.Lock()
	byTarget := make(map[*target][]*peerv1.AttemptID)
	for _, t := range tasks {
		t.cancelled = true
		switch t.phase {
		case phaseQueued:
			d.queue.remove(t)
			d.finish(t, Outcome{Err: verdict.New(t.worstVerdict, reason, "cancelled before its start")})
		case phaseSent:
			d.queue.remove(t)
			for _, at := range t.liveAttempts() {
				byTarget[at.target] = append(byTarget[at.target], at.key.proto())
			}
		}
	}
	for tg, ids := range byTarget {
		tg.send(&peerv1.Frame{Body: &peerv1.Frame_Cancel{Cancel: &peerv1.Cancel{Ids: ids}}})
	}
	if len(byTarget) > 0 {
		time.AfterFunc(cancelTimeout, func() { d.finishUnanswered(tasks, reason) })
	}
	d.unlockAndComplete()
}

// finishUnanswered ends the cancelled tasks whose agents have not answered in time.
func (d *Dispatcher) finishUnanswered(tasks []*Task, reason verdict.Reason) {
	d.mu.Lock()
	for _, t := range tasks {
		if t.phase == phaseSent {
			d.finish(t, Outcome{Err: verdict.New(verdict.MayHaveRun, reason, "cancelled after its start was sent")})
		}
	}
	d.unlockAndComplete()
}

// Refresh applies the present configuration and dispatches the waiting tasks.
func (d *Dispatcher) Refresh() {
	d.opts.Broker.Refresh()
	d.mu.Lock()
	d.applyConfig()
	d.dispatchQueued()
	d.unlockAndComplete()
}

// finish records the outcome of a task. The caller holds d.mu.
func (d *Dispatcher) finish(t *Task, o Outcome) {
	if t.phase == phaseFinished {
		return
	}
	d.queue.remove(t)
	t.phase = phaseFinished
	t.current, t.speculative = nil, nil
	d.completed = append(d.completed, completion{task: t, outcome: o})
}

// unlockAndComplete unlocks d.mu and then calls Done for the recorded outcomes.
func (d *Dispatcher) unlockAndComplete() {
	completed := d.completed
	d.completed = nil
	d.mu.Unlock()
	for _, c := range completed {
		c.task.Done(c.outcome)
	}
}

// Queued returns the number of waiting tasks.
func (d *Dispatcher) Queued() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.len()
}

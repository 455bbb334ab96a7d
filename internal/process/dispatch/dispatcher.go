// Package dispatch decides which target runs a task, and when. It sends each
// task's attempts to agents and follows them to one outcome.
package dispatch

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
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

	retryRatio = 0.1
	retryLimit = 100
)

// Options configure a Dispatcher.
type Options struct {
	// Sender is the incarnation of this entry.
	Sender     uint64
	DataCentre string
	QueueLimit int
	Config     *config.View
	Counters   *metrics.Counters
	// IsFresh reports whether the configuration may be taken for the present
	// one; no task is placed while it is not. Nil means always.
	IsFresh func() bool
}

// Dispatcher places tasks on targets. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	budget  *retry.Budget
	started gometrics.Counter
	late    gometrics.Counter
	// repeated counts the attempts that follow one that may have run.
	repeated gometrics.Counter

	mu        sync.Mutex
	targets   map[string]*target
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
	return &Dispatcher{
		opts:     opts,
		budget:   retry.NewBudget(retryRatio, retryLimit),
		started:  opts.Counters.Counter("attempts_sent"),
		late:     opts.Counters.Counter("results_late"),
		repeated: opts.Counters.Counter("attempts_repeated"),
		targets:  make(map[string]*target),
	}
}

// Submit queues the tasks of one job: all of them, or none and an error NotRun.
func (d *Dispatcher) Submit(tasks []*Task) *verdict.Error {
	d.mu.Lock()
	if err := d.admit(tasks); err != nil {
		d.mu.Unlock()
		d.opts.Counters.Refuse(err.Reason)
		return err
	}
	for _, t := range tasks {
		t.started = verdict.NotRun
		t.phase = phaseQueued
		d.queue.pushBack(t)
	}
	d.pump()
	d.unlockAndComplete()
	return nil
}

func (d *Dispatcher) admit(tasks []*Task) *verdict.Error {
	if d.queue.len()+len(tasks) > d.opts.QueueLimit {
		return verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "%d tasks are waiting", d.queue.len())
	}
	snapshot := d.opts.Config.Load()
	for _, t := range tasks {
		if !d.isPossible(t, snapshot) {
			return verdict.NotRunError(apiv1.Reason_REASON_NO_ELIGIBLE_TARGET, "no target could ever run task %d", t.Index)
		}
	}
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
			at := t.current
			byTarget[at.target] = append(byTarget[at.target], at.key.proto())
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
	t.phase = phaseFinished
	t.current = nil
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

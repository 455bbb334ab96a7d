package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/retry"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// HandleResult takes the outcome of an attempt from a target's agent. A result
// of an attempt that is not in flight there is dropped and counted.
func (d *Dispatcher) HandleResult(name string, r *peerv1.Result) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	t := d.targets[name]
	if t == nil {
		d.late.Inc(1)
		return
	}
	d.applyLoad(t, r.GetLoad())
	at, ok := t.inFlight[keyOf(r.GetId())]
	if !ok {
		d.late.Inc(1)
		return
	}
	d.ended(at)
	d.endAttempt(at, r)
	d.pump()
}

// endAttempt decides what follows an attempt's result; the caller holds d.mu.
func (d *Dispatcher) endAttempt(at *attempt, r *peerv1.Result) {
	task := at.task
	if !task.isLive(at) {
		d.late.Inc(1)
		return
	}
	failure := verdict.FromFailure(r.GetFailure())
	switch {
	case failure == nil:
		d.budget.Success()
		d.losses.Success()
		d.runTimes.add(task.Spec.GetKind(), time.Duration(r.GetRunUs())*time.Microsecond)
		task.release(at)
		d.stopOthers(task)
		d.finish(task, Outcome{Output: r.GetOutput()})
	case failure.Verdict == verdict.NotRun:
		d.refused(at, failure)
	default:
		d.failed(at, failure)
	}
}

// refused handles an attempt that has not run and never will.
func (d *Dispatcher) refused(at *attempt, failure *verdict.Error) {
	task := at.task
	if failure.Reason == apiv1.Reason_REASON_TARGET_FULL {
		at.target.full = at.target.free <= 0
	} else if isElsewhere(failure.Reason) {
		d.block(at.target, time.Now())
	}
	if failure.Reason == apiv1.Reason_REASON_FENCED {
		// The adopter may start the task.
		task.started = verdict.Worst(task.started, verdict.MayHaveRun)
	}
	if task.release(at) {
		d.opts.Counters.Retry(failure.Reason)
		return
	}
	if task.cancelled || failure.Reason == apiv1.Reason_REASON_FENCED || failure.Reason == apiv1.Reason_REASON_DEPARTMENT_LEFT {
		d.finish(task, Outcome{Err: verdict.New(task.started, failure.Reason, "%s", failure.Message)})
		return
	}
	d.requeue(task, failure.Reason)
}

// isElsewhere reports whether an agent's refusal keeps further tasks from its
// target for a while.
func isElsewhere(reason verdict.Reason) bool {
	switch reason {
	case apiv1.Reason_REASON_STALE_PERMIT, apiv1.Reason_REASON_DATA_CENTRE_OUT, apiv1.Reason_REASON_TARGET_LEFT,
		apiv1.Reason_REASON_STOPPING, apiv1.Reason_REASON_TARGET_FAILED:
		return true
	default:
		return false
	}
}

// failed handles an attempt that ran or may have run.
func (d *Dispatcher) failed(at *attempt, failure *verdict.Error) {
	task := at.task
	task.started = verdict.Worst(task.started, failure.Verdict)
	if task.release(at) {
		return
	}
	if task.cancelled || !task.Spec.GetRepeatable() {
		d.finish(task, Outcome{Err: failure})
		return
	}
	if !d.budgetFor(failure.Reason).Take() {
		d.opts.Counters.Refuse(apiv1.Reason_REASON_RETRY_BUDGET)
		d.finish(task, Outcome{Err: failure})
		return
	}
	d.requeueLater(task, failure.Reason)
}

// budgetFor returns the budget that a retry after a failure is taken from.
func (d *Dispatcher) budgetFor(reason verdict.Reason) *retry.Budget {
	switch reason {
	case apiv1.Reason_REASON_AGENT_LOST, apiv1.Reason_REASON_LINK_LOST, apiv1.Reason_REASON_HOME_LOST:
		return d.losses
	default:
		return d.budget
	}
}

// requeueLater lets a task wait again after a backoff.
func (d *Dispatcher) requeueLater(task *Task, reason verdict.Reason) {
	d.opts.Counters.Retry(reason)
	task.phase = phaseQueued
	time.AfterFunc(retry.Backoff(int(task.attempts)), func() {
		d.mu.Lock()
		defer d.unlockAndComplete()
		if task.phase == phaseQueued && !task.cancelled {
			d.queue.pushFront(task)
			d.pump()
		}
	})
}

func (d *Dispatcher) requeue(task *Task, reason verdict.Reason) {
	d.opts.Counters.Retry(reason)
	task.phase = phaseQueued
	d.queue.pushFront(task)
}

// HandleStates takes an agent's word on attempts after a Cancel or a Query.
func (d *Dispatcher) HandleStates(name string, states []*peerv1.AttemptState) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	t := d.targets[name]
	if t == nil {
		return
	}
	for _, s := range states {
		at, ok := t.inFlight[keyOf(s.GetId())]
		if !ok || s.GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE {
			continue
		}
		d.ended(at)
		if at.task.isLive(at) {
			d.refused(at, verdict.NotRunError(apiv1.Reason_REASON_TOMBSTONED, "attempt was stopped before its start"))
		}
	}
	d.pump()
}

// HandleLoad takes a report of a target's slots.
func (d *Dispatcher) HandleLoad(name string, load *peerv1.Load) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	if t := d.targets[name]; t != nil {
		d.applyLoad(t, load)
		d.pump()
	}
}

func (d *Dispatcher) applyLoad(t *target, load *peerv1.Load) {
	if load == nil {
		return
	}
	d.brokers.change(t.broker, load.GetBroker())
	t.broker = load.GetBroker()
	d.opts.Broker.Report(t.info.GetName(), load, t.broker == d.opts.Sender)
	t.free = int(load.GetFree())
	t.revision = max(t.revision, load.GetConfigRevision())
	if t.free > 0 {
		t.full = false
	}
}

// loseAttempts ends all attempts at a target that cannot be asked any more.
func (d *Dispatcher) loseAttempts(t *target, reason verdict.Reason) {
	for _, at := range t.inFlight {
		d.ended(at)
		if at.task.isLive(at) {
			d.failed(at, verdict.New(verdict.MayHaveRun, reason, "agent of target %q is gone", t.info.GetName()))
		}
	}
}

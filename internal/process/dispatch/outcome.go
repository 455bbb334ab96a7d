package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/retry"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// HandleResult handles the result of an attempt from a target's agent. The result of an
// attempt that is not in flight at the target is dropped and counted as late.
func (d *Dispatcher) HandleResult(name string, r *peerv1.Result) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	t := d.targets[name]
	if t == nil {
		d.resultsLate.Inc(1)
		return
	}
	d.applyLoad(t, r.GetLoad())
	at, ok := t.inFlight[keyOf(r.GetId())]
	if !ok {
		d.resultsLate.Inc(1)
		return
	}
	d.removeAttempt(at)
	d.handleOutcome(at, r)
	d.dispatchQueued()
}

// handleOutcome finishes or requeues a task after the result of an attempt. The caller
// holds d.mu.
func (d *Dispatcher) handleOutcome(at *attempt, r *peerv1.Result) {
	task := at.task
	if !task.isLive(at) {
		d.resultsLate.Inc(1)
		return
	}
	failure := verdict.FromFailure(r.GetFailure())
	switch {
	case failure == nil:
		d.budget.Success()
		d.lossBudget.Success()
		d.runTimes.add(task.Spec.GetKind(), time.Duration(r.GetRunUs())*time.Microsecond)
		task.dropAttempt(at)
		d.cancelOthers(task)
		d.finish(task, Outcome{Output: r.GetOutput()})
	case failure.Verdict == verdict.NotRun:
		d.handleNotRun(at, failure)
	default:
		d.handleFailure(at, failure)
	}
}

// handleNotRun handles an attempt that has not run and will not run.
func (d *Dispatcher) handleNotRun(at *attempt, failure *verdict.Error) {
	task := at.task
	if failure.Reason == apiv1.Reason_REASON_TARGET_FULL {
		at.target.full = at.target.free <= 0
	} else if blocksTarget(failure.Reason) {
		d.block(at.target, time.Now())
	}
	if failure.Reason == apiv1.Reason_REASON_FENCED {
		// The entry that adopted the task may start it.
		task.worstVerdict = verdict.Worst(task.worstVerdict, verdict.MayHaveRun)
	}
	if task.dropAttempt(at) {
		d.opts.Counters.CountRetry(failure.Reason)
		return
	}
	if task.cancelled || failure.Reason == apiv1.Reason_REASON_FENCED || failure.Reason == apiv1.Reason_REASON_DEPARTMENT_LEFT {
		d.finish(task, Outcome{Err: verdict.New(task.worstVerdict, failure.Reason, "%s", failure.Message)})
		return
	}
	d.requeue(task, failure.Reason)
}

// blocksTarget reports whether a refusal for this reason stops further tasks to the
// target for targetBackoff.
func blocksTarget(reason verdict.Reason) bool {
	switch reason {
	case apiv1.Reason_REASON_STALE_PERMIT, apiv1.Reason_REASON_DATA_CENTRE_OUT, apiv1.Reason_REASON_TARGET_LEFT,
		apiv1.Reason_REASON_STOPPING, apiv1.Reason_REASON_TARGET_FAILED:
		return true
	default:
		return false
	}
}

// handleFailure handles an attempt that ran or may have run.
func (d *Dispatcher) handleFailure(at *attempt, failure *verdict.Error) {
	task := at.task
	task.worstVerdict = verdict.Worst(task.worstVerdict, failure.Verdict)
	if task.dropAttempt(at) {
		return
	}
	if task.cancelled || !task.Spec.GetRepeatable() {
		d.finish(task, Outcome{Err: failure})
		return
	}
	if mayBeCrash(failure) {
		task.crashes++
	}
	if task.crashes >= maxCrashes {
		d.opts.Counters.CountRefusal(apiv1.Reason_REASON_TARGET_CRASHED)
		d.finish(task, Outcome{Err: verdict.New(task.worstVerdict, apiv1.Reason_REASON_TARGET_CRASHED, "%d targets were lost while the task ran", task.crashes)})
		return
	}
	if !d.budgetFor(failure.Reason).Take() {
		d.opts.Counters.CountRefusal(apiv1.Reason_REASON_RETRY_BUDGET)
		d.finish(task, Outcome{Err: failure})
		return
	}
	d.requeueAfterBackoff(task, failure.Reason)
}

// mayBeCrash reports whether an attempt may have ended its target: the target broke off without
// an answer, or was lost together with its agent.
func mayBeCrash(failure *verdict.Error) bool {
	switch failure.Reason {
	case apiv1.Reason_REASON_TARGET_FAILED:
		return failure.Verdict == verdict.MayHaveRun
	case apiv1.Reason_REASON_AGENT_LOST:
		return true
	default:
		return false
	}
}

// budgetFor returns the retry budget for a failure.
func (d *Dispatcher) budgetFor(reason verdict.Reason) *retry.Budget {
	switch reason {
	case apiv1.Reason_REASON_AGENT_LOST, apiv1.Reason_REASON_LINK_LOST, apiv1.Reason_REASON_HOME_LOST:
		return d.lossBudget
	default:
		return d.budget
	}
}

// requeueAfterBackoff puts a task back into the queue after a backoff.
func (d *Dispatcher) requeueAfterBackoff(task *Task, reason verdict.Reason) {
	d.opts.Counters.CountRetry(reason)
	task.phase = phaseQueued
	time.AfterFunc(retry.Backoff(int(task.lastAttempt)), func() {
		d.mu.Lock()
		defer d.unlockAndComplete()
		if task.phase == phaseQueued && !task.cancelled {
			d.queue.pushFront(task)
			d.dispatchQueued()
		}
	})
}

func (d *Dispatcher) requeue(task *Task, reason verdict.Reason) {
	d.opts.Counters.CountRetry(reason)
	task.phase = phaseQueued
	d.queue.pushFront(task)
}

// HandleStates handles the attempt states that an agent sends in answer to a Cancel or
// Query frame.
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
		d.removeAttempt(at)
		if at.task.isLive(at) {
			d.handleNotRun(at, verdict.NotRunError(apiv1.Reason_REASON_TOMBSTONED, "attempt was stopped before its start"))
		}
	}
	d.dispatchQueued()
}

// HandleLoad handles a target's load report.
func (d *Dispatcher) HandleLoad(name string, load *peerv1.Load) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	if t := d.targets[name]; t != nil {
		d.applyLoad(t, load)
		d.dispatchQueued()
	}
}

func (d *Dispatcher) applyLoad(t *target, load *peerv1.Load) {
	if load == nil {
		return
	}
	d.brokers.reassign(t.broker, load.GetBroker())
	t.broker = load.GetBroker()
	d.opts.Broker.Report(t.info.GetName(), load, t.broker == d.opts.Incarnation)
	t.free = int(load.GetFree())
	t.configRevision = max(t.configRevision, load.GetConfigRevision())
	if t.free > 0 {
		t.full = false
	}
}

// failLostAttempts fails all attempts at a target whose agent can no longer be queried.
func (d *Dispatcher) failLostAttempts(t *target, reason verdict.Reason) {
	for _, at := range t.inFlight {
		d.removeAttempt(at)
		if at.task.isLive(at) {
			d.handleFailure(at, verdict.New(verdict.MayHaveRun, reason, "agent of target %q is gone", t.info.GetName()))
		}
	}
}

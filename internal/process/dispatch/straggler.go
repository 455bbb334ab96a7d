package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

const (
	stragglerInterval = 50 * time.Millisecond
	// An attempt is a straggler once it is older than stragglerFactor times the
	// stragglerQuantile of the run times of its kind.
	stragglerQuantile = 0.99
	stragglerFactor   = 1.5
)

// Run checks for stragglers periodically until stop is closed.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(stragglerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			d.speculateOnStragglers(now)
		}
	}
}

// speculateOnStragglers queues a speculative second attempt for each repeatable task
// that is a straggler or whose target is ejected, within the retry budget. The first
// result wins.
func (d *Dispatcher) speculateOnStragglers(now time.Time) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	d.recordEjected(d.opts.Broker.EjectedTargets(), now)
	for _, tg := range d.targets {
		for _, at := range tg.inFlight {
			if d.isStraggler(at, now) {
				d.speculate(at.task)
			}
		}
	}
	d.dispatchQueued()
}

func (d *Dispatcher) isStraggler(at *attempt, now time.Time) bool {
	t := at.task
	if t.current != at || !t.Spec.GetRepeatable() || t.cancelled || t.hasSpeculated {
		return false
	}
	if now.Before(at.target.ejectedUntil) {
		return true
	}
	usual, ok := d.runTimes.quantile(t.Spec.GetKind(), stragglerQuantile)
	return ok && now.Sub(at.sentAt) > time.Duration(stragglerFactor*float64(usual))
}

func (d *Dispatcher) speculate(t *Task) {
	if !d.budget.Take() {
		return
	}
	t.hasSpeculated = true
	d.opts.Counters.CountRetry(apiv1.Reason_REASON_STRAGGLER)
	d.queue.pushFront(t)
}

// isLive reports whether the task still awaits the result of the attempt.
func (t *Task) isLive(at *attempt) bool { return t.current == at || t.speculative == at }

// dropAttempt stops awaiting an attempt. It reports whether the task awaits another
// attempt or is queued for one.
func (t *Task) dropAttempt(at *attempt) bool {
	if t.current == at {
		t.current = t.speculative
	}
	t.speculative = nil
	if t.current == nil && t.element != nil {
		t.phase = phaseQueued
	}
	return t.current != nil || t.element != nil
}

// liveAttempts returns the attempts that the task awaits.
func (t *Task) liveAttempts() []*attempt {
	var list []*attempt
	for _, at := range []*attempt{t.current, t.speculative} {
		if at != nil {
			list = append(list, at)
		}
	}
	return list
}

// cancelOthers cancels the remaining attempts after the first result.
func (d *Dispatcher) cancelOthers(t *Task) {
	for _, at := range t.liveAttempts() {
		ids := []*peerv1.AttemptID{at.key.proto()}
		at.target.send(&peerv1.Frame{Body: &peerv1.Frame_Cancel{Cancel: &peerv1.Cancel{Ids: ids}}})
	}
}

// firstEligible returns the first task without an attempt at the target, or nil.
func (cq *classQueue) firstEligible(tg *target) *Task {
	for e := cq.tasks.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Task)
		if t.current == nil || t.current.target != tg {
			return t
		}
	}
	return nil
}

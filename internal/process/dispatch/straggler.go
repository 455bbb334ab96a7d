package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

const (
	stragglerInterval = 50 * time.Millisecond
	// stragglerShare and stragglerFactor give the age from which an attempt is a
	// straggler: a multiple of a quantile of the run times of its kind.
	stragglerShare  = 0.99
	stragglerFactor = 1.5
)

// Run looks for stragglers until stop is closed.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(stragglerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			d.repeatStragglers(now)
		}
	}
}

// repeatStragglers queues a second attempt for each repeatable task that has run
// for unusually long or whose target is ejected, within the retry budget. The
// first result wins.
func (d *Dispatcher) repeatStragglers(now time.Time) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	d.noteEjected(d.opts.Broker.Status(), now)
	for _, tg := range d.targets {
		for _, at := range tg.inFlight {
			if d.isStraggler(at, now) {
				d.repeatStraggler(at.task)
			}
		}
	}
	d.pump()
}

func (d *Dispatcher) isStraggler(at *attempt, now time.Time) bool {
	t := at.task
	if t.current != at || !t.Spec.GetRepeatable() || t.cancelled || t.isRepeated {
		return false
	}
	if now.Before(at.target.ejectedUntil) {
		return true
	}
	usual, ok := d.runTimes.quantile(t.Spec.GetKind(), stragglerShare)
	return ok && now.Sub(at.sentAt) > time.Duration(stragglerFactor*float64(usual))
}

func (d *Dispatcher) repeatStraggler(t *Task) {
	if !d.budget.Take() {
		return
	}
	t.isRepeated = true
	d.opts.Counters.Retry(apiv1.Reason_REASON_STRAGGLER)
	d.queue.pushFront(t)
}

// isLive reports whether the task still waits for the attempt.
func (t *Task) isLive(at *attempt) bool { return t.current == at || t.second == at }

// release ends the wait for an attempt. It reports whether the task waits for
// another one or for a slot for it.
func (t *Task) release(at *attempt) bool {
	if t.current == at {
		t.current = t.second
	}
	t.second = nil
	if t.current == nil && t.element != nil {
		t.phase = phaseQueued
	}
	return t.current != nil || t.element != nil
}

// live returns the attempts that the task waits for.
func (t *Task) live() []*attempt {
	var list []*attempt
	for _, at := range []*attempt{t.current, t.second} {
		if at != nil {
			list = append(list, at)
		}
	}
	return list
}

// stopOthers stops the attempts that lost against the first result.
func (d *Dispatcher) stopOthers(t *Task) {
	for _, at := range t.live() {
		ids := []*peerv1.AttemptID{at.key.proto()}
		at.target.send(&peerv1.Frame{Body: &peerv1.Frame_Cancel{Cancel: &peerv1.Cancel{Ids: ids}}})
	}
}

// firstFor returns the first task that may start on a target: not one that has
// an attempt there.
func (l *line) firstFor(tg *target) *Task {
	for e := l.tasks.Front(); e != nil; e = e.Next() {
		t := e.Value.(*Task)
		if t.current == nil || t.current.target != tg {
			return t
		}
	}
	return nil
}

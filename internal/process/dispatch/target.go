package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/slots"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// Sender sends frames to an agent. If Send returns an error, the frame was not and will
// not be written.
type Sender interface {
	Send(*peerv1.Frame) error
}

// target is this entry's state of one target.
type target struct {
	info        *peerv1.TargetInfo
	incarnation uint64
	link        Sender // nil while disconnected
	inFlight    map[attemptKey]*attempt
	// free is the last reported number of free slots, less the tasks sent since.
	free int
	// full is set when the agent refuses a task for lack of a slot, until it reports a
	// free one.
	full         bool
	blockedUntil time.Time
	// broker is the entry that grants the target's slots; 0 if unknown.
	broker         uint64
	ejectedUntil   time.Time
	draining       bool
	configRevision uint64
	lostTimer      *time.Timer
	service        serviceState
}

func (t *target) send(f *peerv1.Frame) bool {
	return t.link != nil && t.link.Send(f) == nil
}

// fits reports whether the target could ever run the task.
func (t *target) fits(task *Task, snapshot *config.Snapshot) bool {
	if !slots.Fits(t.info, task.Department, task.Spec.GetSize()) {
		return false
	}
	err := snapshot.CheckTarget(task.Department, t.info.GetDataCentre(), t.info.GetName())
	return err == nil || err.Reason != apiv1.Reason_REASON_NO_ELIGIBLE_TARGET
}

// isAvailable reports whether a task may be sent to the target now without a granted
// slot. Once the reported free slots are used up, one task is sent at a time: its result
// carries the next load report, and after a refusal the agent reports the next free slot.
func (t *target) isAvailable(now time.Time) bool {
	if t.link == nil || t.draining || t.full || now.Before(t.blockedUntil) {
		return false
	}
	if t.free <= 0 && len(t.inFlight) > 0 {
		return false
	}
	return len(t.inFlight) < t.rampLimit(now)
}

// Attach makes a target available over a link. If the agent has the same incarnation as
// before, the states of its attempts are queried; if it has a new one, they are lost.
func (d *Dispatcher) Attach(info *peerv1.TargetInfo, incarnation uint64, link Sender) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	t, ok := d.targets[info.GetName()]
	if !ok {
		t = &target{inFlight: make(map[attemptKey]*attempt)}
		d.targets[info.GetName()] = t
	}
	if t.lostTimer != nil {
		t.lostTimer.Stop()
		t.lostTimer = nil
	}
	if t.incarnation != incarnation {
		d.failLostAttempts(t, apiv1.Reason_REASON_AGENT_LOST)
	}
	t.info, t.incarnation, t.link = info, incarnation, link
	t.free, t.full = int(info.GetSlots()), false
	t.draining = false
	d.opts.Broker.Attach(info)
	t.applyConfig(d.opts.Config.Load(), time.Now())
	d.queryAttempts(t)
	d.dispatchQueued()
}

// queryAttempts requests the states of all attempts in flight from the agent.
func (d *Dispatcher) queryAttempts(t *target) {
	if len(t.inFlight) == 0 {
		return
	}
	q := &peerv1.Query{}
	for key := range t.inFlight {
		q.Ids = append(q.Ids, key.proto())
	}
	t.send(&peerv1.Frame{Body: &peerv1.Frame_Query{Query: q}})
}

// Detach marks the target's link as disconnected. The outcome of its attempts stays open
// until the agent reconnects or recoveryWindow has passed.
func (d *Dispatcher) Detach(name string, link Sender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil || t.link != link {
		return
	}
	d.stopGrants(t)
	t.link = nil
	t.lostTimer = time.AfterFunc(recoveryWindow, func() { d.removeLost(name) })
}

// stopGrants stops granting and requesting slots of a target.
func (d *Dispatcher) stopGrants(t *target) {
	d.opts.Broker.Detach(t.info.GetName())
	d.brokers.reassign(t.broker, 0)
	t.broker = 0
	delete(d.blocked, t)
}

func (d *Dispatcher) removeLost(name string) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	t := d.targets[name]
	if t == nil || t.link != nil {
		return
	}
	delete(d.targets, name)
	d.failLostAttempts(t, apiv1.Reason_REASON_LINK_LOST)
	d.dispatchQueued()
}

// TargetStatus returns the status of all targets for operators.
func (d *Dispatcher) TargetStatus() []*apiv1.TargetStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	list := make([]*apiv1.TargetStatus, 0, len(d.targets))
	d.recordEjected(d.opts.Broker.EjectedTargets(), now)
	for name, t := range d.targets {
		list = append(list, &apiv1.TargetStatus{
			Name:           name,
			DataCentre:     t.info.GetDataCentre(),
			Rack:           t.info.GetRack(),
			Slots:          t.info.GetSlots(),
			Busy:           t.info.GetSlots() - uint32(max(0, min(t.free, int(t.info.GetSlots())))),
			Connected:      t.link != nil,
			Ejected:        now.Before(t.ejectedUntil),
			ConfigRevision: t.configRevision,
		})
	}
	return list
}

// Drain sends no more tasks to a target whose agent is shutting down.
func (d *Dispatcher) Drain(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[name]; t != nil {
		t.draining = true
		d.stopGrants(t)
	}
}

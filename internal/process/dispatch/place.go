package dispatch

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// isPossible reports whether any known target could ever run the task. With no
// target known the question is open, and the task waits.
func (d *Dispatcher) isPossible(t *Task, snapshot *config.Snapshot) bool {
	if len(d.targets) == 0 {
		return true
	}
	for _, tg := range d.targets {
		if tg.fits(t, snapshot) {
			return true
		}
	}
	return false
}

// placeDirectly sends the tasks of a line without a broker, on this entry's own
// estimate of free slots. An agent without one refuses.
func (d *Dispatcher) placeDirectly(l *line, snapshot *config.Snapshot, now time.Time) {
	for t := l.first(); t != nil && d.isWithinQuota(l.class.department, snapshot); t = l.first() {
		tg := d.choose(t, snapshot, now)
		if tg == nil {
			return
		}
		d.queue.remove(t)
		if !d.start(t, tg, 0, now) {
			return
		}
	}
}

// isWithinQuota reports whether a department may use one more slot through this
// entry: without a broker each entry holds an equal share of the quota.
func (d *Dispatcher) isWithinQuota(department string, snapshot *config.Snapshot) bool {
	quota := int(snapshot.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department).GetQuotaSlots())
	if quota == 0 {
		return true
	}
	return d.inUse[department] < max(1, quota/max(1, d.opts.Entries()))
}

// choose returns the target for a task, or nil. Targets in the own data centre
// come first; within a data centre the one with the most free slots is taken,
// ties at random.
func (d *Dispatcher) choose(t *Task, snapshot *config.Snapshot, now time.Time) *target {
	if snapshot.CheckDepartment(t.Department) != nil {
		return nil
	}
	var best *target
	var bestScore float64
	for _, tg := range d.targets {
		if t.current != nil && t.current.target == tg {
			continue
		}
		if !tg.isAvailable(now) || now.Before(tg.ejectedUntil) || !tg.fits(t, snapshot) {
			continue
		}
		if snapshot.CheckTarget(t.Department, tg.info.GetDataCentre(), tg.info.GetName()) != nil {
			continue
		}
		score := d.score(tg)
		if best == nil || score > bestScore {
			best, bestScore = tg, score
		}
	}
	return best
}

const (
	localBonus = 1e6
	tieBreak   = 0.5
)

func (d *Dispatcher) score(tg *target) float64 {
	score := float64(min(tg.free, int(tg.info.GetSlots())-len(tg.inFlight)))
	if tg.info.GetDataCentre() == d.opts.DataCentre && score > 0 {
		score += localBonus
	}
	return score + tieBreak*rand.Float64()
}

// start sends one attempt; broker is the entry that lent the slot, 0 for none.
// When the link takes no frame the task waits again and false is returned. The
// caller holds d.mu.
func (d *Dispatcher) start(t *Task, tg *target, broker uint64, now time.Time) bool {
	t.attempts++
	at := &attempt{
		key:    attemptKey{id: t.ID, task: t.Index, attempt: t.attempts},
		task:   t,
		target: tg,
		sentAt: now,
	}
	if !tg.send(startFrame(at, d.opts.Sender, broker != 0)) {
		// The link is closing and wrote nothing; Detach follows.
		d.block(tg, now)
		d.queue.pushFront(t)
		return false
	}
	if broker != 0 && d.hasQuota(t.Department, d.opts.Config.Load()) {
		at.broker = broker
	}
	d.inUse[t.Department]++
	d.started.Inc(1)
	d.pace.add(t.Department, d.queue.busy(t.Department, now))
	tg.free--
	tg.inFlight[at.key] = at
	if t.started != verdict.NotRun || t.current != nil {
		d.repeated.Inc(1)
	}
	t.phase = phaseSent
	if t.current == nil {
		t.current = at
	} else {
		t.second = at
	}
	return true
}

func startFrame(at *attempt, sender uint64, granted bool) *peerv1.Frame {
	t := at.task
	return &peerv1.Frame{Body: &peerv1.Frame_Start{Start: &peerv1.Start{
		Id:         at.key.proto(),
		Department: t.Department,
		Owner:      t.Owner,
		Task:       t.Spec,
		DeadlineMs: milliseconds(t.Deadline.Sub(at.sentAt)),
		Tasks:      t.JobTasks,
		Sender:     sender,
		ExpiresMs:  milliseconds(t.Expires.Sub(at.sentAt)),
		Granted:    granted,
	}}}
}

// block keeps a target without work for staleBackoff.
func (d *Dispatcher) block(tg *target, now time.Time) {
	d.blockFor(tg, now, staleBackoff)
}

func (d *Dispatcher) blockFor(tg *target, now time.Time, wait time.Duration) {
	tg.blockedUntil = now.Add(wait)
	d.blocked[tg] = struct{}{}
	time.AfterFunc(wait, d.Refresh)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

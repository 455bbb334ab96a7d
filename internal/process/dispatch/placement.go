package dispatch

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// isFeasible reports whether any known target could ever run the task. While no target
// is known it returns true, so that the task waits.
func (d *Dispatcher) isFeasible(t *Task, snapshot *config.Snapshot) bool {
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

// placeDirectly sends the tasks of a class without a broker, based on this entry's own
// estimate of free slots. An agent without a free slot refuses the task.
func (d *Dispatcher) placeDirectly(cq *classQueue, snapshot *config.Snapshot, now time.Time) {
	for t := cq.first(); t != nil && d.isWithinQuota(cq.class.department, snapshot); t = cq.first() {
		tg := d.chooseTarget(t, snapshot, now)
		if tg == nil {
			return
		}
		d.queue.remove(t)
		if !d.startAttempt(t, tg, 0, now) {
			return
		}
	}
}

// isWithinQuota reports whether a department may use one more slot through this entry
// without a broker. Each entry then has an equal share of the quota.
func (d *Dispatcher) isWithinQuota(department string, snapshot *config.Snapshot) bool {
	quota := int(snapshot.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department).GetQuotaSlots())
	if quota == 0 {
		return true
	}
	return d.inUse[department] < max(1, quota/max(1, d.opts.EntryCount()))
}

// chooseTarget returns the target for a task, or nil. Targets in this entry's data centre
// with free slots are preferred, then those with the most free slots. Ties are broken at
// random.
func (d *Dispatcher) chooseTarget(t *Task, snapshot *config.Snapshot, now time.Time) *target {
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
	localDataCentreBonus = 1e6
	tieBreakJitter       = 0.5
)

func (d *Dispatcher) score(tg *target) float64 {
	score := float64(min(tg.free, int(tg.info.GetSlots())-len(tg.inFlight)))
	if tg.info.GetDataCentre() == d.opts.DataCentre && score > 0 {
		score += localDataCentreBonus
	}
	return score + tieBreakJitter*rand.Float64()
}

// startAttempt sends an attempt of a task to a target. broker is the entry that granted
// the slot, or 0 without a granted slot. If the frame cannot be sent, the task is put back
// into the queue and startAttempt returns false. The caller holds d.mu.
func (d *Dispatcher) startAttempt(t *Task, tg *target, broker uint64, now time.Time) bool {
	t.lastAttempt++
	at := &attempt{
		key:    attemptKey{id: t.ID, task: t.Index, attempt: t.lastAttempt},
		task:   t,
		target: tg,
		sentAt: now,
	}
	if !tg.send(startFrame(at, d.opts.Incarnation, broker != 0)) {
		// The link is closing and did not write the frame; Detach follows.
		d.block(tg, now)
		d.queue.pushFront(t)
		return false
	}
	if broker != 0 && d.hasQuota(t.Department, d.opts.Config.Load()) {
		at.broker = broker
	}
	d.inUse[t.Department]++
	d.attemptsSent.Inc(1)
	d.startRates.add(t.Department, d.queue.backlogTime(t.Department, now))
	tg.free--
	tg.inFlight[at.key] = at
	if t.worstVerdict != verdict.NotRun || t.current != nil {
		d.attemptsRepeated.Inc(1)
	}
	t.phase = phaseSent
	if t.current == nil {
		t.current = at
	} else {
		t.speculative = at
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

// block stops sending tasks to a target for targetBackoff.
func (d *Dispatcher) block(tg *target, now time.Time) {
	d.blockFor(tg, now, targetBackoff)
}

func (d *Dispatcher) blockFor(tg *target, now time.Time, wait time.Duration) {
	tg.blockedUntil = now.Add(wait)
	d.blocked[tg] = struct{}{}
	time.AfterFunc(wait, d.Refresh)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

package dispatch

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// maxSkipped bounds the waiting tasks that one pump passes over because no
// target is available for them.
const maxSkipped = 64

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

// pump sends waiting tasks to available targets; the caller holds d.mu.
func (d *Dispatcher) pump() {
	if d.queue.len() == 0 || !d.opts.IsFresh() {
		return
	}
	now := time.Now()
	snapshot := d.opts.Config.Load()
	skipped := 0
	d.queue.each(func(t *Task) bool {
		tg := d.choose(t, snapshot, now)
		if tg == nil {
			skipped++
			return skipped < maxSkipped
		}
		d.queue.remove(t)
		d.start(t, tg, now)
		return true
	})
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
		if !tg.isAvailable(now) || !tg.fits(t, snapshot) {
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

// start sends one attempt; the caller holds d.mu.
func (d *Dispatcher) start(t *Task, tg *target, now time.Time) {
	t.attempts++
	at := &attempt{
		key:    attemptKey{id: t.ID, task: t.Index, attempt: t.attempts},
		task:   t,
		target: tg,
		sentAt: now,
	}
	frame := &peerv1.Frame{Body: &peerv1.Frame_Start{Start: &peerv1.Start{
		Id:         at.key.proto(),
		Department: t.Department,
		Owner:      t.Owner,
		Task:       t.Spec,
		DeadlineMs: milliseconds(t.Deadline.Sub(now)),
		Tasks:      t.JobTasks,
		Sender:     d.opts.Sender,
		ExpiresMs:  milliseconds(t.Expires.Sub(now)),
	}}}
	if !tg.send(frame) {
		// The link is closing and wrote nothing; Detach follows.
		tg.blockedUntil = now.Add(staleBackoff)
		d.queue.pushFront(t)
		return
	}
	d.started.Inc(1)
	tg.free--
	tg.inFlight[at.key] = at
	t.phase = phaseSent
	t.current = at
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

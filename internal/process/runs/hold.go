package runs

import (
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// heldStart is a start that waits for capacity. No order of it has been sent to the target, so
// it can be refused at any time.
type heldStart struct {
	owner uint64
	start peer.Start
	// acceptedAt and until are times of Manager.clock. The start is not executed later than until,
	// also if this process was paused: its entry may have given the attempt up.
	acceptedAt, until time.Duration
}

// mayHoldLocked reports whether a start without capacity should wait here: its entry allows it,
// and by the runs here and the starts that wait already there will be capacity in time.
func (m *Manager) mayHoldLocked(s peer.Start) bool {
	if s.WaitFor <= 0 || s.Isolated || m.isFullLocked() || !s.Need.FitsIn(m.target.Capacity) {
		return false
	}
	now := m.clock()
	var releases load.TargetReleases
	for _, r := range m.runs {
		releases.Add(r.expectedEnd(), r.need.CPU)
	}
	needed := m.heldNeedLocked().CPU + s.Need.CPU - m.freeLocked().CPU
	return releases.FreedBy(now, now+s.WaitFor) >= needed
}

// expectedEnd returns when a run should end.
func (r *run) expectedEnd() time.Duration { return max(r.startedAt, r.orderedAt) + r.expected }

func (m *Manager) holdLocked(o *owner, s peer.Start) {
	now := m.clock()
	m.held = append(m.held, heldStart{owner: o.incarnation, start: s, acceptedAt: now, until: now + s.WaitFor})
	m.opts.Counters.Counter("starts_held").Inc(1)
	m.opts.Log.Info().Str("job", s.Attempt.Key.Job).Stringer("task", s.Attempt.Key).Uint64("run", s.Attempt.Run).
		Str("entry", o.name).Dur("wait_for", s.WaitFor).Int("held", len(m.held)).Int64("free_cpu", m.freeLocked().CPU).
		Msg("start held until the target has capacity")
	m.markFreeCapacityDirtyLocked()
}

// heldNeedLocked returns the resources that the held starts need together.
func (m *Manager) heldNeedLocked() task.Resources {
	var need task.Resources
	for i := range m.held {
		need = need.Add(m.held[i].start.Need)
	}
	return need
}

// isBehindHeldLocked reports whether a start must leave the free capacity to starts that arrived
// before it.
func (m *Manager) isBehindHeldLocked(s peer.Start) bool {
	return len(m.held) > 0 && !s.Need.FitsIn(m.freeLocked().Sub(m.heldNeedLocked()))
}

// startHeldLocked begins the held starts that fit now, in the order of their arrival, and refuses
// those whose time has passed.
func (m *Manager) startHeldLocked() {
	if len(m.held) == 0 {
		return
	}
	held := m.held
	m.held = nil
	now := m.clock()
	var waiting []heldStart
	for _, h := range held {
		o := m.owners[h.owner]
		refusal := peer.RefusalUnavailable
		if o != nil {
			refusal = m.refusalLocked(o, h.start)
		}
		present := m.runs[h.start.Attempt.Key]
		switch {
		case now >= h.until:
			m.refuseOneHeldLocked(h, peer.RefusalNoCapacity)
		case present != nil && o != nil:
			m.awaitEndLocked(o, h.start.Attempt, present)
		case refusal == peer.RefusalNoCapacity:
			waiting = append(waiting, h)
		case refusal == peer.RefusalNone:
			m.opts.Counters.Counter("starts_held_begun").Inc(1)
			m.beginLocked(o, h.start, refusal, h.acceptedAt)
		default:
			m.refuseOneHeldLocked(h, refusal)
		}
	}
	m.held = append(waiting, m.held...)
}

// refuseOneHeldLocked refuses a start that was held.
func (m *Manager) refuseOneHeldLocked(h heldStart, refusal peer.Refusal) {
	a := h.start.Attempt
	m.opts.Counters.Counter("starts_held_refused").Inc(1)
	m.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).Str("refusal", string(refusal)).
		Dur("held", m.clock()-h.acceptedAt).Msg("held start refused")
	m.sendResultLocked(h.owner, a, peer.OutcomeRefused, refusal)
	m.markFreeCapacityDirtyLocked()
}

// refuseHeldLocked refuses the held starts that match, and returns their number.
func (m *Manager) refuseHeldLocked(refusal peer.Refusal, match func(*heldStart) bool) int {
	var refused []heldStart
	m.held = slices.DeleteFunc(m.held, func(h heldStart) bool {
		if match(&h) {
			refused = append(refused, h)
			return true
		}
		return false
	})
	for _, h := range refused {
		m.refuseOneHeldLocked(h, refusal)
	}
	return len(refused)
}

// refuseHeldOfLocked refuses the held starts of an entry that is not linked any more.
func (m *Manager) refuseHeldOfLocked(incarnation uint64) {
	m.refuseHeldLocked(peer.RefusalUnavailable, func(h *heldStart) bool { return h.owner == incarnation })
}

// isHeldLocked reports whether starts of an entry are held.
func (m *Manager) isHeldLocked(incarnation uint64) bool {
	return slices.ContainsFunc(m.held, func(h heldStart) bool { return h.owner == incarnation })
}

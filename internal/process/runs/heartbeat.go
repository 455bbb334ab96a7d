package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

const (
	// slowPace is the pace below which the progress of a run is reported to its entry.
	slowPace = 0.5
	// freeCapacityIntervalPerLink limits how often the free capacity is sent to entries that
	// did not cause its change: the interval grows with the number of links, since the
	// number of updates would otherwise grow with the square of the fleet's size. While
	// amplePercent of the capacity is free, entries place tasks well with older data too,
	// so the interval is longer by ampleFactor.
	freeCapacityIntervalPerLink = 3 * time.Millisecond
	amplePercent                = 35
	ampleFactor                 = 4
)

func (m *Manager) heartbeatLocked(o *owner, now time.Time) {
	if o.link == nil {
		return
	}
	progress := m.progressLocked(o)
	interval := peer.IdleHeartbeat
	switch {
	case o.freeCapacityDirty:
		interval = min(m.freeCapacityIntervalLocked(), peer.BusyHeartbeat)
	case len(progress) > 0:
		interval = peer.SlowHeartbeat
	case o.runCount > 0:
		interval = peer.BusyHeartbeat
	}
	if now.Sub(o.lastSent) < interval {
		return
	}
	o.lastSent = now
	o.link.Send(peer.Frame{Progress: progress})
}

func (m *Manager) freeCapacityIntervalLocked() time.Duration {
	interval := time.Duration(len(m.owners)) * freeCapacityIntervalPerLink
	if t := m.target; t != nil && m.freeLocked().CPU*100 >= t.Capacity.CPU*amplePercent {
		interval *= ampleFactor
	}
	return interval
}

// progressLocked returns the runs of o that advance slowly or not at all.
func (m *Manager) progressLocked(o *owner) []peer.Progress {
	var progress []peer.Progress
	for _, r := range m.runs {
		pace, known := r.pace.Pace()
		if r.owner == o.incarnation && r.phase == phaseRunning && known && pace < slowPace {
			progress = append(progress, peer.Progress{Attempt: r.attempt, Percent: r.percent, Pace: int(pace * 100)})
		}
	}
	return progress
}

package runs

import (
	"slices"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// updateDemandLocked records what the waiting tasks of an entry need. The other entries
// learn of a change with the free capacity.
func (m *Manager) updateDemandLocked(o *owner, demand task.Demand) {
	o.demandAt = m.clock()
	if slices.Equal(o.demand, demand) {
		return
	}
	o.demand = demand
	for _, other := range m.owners {
		if other != o {
			other.freeCapacityDirty = true
		}
	}
}

// demandOfOthersLocked returns what the waiting tasks of all entries but one need. An entry
// that is disconnected or silent does not count.
func (m *Manager) demandOfOthersLocked(o *owner) task.Demand {
	var sum task.Demand
	now := m.clock()
	for _, other := range m.owners {
		if other == o || other.link == nil || now-other.demandAt > peer.SuspectAfter {
			continue
		}
		for _, p := range other.demand {
			sum = sum.Add(p.Priority, p.CPU)
		}
	}
	return sum
}

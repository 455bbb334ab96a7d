package slots

import (
	"slices"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// target is the broker's state of one target.
type target struct {
	info     *peerv1.TargetInfo
	attached bool
	// brokered is set while the agent names this entry as the target's broker.
	brokered bool
	// free is the number of free slots in the agent's last report.
	free int
	// granted is the number of granted slots that were neither returned nor used by a
	// start that the agent has reported.
	granted int
	// unclaimed is the part of granted that was granted before the last sweep.
	unclaimed int
	// lastLoad is the agent's last report, received at lastLoadAt.
	lastLoad   *peerv1.Load
	lastLoadAt time.Time
	health     health
	// linkedEntries are the entries that have a link to the agent; nil means all.
	linkedEntries []uint64

	// level and position locate the target in the index of its data centre.
	dataCentre *dataCentre
	level      int
	position   int
}

// available returns the number of slots that can be granted now.
func (t *target) available() int {
	if !t.attached || !t.brokered {
		return 0
	}
	return t.health.grantLimit(max(0, t.free-t.granted))
}

// isLinked reports whether an entry has a link to the target's agent.
func (t *target) isLinked(entry uint64) bool {
	return t.linkedEntries == nil || slices.Contains(t.linkedEntries, entry)
}

// claim settles n granted slots that were used or returned.
func (t *target) claim(n int) {
	n = min(n, t.granted)
	t.granted -= n
	t.unclaimed = max(0, t.unclaimed-n)
}

// sweep reclaims the slots that were granted before the last sweep and not used, because
// the entry that got them is gone. It returns their number.
func (t *target) sweep() int {
	lost := t.unclaimed
	t.granted -= lost
	t.unclaimed = t.granted
	return lost
}

// Fits reports whether a target could ever run a task of this size and department,
// according to the target's own information.
func Fits(info *peerv1.TargetInfo, department string, need *apiv1.Size) bool {
	have := info.GetSize()
	if need.GetCpus() > have.GetCpus() || need.GetMemoryMb() > have.GetMemoryMb() || need.GetAccelerators() > have.GetAccelerators() {
		return false
	}
	departments := info.GetDepartments()
	return len(departments) == 0 || slices.Contains(departments, department)
}

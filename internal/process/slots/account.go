package slots

import (
	"slices"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// account is what the broker knows of one target's slots.
type account struct {
	info *peerv1.TargetInfo
	up   bool
	// mine is set while the target's agent names this entry as its broker.
	mine bool
	// free is the agent's last report.
	free int
	// granted are slots lent since then whose start the agent has not reported.
	granted int
	// unclaimed is the part of granted that is older than the last sweep.
	unclaimed int
	// last is the agent's last report in full.
	last   *peerv1.Load
	lastAt time.Time
	health health
	// linked are the entries that the agent is linked with; nil means all.
	linked []uint64

	zone     *zone
	level    int
	position int
}

// available returns how many slots may be granted.
func (a *account) available() int {
	if !a.up || !a.mine {
		return 0
	}
	return a.health.limit(max(0, a.free-a.granted))
}

// isLinked reports whether an entry can send a start to the target.
func (a *account) isLinked(entry uint64) bool {
	return a.linked == nil || slices.Contains(a.linked, entry)
}

// claim takes n granted slots as used or given back.
func (a *account) claim(n int) {
	n = min(n, a.granted)
	a.granted -= n
	a.unclaimed = max(0, a.unclaimed-n)
}

// sweep writes off the slots that were granted before the last sweep and never
// used: the entry that got them is gone.
func (a *account) sweep() int {
	lost := a.unclaimed
	a.granted -= lost
	a.unclaimed = a.granted
	return lost
}

// Fits reports whether a target could ever hold a task of a size and a
// department, as far as the target itself says.
func Fits(info *peerv1.TargetInfo, department string, need *apiv1.Size) bool {
	have := info.GetSize()
	if need.GetCpus() > have.GetCpus() || need.GetMemoryMb() > have.GetMemoryMb() || need.GetAccelerators() > have.GetAccelerators() {
		return false
	}
	departments := info.GetDepartments()
	return len(departments) == 0 || slices.Contains(departments, department)
}

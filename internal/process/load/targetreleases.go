package load

import "time"

// TargetReleases predicts how much capacity the runs at one target free. It answers a load in
// which several entries compete for targets that take few tasks each: a start that finds the target
// full waits there only if a run is about to end, and otherwise tries elsewhere at once. A run that
// has taken longer than expected is not counted: it may be far longer than others.
type TargetReleases struct {
	list []Release
}

// Add records a run that is expected to end at a time.
func (t *TargetReleases) Add(at time.Duration, cpu int64) {
	t.list = append(t.list, Release{At: at, CPU: cpu})
}

// FreedBy returns the capacity, in thousandths of a core, that will be free by a time.
func (t *TargetReleases) FreedBy(now, by time.Duration) int64 {
	var cpu int64
	for _, r := range t.list {
		if r.At >= now && r.At <= by {
			cpu += r.CPU
		}
	}
	return cpu
}

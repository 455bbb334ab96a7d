package load

import (
	"slices"
	"time"
)

// Release is room that a running task gives back.
type Release struct {
	// At is its expected end, as a time since the epoch.
	At time.Duration
	// CPU is in thousandths of a core.
	CPU int64
}

// Releases foretells when room becomes free. It answers the first second after an
// outage and the peak of a burst, when the room has been filled at one moment: what
// was started lately says nothing of when it ends.
type Releases struct {
	list   []Release
	sorted bool
}

// Reset forgets all.
func (r *Releases) Reset() { r.list, r.sorted = r.list[:0], false }

// Len returns the number of running tasks that are known.
func (r *Releases) Len() int { return len(r.list) }

// Add notes a running task.
func (r *Releases) Add(x Release) {
	r.list = append(r.list, x)
	r.sorted = false
}

// Scale multiplies the room of each release.
func (r *Releases) Scale(factor float64) {
	for i := range r.list {
		r.list[i].CPU = int64(factor * float64(r.list[i].CPU))
	}
}

// When returns when so many thousandths of a core will have become free, and
// whether they will.
func (r *Releases) When(now time.Duration, cpu int64) (time.Duration, bool) {
	if cpu <= 0 {
		return now, true
	}
	if !r.sorted {
		slices.SortFunc(r.list, func(a, b Release) int { return int(a.At - b.At) })
		r.sorted = true
	}
	for _, x := range r.list {
		if cpu -= x.CPU; cpu <= 0 {
			return max(x.At, now), true
		}
	}
	return 0, false
}

// ShouldBegin reports whether a job should be begun whose tasks need more room than
// is free: when the last of them can still start in time. A job that is begun and
// ends late has taken the room of one that would have been in time. It answers
// overloads, in which jobs of many tasks find room for some of them only.
func (r *Releases) ShouldBegin(now, latestStart time.Duration, missing int64) bool {
	at, ok := r.When(now, missing)
	return ok && at <= latestStart
}

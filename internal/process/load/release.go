package load

import (
	"cmp"
	"slices"
	"time"
)

// Release is the capacity that a running task frees when it ends.
type Release struct {
	// At is the expected end of the task, as a duration since the scheduler's start.
	At time.Duration
	// CPU is in thousandths of a core.
	CPU int64
}

// Releases predicts when capacity becomes free. It covers the first second after an
// outage and the peak of a burst, when all capacity was filled at one moment: the time
// at which the runs will end cannot be derived from the recent rate of starts then.
type Releases struct {
	list   []Release
	sorted bool
	// turnover is the capacity that the known tasks free per nanosecond, if each is at
	// a random point of its run.
	turnover float64
	ownCPU   int64
	// othersCPU is the capacity used by tasks of other entries, which are not known
	// individually.
	othersCPU int64
}

// Reset discards all entries.
func (r *Releases) Reset() { *r = Releases{list: r.list[:0]} }

// Len returns the number of known running tasks.
func (r *Releases) Len() int { return len(r.list) }

// Add records a running task; run is its expected total run time.
func (r *Releases) Add(x Release, run time.Duration) {
	r.list = append(r.list, x)
	r.sorted = false
	r.ownCPU += x.CPU
	r.turnover += float64(x.CPU) / float64(max(run, time.Millisecond))
}

// AddOthers records capacity used by tasks of other entries. They are assumed to be
// like the known tasks, each at a random point of its run.
func (r *Releases) AddOthers(cpu int64) { r.othersCPU += max(cpu, 0) }

// FreeAt returns when cpu thousandths of a core will have become free. It reports false
// if the running tasks free less than cpu.
func (r *Releases) FreeAt(now time.Duration, cpu int64) (time.Duration, bool) {
	if cpu <= 0 {
		return now, true
	}
	if !r.sorted {
		slices.SortFunc(r.list, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
		r.sorted = true
	}
	for _, x := range r.list {
		at := max(x.At, now)
		if r.releasedByOthers(at-now) >= cpu {
			break
		}
		cpu -= x.CPU
		if r.releasedByOthers(at-now) >= cpu {
			return at, true
		}
	}
	if rate := r.othersRate(); cpu <= r.othersCPU && rate > 0 {
		return now + time.Duration(float64(cpu)/rate), true
	}
	return 0, false
}

// othersRate returns the capacity that tasks of other entries free per nanosecond.
func (r *Releases) othersRate() float64 {
	return r.turnover * float64(r.othersCPU) / float64(max(r.ownCPU, 1))
}

func (r *Releases) releasedByOthers(d time.Duration) int64 {
	return min(int64(r.othersRate()*float64(d)), r.othersCPU)
}

// ShouldBegin reports whether to begin a job that needs more capacity than is free:
// only if its last task can still start in time. A job that begins and ends late has
// used capacity of one that would have met its objective. This matters in an overload,
// when jobs of many tasks find capacity for only some of them.
func (r *Releases) ShouldBegin(now, latestStart time.Duration, missing int64) bool {
	at, ok := r.FreeAt(now, missing)
	return ok && at <= latestStart
}

// waveDivisor sets the part of all capacity, 1/waveDivisor, that one job can expect to
// find free at once.
const waveDivisor = 4

// FirstWave returns the capacity that a job needs free to begin. A job that needs more
// than a quarter of all capacity runs in waves, since it would never find capacity for
// all of its tasks at once.
func FirstWave(cpu, capacity int64) int64 { return min(cpu, capacity/waveDivisor) }

package load

import (
	"cmp"
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

// Releases predicts when room becomes free. It answers the first second after an
// outage and the peak of a burst, when the room has been filled at one moment: what
// was started lately says nothing of when it ends.
type Releases struct {
	list   []Release
	sorted bool
	// turnover is the room that the running tasks give back in a nanosecond if they
	// are met at any point of their run.
	turnover float64
	total    int64
	// others is the room in use by tasks that are not known one by one.
	others int64
}

// Reset forgets all.
func (r *Releases) Reset() { *r = Releases{list: r.list[:0]} }

// Len returns the number of running tasks that are known.
func (r *Releases) Len() int { return len(r.list) }

// Add notes a running task that should take a time in all.
func (r *Releases) Add(x Release, run time.Duration) {
	r.list = append(r.list, x)
	r.sorted = false
	r.total += x.CPU
	r.turnover += float64(x.CPU) / float64(max(run, time.Millisecond))
}

// AddOthers notes room that is used by tasks of other entries. They are taken to be
// like those known, at any point of their run.
func (r *Releases) AddOthers(cpu int64) { r.others += max(cpu, 0) }

// When returns when so many thousandths of a core will have become free, and
// whether they will.
func (r *Releases) When(now time.Duration, cpu int64) (time.Duration, bool) {
	if cpu <= 0 {
		return now, true
	}
	if !r.sorted {
		slices.SortFunc(r.list, func(a, b Release) int { return cmp.Compare(a.At, b.At) })
		r.sorted = true
	}
	for _, x := range r.list {
		at := max(x.At, now)
		if r.fromOthers(at-now) >= cpu {
			break
		}
		cpu -= x.CPU
		if r.fromOthers(at-now) >= cpu {
			return at, true
		}
	}
	if rate := r.rate(); cpu <= r.others && rate > 0 {
		return now + time.Duration(float64(cpu)/rate), true
	}
	return 0, false
}

// rate returns the room that the tasks of other entries give back in a nanosecond.
func (r *Releases) rate() float64 {
	return r.turnover * float64(r.others) / float64(max(r.total, 1))
}

func (r *Releases) fromOthers(d time.Duration) int64 {
	return min(int64(r.rate()*float64(d)), r.others)
}

// ShouldBegin reports whether a job should be begun whose tasks need more room than
// is free: when the last of them can still start in time. A job that is begun and
// ends late has taken the room of one that would have been in time. It answers
// overloads, in which jobs of many tasks find room for some of them only.
func (r *Releases) ShouldBegin(now, latestStart time.Duration, missing int64) bool {
	at, ok := r.When(now, missing)
	return ok && at <= latestStart
}

// waveShare is the part of all room, as its reciprocal, that one job may be expected
// to find at once.
const waveShare = 4

// FirstWave returns the room that a job needs to begin. One that is wider than a
// quarter of all room runs in waves. It answers very wide jobs, which would never find
// room for all of their tasks at once.
func FirstWave(cpu, capacity int64) int64 { return min(cpu, capacity/waveShare) }

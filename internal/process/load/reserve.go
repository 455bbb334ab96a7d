package load

import (
	"math"
	"time"
)

const (
	// reserveMemory is the time over which the work of each priority is averaged.
	reserveMemory = 2 * time.Second
	// reserveDeviations is the room kept for more urgent work, in standard deviations
	// of what that work uses.
	reserveDeviations = 1.0
	// maxReserve bounds it as a share of all room.
	maxReserve = 0.15
)

// Reserve says how much room less urgent work leaves free for more urgent work: trunk
// reservation. Work that comes first by priority but has little time to wait finds no
// room where the rest has filled all of it with what could have waited; a small part
// of the room, left free by the rest, serves it at once. It answers a burst of one
// queue beside another whose jobs are short, wide and urgent.
//
// Urgent jobs that arrive at random and find room use an amount of it that varies as a
// Poisson process does, so the variance follows from their rate, width and run time.
type Reserve struct {
	priorities map[int]*variance
}

// variance is that of the room in use, in square thousandths of a core, as a sum over
// arrivals that fades.
type variance struct {
	sum float64
	at  time.Duration
}

// NewReserve returns one that has seen nothing.
func NewReserve() *Reserve { return &Reserve{priorities: make(map[int]*variance)} }

// Arrived notes a job of a priority that uses so many thousandths of a core for a time.
func (r *Reserve) Arrived(priority int, now time.Duration, cpu int64, run time.Duration) {
	v := r.priorities[priority]
	if v == nil {
		v = &variance{}
		r.priorities[priority] = v
	}
	v.sum = v.faded(now) + float64(cpu)*float64(cpu)*run.Seconds()
	v.at = now
}

func (v *variance) faded(now time.Duration) float64 {
	return v.sum * math.Exp(-float64(now-v.at)/float64(reserveMemory))
}

// For returns the room that work of a priority leaves free, in thousandths of a core.
// all is the room there is, and entries the number of those like this one that use it.
func (r *Reserve) For(priority int, now time.Duration, all int64, entries int) int64 {
	sum := 0.0
	for p, v := range r.priorities {
		if p < priority {
			sum += v.faded(now)
		}
	}
	deviation := math.Sqrt(sum / reserveMemory.Seconds() * float64(max(entries, 1)))
	return int64(min(reserveDeviations*deviation, maxReserve*float64(all)))
}

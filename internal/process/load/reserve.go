package load

import (
	"math"
	"time"
)

const (
	// reserveWindow is the time constant of the average of the work of each priority.
	reserveWindow = 2 * time.Second
	// reserveDeviations is the capacity reserved for more urgent work, in standard
	// deviations of the capacity that this work uses.
	reserveDeviations = 1.0
	// maxReserveShare caps the reserve as a share of all capacity.
	maxReserveShare = 0.15
)

// Reserve computes how much capacity less urgent work leaves free for more urgent work
// (trunk reservation). Urgent work with little time to wait finds no capacity if less
// urgent work, which could have waited, has filled all of it; a small reserve serves it
// at once. It addresses a burst in one queue beside another queue of short, wide,
// urgent jobs.
//
// Urgent jobs arriving at random with capacity available use an amount of it that
// varies like a Poisson process, so its variance follows from their rate, width and run
// time.
type Reserve struct {
	priorities map[int]*variance
}

// variance is the variance of the capacity in use, in square thousandths of a core, as
// an exponentially decaying sum over arrivals.
type variance struct {
	sum float64
	at  time.Duration
}

// NewReserve returns a Reserve without observations.
func NewReserve() *Reserve { return &Reserve{priorities: make(map[int]*variance)} }

// RecordArrival records a job of a priority that uses cpu thousandths of a core for the
// duration run.
func (r *Reserve) RecordArrival(priority int, now time.Duration, cpu int64, run time.Duration) {
	v := r.priorities[priority]
	if v == nil {
		v = &variance{}
		r.priorities[priority] = v
	}
	v.sum = v.decayed(now) + float64(cpu)*float64(cpu)*run.Seconds()
	v.at = now
}

func (v *variance) decayed(now time.Duration) float64 {
	return v.sum * math.Exp(-float64(now-v.at)/float64(reserveWindow))
}

// ReservedCPU returns the capacity that work of a priority leaves free, in thousandths
// of a core. all is the total capacity, and entries the number of entries that share
// it.
func (r *Reserve) ReservedCPU(priority int, now time.Duration, all int64, entries int) int64 {
	sum := 0.0
	for p, v := range r.priorities {
		if p < priority {
			sum += v.decayed(now)
		}
	}
	deviation := math.Sqrt(sum / reserveWindow.Seconds() * float64(max(entries, 1)))
	return int64(min(reserveDeviations*deviation, maxReserveShare*float64(all)))
}

package dispatch

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of histogram buckets per doubling of the run
	// time.
	bucketsPerDoubling = 4
	runTimeBuckets     = 80
	// maxSamples is the number of samples at which all counts are halved, so that
	// older run times weigh less.
	maxSamples = 4096
	// minSamples is the number of samples from which quantiles are returned.
	minSamples = 100
	// maxKinds limits the number of kinds with a histogram of their own. All others
	// share that of overflowKind.
	maxKinds     = 1000
	overflowKind = ""
)

// runTimes holds a histogram of run times for each kind of task.
type runTimes struct {
	kinds map[string]*runTimeHistogram
}

// runTimeHistogram counts run times in logarithmic buckets from 1 ms upwards.
type runTimeHistogram struct {
	counts [runTimeBuckets]uint32
	total  uint32
}

func (r *runTimes) add(kind string, d time.Duration) {
	h, ok := r.kinds[kind]
	if !ok && len(r.kinds) >= maxKinds {
		kind = overflowKind
		h, ok = r.kinds[kind]
	}
	if !ok {
		h = &runTimeHistogram{}
		r.kinds[kind] = h
	}
	h.add(d)
}

func (h *runTimeHistogram) add(d time.Duration) {
	bucket := int(math.Log2(max(1, d.Seconds()*1000)) * bucketsPerDoubling)
	h.counts[min(bucket, runTimeBuckets-1)]++
	h.total++
	if h.total < maxSamples {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// quantile returns the run time that the given share of a kind's tasks does not exceed,
// or false while there are fewer than minSamples.
func (r *runTimes) quantile(kind string, share float64) (time.Duration, bool) {
	h, ok := r.kinds[kind]
	if !ok {
		h, ok = r.kinds[overflowKind]
	}
	if !ok || h.total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(share * float64(h.total)))
	sum := uint32(0)
	for i, n := range h.counts {
		sum += n
		if sum >= rank {
			upper := math.Exp2(float64(i+1) / bucketsPerDoubling)
			return time.Duration(upper * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

package dispatch

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution of learned run times.
	bucketsPerDoubling = 4
	runTimeBuckets     = 80
	// maxSamples is the weight at which older run times count half.
	maxSamples = 4096
	// minSamples is the least number of run times to judge a kind by.
	minSamples = 100
	// maxKinds bounds the kinds that are learned apart; the rest share one.
	maxKinds = 1000
	restKind = ""
)

// runTimes learns how long the tasks of each kind run.
type runTimes struct {
	kinds map[string]*runTimeHistogram
}

// runTimeHistogram counts run times on a logarithmic scale from 1 ms.
type runTimeHistogram struct {
	counts [runTimeBuckets]uint32
	total  uint32
}

func (r *runTimes) add(kind string, d time.Duration) {
	h, ok := r.kinds[kind]
	if !ok && len(r.kinds) >= maxKinds {
		kind = restKind
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

// quantile returns a time that the given share of the kind's tasks does not
// exceed, or false while too few are known.
func (r *runTimes) quantile(kind string, share float64) (time.Duration, bool) {
	h, ok := r.kinds[kind]
	if !ok {
		h, ok = r.kinds[restKind]
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

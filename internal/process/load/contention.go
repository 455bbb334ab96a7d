package load

import (
	"math"
	"time"
)

const (
	// contentionWeight is the weight of one start in the moving average of refusals.
	contentionWeight = 0.02
	// contentionHalfLife is the half-life of that average.
	contentionHalfLife = 500 * time.Millisecond
	// maxContention caps the share, so that some jobs are always started.
	maxContention = 0.6
)

// Contention measures the share of starts that are refused because other entries took
// the capacity first. It addresses overload with several entries sharing the same
// targets: each predicts the same free capacity, so jobs would start, or wait, for
// capacity that goes to another entry, and end late or be refused only after their time
// has run out.
type Contention struct {
	share float64
	at    time.Duration
}

// Observe records whether a start was refused for lack of capacity.
func (c *Contention) Observe(now time.Duration, refused bool) {
	share := c.decayed(now)
	x := 0.0
	if refused {
		x = 1
	}
	c.share, c.at = share+contentionWeight*(x-share), now
}

func (c *Contention) decayed(now time.Duration) float64 {
	return c.share * math.Exp2(-float64(now-c.at)/float64(contentionHalfLife))
}

// RequiredCPU returns the capacity that must become free for this entry to obtain cpu
// of it.
func (c *Contention) RequiredCPU(now time.Duration, cpu int64) int64 {
	if cpu <= 0 {
		return cpu
	}
	return int64(float64(cpu) / (1 - min(c.decayed(now), maxContention)))
}

package load

import (
	"math"
	"time"
)

const (
	// contentionWeight is the weight of one start in the share of those refused.
	contentionWeight = 0.02
	// contentionHalfLife is how fast that share is forgotten.
	contentionHalfLife = 500 * time.Millisecond
	// maxContention bounds it, so that something is always begun.
	maxContention = 0.6
)

// Contention measures which share of the starts finds that other entries have taken the
// room first. It answers an overload with many entries before the same targets: each
// foresees the same room, so jobs were begun, or waited, for room that went to others,
// and ended late or were refused only when their time was over.
type Contention struct {
	share float64
	at    time.Duration
}

// Observe notes a start that was refused for want of room, or was not.
func (c *Contention) Observe(now time.Duration, refused bool) {
	share := c.faded(now)
	x := 0.0
	if refused {
		x = 1
	}
	c.share, c.at = share+contentionWeight*(x-share), now
}

func (c *Contention) faded(now time.Duration) float64 {
	return c.share * math.Exp2(-float64(now-c.at)/float64(contentionHalfLife))
}

// Wanted returns the room that must become free for this entry to get so much of it.
func (c *Contention) Wanted(now time.Duration, cpu int64) int64 {
	if cpu <= 0 {
		return cpu
	}
	return int64(float64(cpu) / (1 - min(c.faded(now), maxContention)))
}

package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the backoff before jitter.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxDoublings bounds the shift; minBackoff doubled 7 times already exceeds
	// maxBackoff.
	maxDoublings = 7
)

// Backoff returns the delay before the next attempt after a number of failed ones. The
// delay doubles with each failure and has a jitter of half of it either way, so that
// attempts that failed together do not retry together.
func Backoff(failed int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(max(failed-1, 0), maxDoublings))
	return d/2 + rand.N(d)
}

package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the backoff.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxDoublings keeps the shift below maxBackoff.
	maxDoublings = 7
)

// Backoff returns how long to wait before the next attempt after a number of
// failed ones: a time that doubles with each, with jitter of half of it, so that
// attempts that failed together do not return together.
func Backoff(failed int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(max(failed-1, 0), maxDoublings))
	return d/2 + rand.N(d)
}

package server

import "time"

const (
	// minRedialDelay and maxEarlyRedialDelay bound the delay between dials within
	// earlyRedialPeriod of the first failure: an entry that restarts is back in about a
	// second, and its callers wait for it.
	minRedialDelay      = 10 * time.Millisecond
	maxEarlyRedialDelay = 40 * time.Millisecond
	earlyRedialPeriod   = time.Second
	// maxRedialDelay bounds the delay after earlyRedialPeriod.
	maxRedialDelay = 500 * time.Millisecond
	// steadyLinkTime is how long a link, with its dial, must have lasted for the entry to be
	// dialled again without a delay: until the next link the entry cannot stop the runs of callers
	// whose connections were reset too, and they may have sent their jobs to another entry. It
	// limits the dials of an entry that ends each link soon.
	steadyLinkTime = 100 * time.Millisecond
)

// redialBackoff is the exponential backoff, with jitter, between dials of an entry that
// does not answer. It limits the load in two cases: all entries are lost at once and
// every agent redials all of its entries, or an entry is gone for good and each of its
// agents redials it for as long as it is listed.
type redialBackoff struct {
	// firstFailure is the time of the first failure.
	firstFailure time.Time
	delay        time.Duration
	// noDelay is set if the next dial follows without a delay.
	noDelay bool
}

// linkEnded resets the delay after the end of a link, which lasted this long with its dial.
func (r *redialBackoff) linkEnded(lasted time.Duration) {
	*r = redialBackoff{noDelay: lasted >= steadyLinkTime}
}

// next returns the delay before the next dial. random, in [0, 1), is the jitter that spreads the
// dials of agents that lost an entry at the same time.
func (r *redialBackoff) next(now time.Time, random float64) time.Duration {
	if r.noDelay {
		r.noDelay = false
		return 0
	}
	if r.firstFailure.IsZero() {
		r.firstFailure = now
	}
	limit := maxEarlyRedialDelay
	if now.Sub(r.firstFailure) > earlyRedialPeriod {
		limit = maxRedialDelay
	}
	r.delay = min(max(2*r.delay, minRedialDelay), limit)
	return r.delay/2 + time.Duration(random*float64(r.delay))
}

// reset resets the delay: the entry is known to have restarted.
func (r *redialBackoff) reset() { *r = redialBackoff{} }

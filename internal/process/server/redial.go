package server

import "time"

const (
	// redialMin and redialSoon bound the pause between calls of an entry within
	// redialQuick of its loss: one that starts again is back in a second or so, and its
	// callers wait for it.
	redialMin   = 10 * time.Millisecond
	redialSoon  = 40 * time.Millisecond
	redialQuick = time.Second
	// redialMax bounds the pause later.
	redialMax = 500 * time.Millisecond
)

// redial spaces the calls of one entry that does not answer. It answers the loss of
// every entry at once, after which all agents call all of theirs, and an entry that is
// gone for good, which each of them would call for as long as it is listed.
type redial struct {
	since time.Time
	pause time.Duration
}

// next returns the pause before the next call, after one that failed. random is in
// [0, 1): agents that lost an entry together don't call it together.
func (r *redial) next(now time.Time, random float64) time.Duration {
	if r.since.IsZero() {
		r.since = now
	}
	limit := redialSoon
	if now.Sub(r.since) > redialQuick {
		limit = redialMax
	}
	r.pause = min(max(2*r.pause, redialMin), limit)
	return r.pause/2 + time.Duration(random*float64(r.pause))
}

// answered begins anew: the entry was reached, or is known to be there.
func (r *redial) answered() { *r = redial{} }

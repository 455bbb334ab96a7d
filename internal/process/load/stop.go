package load

import "time"

// slowestPace is the pace of the slowest target for which a job is still expected to
// end before the entry stops. A job on a slower target is answered as unfinished.
const slowestPace = 0.4

// PlannedStop is the schedule of a planned stop of an entry. In a rolling restart the
// load balancer takes seconds to stop sending requests, and callers keep using their
// open connections.
type PlannedStop struct {
	// AdmitUntil is the time up to which every job is admitted, as a duration since the
	// scheduler's start.
	AdmitUntil time.Duration
	// EndsAt is when the entry ends, on the same clock.
	EndsAt time.Duration
}

// Admits reports whether a job that arrives now is admitted: after AdmitUntil only if
// it ends before the entry, even on a slow target. The balancer keeps sending requests
// to stopping entries when most entries of a data centre stop at once.
func (s *PlannedStop) Admits(now, expected time.Duration) bool {
	return now < s.AdmitUntil || now+time.Duration(float64(expected)/slowestPace) < s.EndsAt
}

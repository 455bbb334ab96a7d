package load

import "time"

// slowestPace is that of a target on which a job still ends before its entry. One on a
// slower target is answered as unfinished.
const slowestPace = 0.4

// Stop is the planned stop of an entry. It answers a rolling restart, in which the
// balancer takes seconds to send nothing more and callers go on using the connections
// that they have.
type Stop struct {
	// Open is until when any job is taken, as a time since the epoch.
	Open time.Duration
	// End is when the entry ends.
	End time.Duration
}

// Takes reports whether a job that arrives now is taken: later than Open only if it
// ends before the entry, also on a slow target. Where most entries of a data centre stop
// at once the balancer goes on sending to them.
func (s *Stop) Takes(now, expected time.Duration) bool {
	return now < s.Open || now+time.Duration(float64(expected)/slowestPace) < s.End
}

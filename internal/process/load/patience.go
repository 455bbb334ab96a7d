package load

import "time"

const (
	// patienceStep is how far one caller moves what is usual, as a share of it.
	// Steps of one size follow the median, which a few patient callers don't move.
	patienceStep = 0.01
	// overdueShare is the share of the usual time below which a caller has been
	// waiting for long.
	overdueShare = 0.6
	// overdueWait is the part of its objective for which such a caller's job
	// waits for room that nobody else needs.
	overdueWait = 0.25
	// overdueReserve is the share of all room that must be free for such a job.
	overdueReserve = 0.2
)

// Patience learns how long the callers of a queue wait, to tell those who ask again
// from those who ask for the first time. It answers the return after an outage, when
// all who were cut ask again at once: the time in which their answer would have been
// of full use is over, and serving them first would make the new ones late as well.
type Patience struct {
	usual map[string]time.Duration
}

// NewPatience returns one that knows no queue.
func NewPatience() *Patience { return &Patience{usual: make(map[string]time.Duration)} }

// Overdue takes the time that a caller is going to wait, and reports whether the
// caller has been waiting for long: it has much less time left than usual. timeout
// is that of the queue, which stands for the usual time until callers have been seen.
func (p *Patience) Overdue(queue string, left, timeout time.Duration) bool {
	usual, known := p.usual[queue]
	if !known {
		usual = max(timeout, left)
	}
	if float64(left) < overdueShare*float64(usual) {
		return true
	}
	step := time.Duration(patienceStep * float64(usual))
	if left < usual {
		step = -step
	}
	p.usual[queue] = usual + step
	return false
}

// OverdueSlack returns how long an overdue job may wait for room.
func OverdueSlack(objective time.Duration) time.Duration {
	return time.Duration(overdueWait * float64(objective))
}

// HasReserve reports whether so much of all room is free that an overdue job takes
// it from nobody.
func HasReserve(free, all int64) bool { return float64(free) >= overdueReserve*float64(all) }

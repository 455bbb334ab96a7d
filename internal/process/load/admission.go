package load

import "time"

const (
	// drainWindow is the time over which the rate of work is measured.
	drainWindow = 500 * time.Millisecond
	drainSlots  = 10
	drainSlot   = drainWindow / drainSlots
	// retryMin and retryMax bound what a refused caller is told to wait.
	retryMin = 100 * time.Millisecond
	retryMax = 3 * time.Second
)

// Work is an amount of processor time: thousandths of a core times milliseconds.
type Work int64

// WorkOf returns the work of a task that takes cpu for a time.
func WorkOf(cpu int64, d time.Duration) Work { return Work(cpu * d.Milliseconds()) }

// Drain measures how fast work gets done: the work that was started in the last
// half second. It answers a burst, in which the queue grows faster than it
// drains: a job that would wait past its objective is refused when it arrives.
type Drain struct {
	slots [drainSlots]Work
	sum   Work
	// at is the number of the present slot since the epoch.
	at int64
}

func (d *Drain) advance(now time.Duration) {
	slot := int64(now / drainSlot)
	for n := min(slot-d.at, drainSlots); n > 0; n-- {
		d.at = slot - n + 1
		i := d.at % drainSlots
		d.sum -= d.slots[i]
		d.slots[i] = 0
	}
	d.at = max(d.at, slot)
}

// Started notes work that left the queue at a time since the epoch.
func (d *Drain) Started(now time.Duration, w Work) {
	d.advance(now)
	d.slots[d.at%drainSlots] += w
	d.sum += w
}

// Wait returns how long it takes to start an amount of work, at a rate of at
// least floor thousandths of a core.
func (d *Drain) Wait(now time.Duration, backlog Work, floor int64) time.Duration {
	d.advance(now)
	if backlog <= 0 {
		return 0
	}
	rate := max(int64(d.sum)/drainWindow.Milliseconds(), floor, 1)
	return time.Duration(int64(backlog)/rate) * time.Millisecond
}

// RetryAfter returns when a refused caller should come back: when the work that
// waits now has been started, spread by a random share in [0, 1) so that callers
// who were refused together don't return together.
func RetryAfter(wait time.Duration, share float64) time.Duration {
	spread := time.Duration(share * float64(wait+retryMin))
	return min(max(wait+spread, retryMin), retryMax)
}

package load

import "time"

const (
	// drainWindow is the period over which the rate of started work is measured.
	drainWindow  = 500 * time.Millisecond
	drainBuckets = 10
	drainBucket  = drainWindow / drainBuckets
	// minRetryAfter and maxRetryAfter bound the retry delay given to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Work is an amount of processor time, in thousandths of a core times milliseconds.
type Work int64

// WorkOf returns the work of a task that uses cpu thousandths of a core for d.
func WorkOf(cpu int64, d time.Duration) Work { return Work(cpu * d.Milliseconds()) }

// DrainRate measures how fast the queue drains: the work started within the last 500
// ms. During a burst, in which the queue grows faster than it drains, it lets the
// scheduler refuse on arrival a job that would wait past its objective.
type DrainRate struct {
	buckets [drainBuckets]Work
	sum     Work
	// current is the number of the current bucket, counted from the scheduler's start.
	current int64
}

func (d *DrainRate) advance(now time.Duration) {
	bucket := int64(now / drainBucket)
	for n := min(bucket-d.current, drainBuckets); n > 0; n-- {
		d.current = bucket - n + 1
		i := d.current % drainBuckets
		d.sum -= d.buckets[i]
		d.buckets[i] = 0
	}
	d.current = max(d.current, bucket)
}

// RecordStart records work that left the queue. now is the time since the scheduler's
// start.
func (d *DrainRate) RecordStart(now time.Duration, w Work) {
	d.advance(now)
	d.buckets[d.current%drainBuckets] += w
	d.sum += w
}

// EstimateWait returns the time needed to start the backlog at the measured rate, which
// is taken to be at least floor thousandths of a core.
func (d *DrainRate) EstimateWait(now time.Duration, backlog Work, floor int64) time.Duration {
	d.advance(now)
	if backlog <= 0 {
		return 0
	}
	rate := max(int64(d.sum)/drainWindow.Milliseconds(), floor, 1)
	return time.Duration(int64(backlog)/rate) * time.Millisecond
}

// forecastMargin is the factor by which a forecast of the wait for capacity may be too
// long: the ends of runs are known only from declared or learned run times, and other
// entries' runs not at all.
const forecastMargin = 2

// IsSurelyTooLate reports whether a job should be refused on its arrival: even if the
// forecast of its wait is too long, it would wait past the slack that it has. A job that
// might still be served waits, since others may end sooner or leave.
func IsSurelyTooLate(wait, slack time.Duration) bool { return wait > forecastMargin*slack }

// RetryAfter returns the delay after which a refused caller should retry: the time
// until the work queued now has been started, plus a random part, with share in [0, 1),
// so that callers refused together do not retry together.
func RetryAfter(wait time.Duration, share float64) time.Duration {
	spread := time.Duration(share * float64(wait+minRetryAfter))
	return min(max(wait+spread, minRetryAfter), maxRetryAfter)
}

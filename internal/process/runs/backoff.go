package runs

import (
	"context"
	"time"
)

const (
	// backoffMin and backoffMax bound the time between retries. A target that is down may
	// reset each connection at once; one that is back announces itself.
	backoffMin = 10 * time.Millisecond
	backoffMax = 80 * time.Millisecond
)

// backoff spaces the retries of failed calls. The interval doubles with each consecutive
// failure. The zero value is ready to use.
type backoff struct {
	interval time.Duration
}

// sleep blocks until the next call is due, counted from the start of the failed one, or
// until ctx ends.
func (b *backoff) sleep(ctx context.Context, start time.Time) { b.sleepUpTo(ctx, start, backoffMax) }

// sleepUpTo is sleep with another longest time between retries.
func (b *backoff) sleepUpTo(ctx context.Context, start time.Time, longest time.Duration) {
	b.interval = min(max(2*b.interval, backoffMin), longest)
	timer := time.NewTimer(b.interval - time.Since(start))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reset starts again with the shortest interval after a successful call.
func (b *backoff) reset() { b.interval = 0 }

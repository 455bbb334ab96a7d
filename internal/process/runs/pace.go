package runs

import (
	"context"
	"time"
)

const (
	// paceMin and paceMax bound the time between calls that fail. A target that is
	// down resets each connection at once; one that is back announces itself.
	paceMin = 10 * time.Millisecond
	paceMax = 80 * time.Millisecond
)

// pace spaces calls that fail, the longer the more of them have failed in a row. Its
// zero value has seen none.
type pace struct {
	interval time.Duration
}

// failed waits until the next call is due, counted from the begin of the one that
// failed, or until ctx ends.
func (p *pace) failed(ctx context.Context, begun time.Time) {
	p.interval = min(max(2*p.interval, paceMin), paceMax)
	timer := time.NewTimer(p.interval - time.Since(begun))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// answered forgets the calls that failed.
func (p *pace) answered() { p.interval = 0 }

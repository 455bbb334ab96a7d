package agent

import (
	"sync"
	"time"
)

// permit is the time until which the agent may start tasks. It is counted from
// when the agent asked for it, so a pause of the agent or of a link never
// lengthens it.
type permit struct {
	mu     sync.Mutex
	until  time.Time
	length time.Duration // as last granted
}

// extend prolongs the permit to a length after it was asked for; it never
// shortens it.
func (p *permit) extend(askedAt time.Time, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if length <= 0 {
		return
	}
	p.length = length
	if until := askedAt.Add(length); until.After(p.until) {
		p.until = until
	}
}

// isValid reports whether tasks may start at the time now.
func (p *permit) isValid(now time.Time) bool { return p.remaining(now) > 0 }

// remaining returns the time left at the time now; not positive when the permit
// has run out.
func (p *permit) remaining(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.until.Sub(now)
}

// lengthOf returns the length of the last permit granted.
func (p *permit) lengthOf() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length
}

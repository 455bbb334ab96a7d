package agent

import (
	"sync"
	"time"
)

// permit is the time until which the agent may start tasks. It counts from when the agent
// requested it, so a pause of the agent or a delay on a link never lengthens it.
type permit struct {
	mu        sync.Mutex
	expiresAt time.Time
	length    time.Duration // of the last grant
}

// extend moves the expiry of the permit to length after requestedAt. It never shortens the
// permit.
func (p *permit) extend(requestedAt time.Time, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if length <= 0 {
		return
	}
	p.length = length
	if expiresAt := requestedAt.Add(length); expiresAt.After(p.expiresAt) {
		p.expiresAt = expiresAt
	}
}

// isValid reports whether tasks may be started at the time now.
func (p *permit) isValid(now time.Time) bool { return p.remaining(now) > 0 }

// remaining returns the time left at the time now. It is zero or negative if the permit has
// expired.
func (p *permit) remaining(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expiresAt.Sub(now)
}

// lastLength returns the length of the last grant.
func (p *permit) lastLength() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length
}

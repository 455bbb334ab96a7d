package agent

import (
	"sync"
	"time"
)

// permit is the time until which the agent may start tasks. It is counted from
// when the agent asked for it, so a pause of the agent or of a link never
// lengthens it.
type permit struct {
	mu    sync.Mutex
	until time.Time
}

// extend prolongs the permit; it never shortens it.
func (p *permit) extend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.until) {
		p.until = until
	}
}

// isValid reports whether tasks may start at the time now.
func (p *permit) isValid(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until)
}

package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// Backoff of reconnects to one entry.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// dial keeps a link to an entry's address until ctx ends or the entry leaves
// the roster.
func (a *Agent) dial(ctx context.Context, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.dialers[address]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	a.dialers[address] = cancel
	go a.keepLink(ctx, address)
}

func (a *Agent) keepLink(ctx context.Context, address string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		l, err := a.dialer.Dial(ctx, address)
		if err == nil {
			backoff = minBackoff
			a.serve(ctx, l)
		}
		// Jitter keeps restarted agents from returning together.
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// follow dials the entries of a new roster and drops dialers of entries that
// have left. The addresses of the settings are kept.
func (a *Agent) follow(ctx context.Context, r *roster.Roster) {
	present := slices.Clone(a.settings.Agent.Entries)
	for _, e := range r.Entries {
		present = append(present, e.GetPeerAddress())
		a.dial(ctx, e.GetPeerAddress())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, cancel := range a.dialers {
		if !slices.Contains(present, address) {
			cancel()
			delete(a.dialers, address)
		}
	}
}

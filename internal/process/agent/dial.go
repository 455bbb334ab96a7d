package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Backoff of reconnects to one entry.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// entryDialer keeps the link to one entry's address.
type entryDialer struct {
	cancel context.CancelFunc
	// retiring is set while the link is drained before its end.
	retiring bool
}

// dial keeps a link to an entry's address until ctx ends or the entry is no
// longer one of the agent's.
func (a *Agent) dial(ctx context.Context, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.dialers[address]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	a.dialers[address] = &entryDialer{cancel: cancel}
	go a.keepLink(ctx, address)
}

func (a *Agent) keepLink(ctx context.Context, address string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		l, err := a.dialer.Dial(ctx, address)
		if err == nil && a.serve(ctx, l, address) {
			backoff = minBackoff
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

// updateLinks dials the agent's entries and lets go of the others. The
// addresses of the settings are dialled while no chosen entry is linked, so an
// agent whose roster has grown old finds its way back.
func (a *Agent) updateLinks() {
	ctx := a.ctx
	if ctx.Err() != nil {
		return
	}
	r := a.roster.Load()
	links := a.settings.Agent.Links
	chosen := addresses(r.Subset(a.settings.Name, a.settings.DataCentre, links))
	known := addresses(r.Entries)
	wanted := chosen
	if links == 0 {
		wanted = append(known, a.settings.Agent.Entries...)
	} else if !a.isLinked(chosen) {
		wanted = append(slices.Clone(chosen), a.settings.Agent.Entries...)
	}
	for _, address := range wanted {
		a.dial(ctx, address)
	}
	a.letGo(ctx, wanted, known)
}

func addresses(entries []*peerv1.RosterEntry) []string {
	list := make([]string, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.GetPeerAddress())
	}
	return list
}

// isLinked reports whether the agent has a link to one of the addresses.
func (a *Agent) isLinked(addresses []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.sessions {
		if slices.Contains(addresses, s.address) {
			return true
		}
	}
	return false
}

// letGo ends the dialers of addresses that are not wanted. The link to an entry
// that still serves is drained first.
func (a *Agent) letGo(ctx context.Context, wanted, known []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address, d := range a.dialers {
		if d.retiring || slices.Contains(wanted, address) {
			continue
		}
		s := a.sessionAtLocked(address)
		if s == nil || !slices.Contains(known, address) {
			d.cancel()
			delete(a.dialers, address)
			continue
		}
		d.retiring = true
		go a.retire(ctx, d, s)
	}
}

func (a *Agent) sessionAtLocked(address string) *session {
	for _, s := range a.sessions {
		if s.address == address {
			return s
		}
	}
	return nil
}

// retire drains a link: no new work on it, then the running attempts of its
// entry, then the results that the entry has to take.
func (a *Agent) retire(ctx context.Context, d *entryDialer, s *session) {
	drain, cancel := context.WithTimeout(ctx, a.settings.StopTimeout.Std())
	defer cancel()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Goodbye{Goodbye: &peerv1.Goodbye{}}})
	s.confirm(drain)
	for a.runningFor(s.entry) > 0 && drain.Err() == nil {
		time.Sleep(drainInterval)
	}
	s.confirm(drain)
	a.mu.Lock()
	delete(a.dialers, s.address)
	a.mu.Unlock()
	d.cancel()
	a.updateLinks() // the entry may be wanted again by now
}

// addRunning counts the running attempts of an entry incarnation.
func (a *Agent) addRunning(entry uint64, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[entry] += change
	if a.running[entry] == 0 {
		delete(a.running, entry)
	}
}

func (a *Agent) runningFor(entry uint64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[entry]
}

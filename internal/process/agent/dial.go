package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Limits of the backoff between connection attempts to one entry.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// entryDialer controls the goroutine that keeps a link to one address open.
type entryDialer struct {
	// cancel ends the goroutine and its link.
	cancel context.CancelFunc
	// retiring is set while the link is drained before it is closed.
	retiring bool
}

// dial starts an entryDialer for an address unless there is one. It runs until ctx ends or
// the address is removed.
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

// keepLink dials address and serves the link, and repeats this with backoff until ctx ends.
func (a *Agent) keepLink(ctx context.Context, address string) {
	backoff := minBackoff
	for ctx.Err() == nil {
		l, err := a.dialer.Dial(ctx, address)
		if err == nil && a.serve(ctx, l, address) {
			backoff = minBackoff
		}
		// Jitter spreads the reconnects of agents that were restarted together.
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// updateLinks dials the entries that the agent should be linked with and removes its other
// links. The addresses in the settings are dialled too while no chosen entry is linked, so
// that an agent with an outdated roster can reconnect.
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
	a.removeLinks(ctx, wanted, known)
}

func addresses(entries []*peerv1.RosterEntry) []string {
	list := make([]string, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.GetPeerAddress())
	}
	return list
}

// isLinked reports whether the agent has a link to any of the addresses.
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

// removeLinks stops the dialers of addresses that are not wanted. The link to an entry that
// is still in the roster is drained first.
func (a *Agent) removeLinks(ctx context.Context, wanted, known []string) {
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
		go a.drainLink(ctx, d, s)
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

// drainLink closes a link after draining it: it announces that the link takes no new work,
// waits for the running attempts of its entry, and then until the entry has received their
// results. The stop timeout limits the wait.
func (a *Agent) drainLink(ctx context.Context, d *entryDialer, s *session) {
	drain, cancel := context.WithTimeout(ctx, a.settings.StopTimeout.Std())
	defer cancel()
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Goodbye{Goodbye: &peerv1.Goodbye{}}})
	s.waitForReply(drain)
	for a.runningFor(s.entry) > 0 && drain.Err() == nil {
		time.Sleep(drainInterval)
	}
	s.waitForReply(drain)
	a.mu.Lock()
	delete(a.dialers, s.address)
	a.mu.Unlock()
	d.cancel()
	a.updateLinks() // the roster may have changed so that the entry is wanted again
}

// addRunning adds change to the number of running attempts of an entry incarnation.
func (a *Agent) addRunning(entry uint64, change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runningByEntry[entry] += change
	if a.runningByEntry[entry] == 0 {
		delete(a.runningByEntry, entry)
	}
}

func (a *Agent) runningFor(entry uint64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runningByEntry[entry]
}

package server

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

const (
	// maxUnknownLinks bounds the links on which no hello has arrived. All agents of an entry may
	// connect at once, and their hellos arrive within milliseconds.
	maxUnknownLinks = 64
	// knownSourceRetention is how long the address of an agent is known after its latest hello.
	knownSourceRetention = 15 * time.Minute
	// maxKnownSources bounds the addresses that are known.
	maxKnownSources = 10_000
)

// unknownLinks holds the links on which no hello has arrived. A link that is accepted while there are
// too many takes the place of another one at once, so that silent connections keep no agent out.
type unknownLinks struct {
	// memory bounds the first frames of all of them together.
	memory *peer.FirstFrames

	mu       sync.Mutex
	links    map[*unknownLink]struct{}
	bySource map[netip.Addr]int
	// agents has the time of the latest hello from each address.
	agents map[netip.Addr]time.Time
}

// unknownLink is a link on which no hello has arrived.
type unknownLink struct {
	conn       net.Conn
	source     netip.Addr
	acceptedAt time.Time
}

func newUnknownLinks() *unknownLinks {
	return &unknownLinks{
		memory:   peer.NewFirstFrames(maxFirstFrameMemory),
		links:    make(map[*unknownLink]struct{}),
		bySource: make(map[netip.Addr]int),
		agents:   make(map[netip.Addr]time.Time),
	}
}

// add registers an accepted connection. It returns the link to close for it, or nil.
func (u *unknownLinks) add(conn net.Conn, now time.Time) (added, excess *unknownLink) {
	u.mu.Lock()
	defer u.mu.Unlock()
	added = &unknownLink{conn: conn, source: sourceOf(conn), acceptedAt: now}
	u.links[added] = struct{}{}
	u.bySource[added.source]++
	if len(u.links) > maxUnknownLinks {
		excess = u.excessLocked(now)
		u.removeLocked(excess)
	}
	return added, excess
}

// excessLocked returns the link to close: one whose address is not that of an agent before one whose
// address is, then one of the address with the most links, and of these the oldest.
func (u *unknownLinks) excessLocked(now time.Time) *unknownLink {
	var excess *unknownLink
	for l := range u.links {
		if excess == nil || u.closesBefore(l, excess, now) {
			excess = l
		}
	}
	return excess
}

func (u *unknownLinks) closesBefore(a, b *unknownLink, now time.Time) bool {
	if known := u.isAgent(a.source, now); known != u.isAgent(b.source, now) {
		return !known
	}
	if n, m := u.bySource[a.source], u.bySource[b.source]; n != m {
		return n > m
	}
	return a.acceptedAt.Before(b.acceptedAt)
}

func (u *unknownLinks) isAgent(source netip.Addr, now time.Time) bool {
	at, ok := u.agents[source]
	return ok && now.Sub(at) <= knownSourceRetention
}

// remove removes a link that has ended. It reports false if the link has been removed before.
func (u *unknownLinks) remove(l *unknownLink) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.removeLocked(l)
}

func (u *unknownLinks) removeLocked(l *unknownLink) bool {
	if _, ok := u.links[l]; !ok {
		return false
	}
	delete(u.links, l)
	if u.bySource[l.source]--; u.bySource[l.source] == 0 {
		delete(u.bySource, l.source)
	}
	return true
}

// identified removes a link on which a hello has arrived, and remembers its address.
func (u *unknownLinks) identified(l *unknownLink, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.removeLocked(l)
	if _, ok := u.agents[l.source]; !ok && len(u.agents) >= maxKnownSources {
		for source, at := range u.agents {
			if now.Sub(at) > knownSourceRetention {
				delete(u.agents, source)
			}
		}
		if len(u.agents) >= maxKnownSources {
			return
		}
	}
	u.agents[l.source] = now
}

// sourceOf returns the IP address of the other side.
func sourceOf(conn net.Conn) netip.Addr {
	address, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return address.AddrPort().Addr().Unmap()
}

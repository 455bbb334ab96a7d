package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// voterHistory keeps every set of entries that made up the roster within the last
// storeOutageLimit plus one freshness period. A part of the fleet that was partitioned
// then may still count majorities of such a set. It is safe for concurrent use.
type voterHistory struct {
	period time.Duration

	mu      sync.Mutex
	sets    []voterSet
	stopped map[string]time.Time // entries that stopped as planned
}

// voterSet is the set of entries of one roster, by name.
type voterSet struct {
	names    []string  // sorted
	lastSeen time.Time // when the set was last the roster
}

func newVoterHistory(period time.Duration) *voterHistory {
	return &voterHistory{period: period, stopped: make(map[string]time.Time)}
}

// record adds the set of entries that are in the roster at the time now.
func (h *voterHistory) record(entries map[string]*peerv1.RosterEntry, now time.Time) {
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.GetName())
	}
	slices.Sort(names)
	names = slices.Compact(names)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		delete(h.stopped, name)
	}
	if n := len(h.sets); n > 0 {
		h.sets[n-1].lastSeen = now
	}
	h.sets = slices.DeleteFunc(h.sets, func(s voterSet) bool {
		return now.Sub(s.lastSeen) > storeOutageLimit+h.period || slices.Equal(s.names, names)
	})
	h.sets = append(h.sets, voterSet{names: names, lastSeen: now})
}

// recordStop records that an entry stopped as planned.
func (h *voterHistory) recordStop(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped[name] = now
	maps.DeleteFunc(h.stopped, func(_ string, at time.Time) bool {
		return now.Sub(at) > 2*storeOutageLimit
	})
}

// activeSets returns the sets without the entries that stopped as planned at least one
// freshness period ago: no entry can still be fresh because of their replies.
func (h *voterHistory) activeSets(now time.Time) []voterSet {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sets []voterSet
	for _, s := range h.sets {
		var names []string
		for _, name := range s.names {
			if at, ok := h.stopped[name]; !ok || now.Sub(at) < h.period {
				names = append(names, name)
			}
		}
		if len(names) > 0 {
			sets = append(sets, voterSet{names: names, lastSeen: s.lastSeen})
		}
	}
	return sets
}

// requiredSets returns the sets, as names, each of which needs a majority that holds a
// revision.
func (h *voterHistory) requiredSets(now time.Time) [][]string {
	var names [][]string
	for _, s := range h.activeSets(now) {
		names = append(names, s.names)
	}
	return names
}

// proto returns the wire form of the sets, each with the time since it was last in use.
func (h *voterHistory) proto(now time.Time) []*peerv1.VoterSet {
	var sets []*peerv1.VoterSet
	for _, s := range h.activeSets(now) {
		sets = append(sets, &peerv1.VoterSet{Names: s.names, AgeMs: uint32(now.Sub(s.lastSeen).Milliseconds())})
	}
	return sets
}

// merge adds sets received from another entry in front of the local ones.
func (h *voterHistory) merge(sets []*peerv1.VoterSet, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var past []voterSet
	for _, s := range sets {
		isKnown := func(own voterSet) bool { return slices.Equal(own.names, s.GetNames()) }
		if !slices.ContainsFunc(h.sets, isKnown) && !slices.ContainsFunc(past, isKnown) {
			age := time.Duration(s.GetAgeMs()) * time.Millisecond
			past = append(past, voterSet{names: s.GetNames(), lastSeen: now.Add(-age)})
		}
	}
	h.sets = append(past, h.sets...)
}

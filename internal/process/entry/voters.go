package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// voterHistory knows every set of entries that was in the roster within
// storeOutageLimit. A part of the fleet that was cut off at that time may still
// count majorities of it. It is safe for concurrent use.
type voterHistory struct {
	period time.Duration

	mu      sync.Mutex
	sets    []voterSet
	stopped map[string]time.Time // entries that stopped as planned
}

// voterSet is a set of entries by name.
type voterSet struct {
	names []string // sorted
	until time.Time
}

func newVoterHistory(period time.Duration) *voterHistory {
	return &voterHistory{period: period, stopped: make(map[string]time.Time)}
}

// record notes the entries that are in the roster at the time now.
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
		h.sets[n-1].until = now
	}
	h.sets = slices.DeleteFunc(h.sets, func(s voterSet) bool {
		return now.Sub(s.until) > storeOutageLimit+h.period || slices.Equal(s.names, names)
	})
	h.sets = append(h.sets, voterSet{names: names, until: now})
}

// stop notes that an entry stopped as planned.
func (h *voterHistory) stop(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped[name] = now
	maps.DeleteFunc(h.stopped, func(_ string, at time.Time) bool {
		return now.Sub(at) > 2*storeOutageLimit
	})
}

// present returns the sets with the time since each was in the roster. An entry
// that stopped as planned is left out once nobody can be fresh by its word.
func (h *voterHistory) present(now time.Time) []voterSet {
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
			sets = append(sets, voterSet{names: names, until: s.until})
		}
	}
	return sets
}

// all returns the names of the sets of which a majority must know a revision.
func (h *voterHistory) all(now time.Time) [][]string {
	var names [][]string
	for _, s := range h.present(now) {
		names = append(names, s.names)
	}
	return names
}

// proto returns the wire form of the sets.
func (h *voterHistory) proto(now time.Time) []*peerv1.VoterSet {
	var sets []*peerv1.VoterSet
	for _, s := range h.present(now) {
		sets = append(sets, &peerv1.VoterSet{Names: s.names, AgeMs: uint32(now.Sub(s.until).Milliseconds())})
	}
	return sets
}

// learn adds the sets that another entry remembers before the own ones.
func (h *voterHistory) learn(sets []*peerv1.VoterSet, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var past []voterSet
	for _, s := range sets {
		isKnown := func(own voterSet) bool { return slices.Equal(own.names, s.GetNames()) }
		if !slices.ContainsFunc(h.sets, isKnown) && !slices.ContainsFunc(past, isKnown) {
			age := time.Duration(s.GetAgeMs()) * time.Millisecond
			past = append(past, voterSet{names: s.GetNames(), until: now.Add(-age)})
		}
	}
	h.sets = append(past, h.sets...)
}

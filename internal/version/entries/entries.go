// Package entries holds which entries there are, as the store or another entry told
// it, and which of them an agent links with.
package entries

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// Set is the entries that are known, by name. It is not safe for concurrent use. An
// entry that is no longer listed stays for a time: its key may have lapsed while the
// store was away, and is back soon after it if the entry lives.
type Set struct {
	grace   time.Duration
	members map[string]member
}

type member struct {
	peer.Entry
	// missing is since when it is not listed; zero while it is.
	missing time.Time
}

// NewSet returns an empty set that keeps entries for grace after they are no longer
// listed.
func NewSet(grace time.Duration) *Set {
	return &Set{grace: grace, members: make(map[string]member)}
}

// Len returns the number of entries.
func (s *Set) Len() int { return len(s.members) }

// All returns the entries by name.
func (s *Set) All() []peer.Entry {
	all := make([]peer.Entry, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m.Entry)
	}
	slices.SortFunc(all, func(a, b peer.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Put adds or changes an entry, and reports whether it is new or has changed.
func (s *Set) Put(e peer.Entry) bool {
	known, ok := s.members[e.Name]
	s.members[e.Name] = member{Entry: e}
	return !ok || known.Entry != e
}

// Miss notes that an entry is no longer listed.
func (s *Set) Miss(name string, now time.Time) {
	if m, ok := s.members[name]; ok && m.missing.IsZero() {
		m.missing = now
		s.members[name] = m
	}
}

// Drop removes an entry at once, and reports whether it was there.
func (s *Set) Drop(name string) bool {
	_, ok := s.members[name]
	delete(s.members, name)
	return ok
}

// Replace takes a whole listing, and returns the entries that are new or have changed.
func (s *Set) Replace(listed []peer.Entry, now time.Time) []peer.Entry {
	var changed []peer.Entry
	names := make(map[string]bool, len(listed))
	for _, e := range listed {
		names[e.Name] = true
		if s.Put(e) {
			changed = append(changed, e)
		}
	}
	for name := range s.members {
		if !names[name] {
			s.Miss(name, now)
		}
	}
	return changed
}

// Expire drops the entries that have been missing for the grace, and returns their
// names.
func (s *Set) Expire(now time.Time) []string {
	var gone []string
	for name, m := range s.members {
		if !m.missing.IsZero() && now.Sub(m.missing) >= s.grace {
			delete(s.members, name)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

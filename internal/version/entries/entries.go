// Package entries holds the list of known entries, from the store or from another entry,
// and selects those that an agent links with. It is used in processes with the settings
// section node; package roster is its counterpart in others.
package entries

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

// Set holds the known entries by name. It is not safe for concurrent use. An entry that is
// no longer listed stays for a grace period: its key may have expired during an outage of
// the store, and a running entry writes it again soon after the outage.
type Set struct {
	grace   time.Duration
	members map[string]member
}

type member struct {
	peer.Entry
	// missing is the time from which the entry is not listed; zero while it is listed.
	missing time.Time
}

// NewSet returns an empty set that keeps entries for the period grace after they are no
// longer listed.
func NewSet(grace time.Duration) *Set {
	return &Set{grace: grace, members: make(map[string]member)}
}

// Len returns the number of entries.
func (s *Set) Len() int { return len(s.members) }

// All returns the entries sorted by name.
func (s *Set) All() []peer.Entry {
	all := make([]peer.Entry, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m.Entry)
	}
	slices.SortFunc(all, func(a, b peer.Entry) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Put adds or replaces an entry, and reports whether it is new or has changed.
func (s *Set) Put(e peer.Entry) bool {
	known, ok := s.members[e.Name]
	s.members[e.Name] = member{Entry: e}
	return !ok || known.Entry != e
}

// MarkMissing starts the grace period of an entry that is no longer listed.
func (s *Set) MarkMissing(name string, now time.Time) {
	if m, ok := s.members[name]; ok && m.missing.IsZero() {
		m.missing = now
		s.members[name] = m
	}
}

// Remove removes an entry at once, and reports whether it was in the set.
func (s *Set) Remove(name string) bool {
	_, ok := s.members[name]
	delete(s.members, name)
	return ok
}

// Replace applies a complete listing: entries that are not in it begin their grace period.
// It returns the entries that are new or have changed.
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
			s.MarkMissing(name, now)
		}
	}
	return changed
}

// Expire removes the entries whose grace period has ended, and returns their names.
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

// Package recent keeps identifiers for a limited time.
package recent

import "time"

// IDs is a set of identifiers, each kept for a time after it was added. The caller passes the
// time, which never decreases. IDs is not safe for concurrent use.
type IDs struct {
	retention time.Duration
	max       int
	addedAt   map[string]time.Duration
	// order lists the identifiers in the order in which they were added.
	order []string
}

// NewIDs returns a set that keeps at most max identifiers, each for a retention.
func NewIDs(retention time.Duration, max int) *IDs {
	return &IDs{retention: retention, max: max, addedAt: make(map[string]time.Duration)}
}

// Add adds an identifier, and reports whether it was not in the set. An identifier that is in the
// set keeps its time.
func (s *IDs) Add(id string, now time.Duration) bool {
	s.expire(now)
	if _, ok := s.addedAt[id]; ok {
		return false
	}
	s.addedAt[id] = now
	s.order = append(s.order, id)
	s.expire(now)
	return true
}

// Has reports whether an identifier is in the set.
func (s *IDs) Has(id string, now time.Duration) bool {
	at, ok := s.addedAt[id]
	return ok && now-at <= s.retention
}

// Len returns the number of identifiers in the set.
func (s *IDs) Len(now time.Duration) int {
	s.expire(now)
	return len(s.order)
}

// All returns the identifiers in the set, the oldest first.
func (s *IDs) All(now time.Duration) []string {
	s.expire(now)
	return append([]string(nil), s.order...)
}

// expire removes the identifiers that are too old or too many.
func (s *IDs) expire(now time.Duration) {
	for len(s.order) > 0 && (len(s.order) > s.max || now-s.addedAt[s.order[0]] > s.retention) {
		delete(s.addedAt, s.order[0])
		s.order = s.order[1:]
	}
}

package store

import (
	"maps"
	"time"

	storev1 "github.com/rosemarybay/rosemarybay/api/store/v1"
)

// Backup is the content of a store at one revision.
type Backup struct {
	revision uint64
	values   map[string]*storev1.KeyValue
	leaseOf  map[string]uint64
	leases   map[uint64]time.Duration
}

// Backup returns a copy of the current content.
func (s *Server) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Backup{
		revision: s.revision,
		values:   maps.Clone(s.values),
		leaseOf:  maps.Clone(s.leaseOf),
		leases:   make(map[uint64]time.Duration, len(s.leases)),
	}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore resets the store to the content and revision of a backup, like a service that lost
// its latest writes. Restored leases start with their full TTL.
func (s *Server) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = b.revision
	s.values = maps.Clone(b.values)
	s.leaseOf = maps.Clone(b.leaseOf)
	s.leases = make(map[uint64]*lease, len(b.leases))
	now := time.Now()
	for id, ttl := range b.leases {
		s.leases[id] = &lease{ttl: ttl, expires: now.Add(ttl)}
	}
	s.log, s.dropped = nil, b.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

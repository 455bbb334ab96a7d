// Package faultstore implements the platform's store in memory, with a chosen fault for each
// call. Only tests use it.
package faultstore

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

// ErrNoAnswer is the error of a call without an answer.
var ErrNoAnswer = errors.New("no answer")

// Fate is what happens to one call that writes.
type Fate int

// The fates of calls.
const (
	// Answered: the call is executed and answered.
	Answered Fate = iota
	// NotExecuted: the call is neither executed nor answered.
	NotExecuted
	// AnswerLost: the call is executed and not answered.
	AnswerLost
	// ExecutedLate: the call is not answered, and executed by ExecuteLate.
	ExecutedLate
)

// Store is a store in memory. Its methods are safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	values   map[string]store.Value
	leases   map[uint64]bool
	leaseOf  map[string]uint64
	revision uint64
	fates    []Fate
	late     []func()
	granted  int
	writes   int
	removed  int
}

// New returns an empty store.
func New() *Store {
	return &Store{values: make(map[string]store.Value), leases: make(map[uint64]bool), leaseOf: make(map[string]uint64), revision: 10}
}

// Next sets the fates of the next calls that write; all later ones are answered.
func (s *Store) Next(fates ...Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fates = fates
}

// ExecuteLate executes the calls that are late.
func (s *Store) ExecuteLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	for _, call := range late {
		call()
	}
}

// Set writes a value as another writer does, without a lease.
func (s *Store) Set(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, data, 0)
}

// Data returns the value of a key, empty if there is none.
func (s *Store) Data(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.values[key].Data)
}

// ExpireOtherLeases ends all leases but one, as if they were not renewed.
func (s *Store) ExpireOtherLeases(but uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		if id != but {
			s.endLease(id)
		}
	}
}

// Granted returns the number of leases granted, Writes that of executed writes of keys.
func (s *Store) Granted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.granted
}

// Writes returns the number of executed writes of keys.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Removed returns the number of keys removed.
func (s *Store) Removed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.removed
}

// execute executes a call that writes according to its fate.
func (s *Store) execute(call func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := Answered
	if len(s.fates) > 0 {
		fate, s.fates = s.fates[0], s.fates[1:]
	}
	switch fate {
	case NotExecuted:
		return ErrNoAnswer
	case ExecutedLate:
		s.late = append(s.late, call)
		return ErrNoAnswer
	case AnswerLost:
		call()
		return ErrNoAnswer
	}
	call()
	return nil
}

func (s *Store) put(key string, data []byte, lease uint64) {
	s.revision++
	s.values[key] = store.Value{Key: key, Data: data, Revision: s.revision}
	delete(s.leaseOf, key)
	if lease != 0 {
		s.leaseOf[key] = lease
	}
}

func (s *Store) remove(key string) {
	s.revision++
	s.removed++
	delete(s.values, key)
	delete(s.leaseOf, key)
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, lease := range s.leaseOf {
		if lease == id {
			s.remove(key)
		}
	}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (*store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.values[key]; ok {
		return &v, nil
	}
	return nil, nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) (store.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := store.Listing{Revision: s.revision}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			l.Values = append(l.Values, v)
		}
	}
	return l, nil
}

// ListStale is like List.
func (s *Store) ListStale(ctx context.Context, prefix string) (store.Listing, error) {
	return s.List(ctx, prefix)
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(_ context.Context, c store.SwapRequest) (store.SwapResult, error) {
	var result store.SwapResult
	var refused error
	if err := s.execute(func() { result, refused = s.swap(c) }); err != nil {
		return store.SwapResult{}, err
	}
	return result, refused
}

func (s *Store) swap(c store.SwapRequest) (store.SwapResult, error) {
	if c.LeaseID != 0 && !s.leases[c.LeaseID] {
		return store.SwapResult{}, store.ErrLeaseLapsed
	}
	present, ok := s.values[c.Key]
	switch {
	case present.Revision != c.ExpectedRevision && !ok:
		return store.SwapResult{}, nil
	case present.Revision != c.ExpectedRevision:
		return store.SwapResult{Revision: present.Revision, Current: &present}, nil
	case c.Delete:
		s.remove(c.Key)
	default:
		s.put(c.Key, c.Data, c.LeaseID)
	}
	s.writes++
	return store.SwapResult{Swapped: true, Revision: s.revision}, nil
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(context.Context, time.Duration) (uint64, error) {
	var id uint64
	err := s.execute(func() {
		s.revision++
		s.granted++
		id = s.revision
		s.leases[id] = true
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// RenewLease implements store.Store.
func (s *Store) RenewLease(_ context.Context, id uint64) error {
	var held bool
	if err := s.execute(func() { held = s.leases[id] }); err != nil {
		return err
	}
	if !held {
		return store.ErrLeaseLapsed
	}
	return nil
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(_ context.Context, id uint64) error {
	return s.execute(func() { s.endLease(id) })
}

// Watch implements store.Store. It returns no changes, at the end of its wait.
func (s *Store) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Listing, error) {
	select {
	case <-ctx.Done():
		return store.Listing{}, ctx.Err()
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return store.Listing{Revision: s.revision}, nil
}

var _ store.Store = (*Store)(nil)

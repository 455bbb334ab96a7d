package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/platform/store"
)

var errNoAnswer = errors.New("no answer")

// fate is what happens to one call of a fakeStore.
type fate int

const (
	// answered: the call is executed and answered.
	answered fate = iota
	// notExecuted: the call is not executed and not answered.
	notExecuted
	// answerLost: the call is executed and not answered.
	answerLost
	// executedLate: the call is not answered, and executed by executeLate.
	executedLate
)

// fakeStore is a store in memory whose next writes have the given fates.
type fakeStore struct {
	mu       sync.Mutex
	values   map[string]store.Value
	leases   map[uint64]bool
	leaseOf  map[string]uint64
	revision uint64
	// fates are those of the next calls that write, first the next one.
	fates []fate
	late  []func()
	// leasesGranted counts the leases, writes the executed writes of keys.
	leasesGranted, writes int
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: make(map[string]store.Value), leases: make(map[uint64]bool), leaseOf: make(map[string]uint64), revision: 10}
}

// execute executes a write according to its fate.
func (f *fakeStore) execute(write func()) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := answered
	if len(f.fates) > 0 {
		next, f.fates = f.fates[0], f.fates[1:]
	}
	switch next {
	case notExecuted:
		return errNoAnswer
	case executedLate:
		f.late = append(f.late, write)
		return errNoAnswer
	case answerLost:
		write()
		return errNoAnswer
	}
	write()
	return nil
}

// executeLate executes the delayed writes.
func (f *fakeStore) executeLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.late {
		write()
	}
	f.late = nil
}

func (f *fakeStore) put(key string, data []byte) {
	f.revision++
	f.values[key] = store.Value{Key: key, Data: data, Revision: f.revision}
}

// endLease ends a lease and deletes its keys; the caller holds the lock.
func (f *fakeStore) endLease(id uint64) {
	delete(f.leases, id)
	for key, lease := range f.leaseOf {
		if lease == id {
			f.revision++
			delete(f.values, key)
			delete(f.leaseOf, key)
		}
	}
}

func (f *fakeStore) Get(_ context.Context, key string) (*store.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v, ok := f.values[key]; ok {
		return &v, nil
	}
	return nil, nil
}

func (f *fakeStore) List(_ context.Context, prefix string) (store.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := store.Listing{Revision: f.revision}
	for key, v := range f.values {
		if strings.HasPrefix(key, prefix) {
			l.Values = append(l.Values, v)
		}
	}
	return l, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, c store.SwapRequest) (result store.SwapResult, err error) {
	var refused error
	err = f.execute(func() { result, refused = f.swap(c) })
	if err != nil {
		return store.SwapResult{}, err
	}
	return result, refused
}

func (f *fakeStore) swap(c store.SwapRequest) (store.SwapResult, error) {
	present, ok := f.values[c.Key]
	if present.Revision != c.ExpectedRevision {
		if !ok {
			return store.SwapResult{}, nil
		}
		return store.SwapResult{Revision: present.Revision, Current: &present}, nil
	}
	if c.LeaseID != 0 && !f.leases[c.LeaseID] {
		return store.SwapResult{}, store.ErrLeaseLapsed
	}
	f.writes++
	delete(f.leaseOf, c.Key)
	if c.Delete {
		f.revision++
		delete(f.values, c.Key)
		return store.SwapResult{Swapped: true, Revision: f.revision}, nil
	}
	f.put(c.Key, c.Data)
	if c.LeaseID != 0 {
		f.leaseOf[c.Key] = c.LeaseID
	}
	return store.SwapResult{Swapped: true, Revision: f.revision}, nil
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (id uint64, err error) {
	err = f.execute(func() {
		f.revision++
		f.leasesGranted++
		id = f.revision
		f.leases[id] = true
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (f *fakeStore) RenewLease(_ context.Context, id uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leases[id] {
		return store.ErrLeaseLapsed
	}
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, id uint64) error {
	return f.execute(func() { f.endLease(id) })
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Listing, error) {
	sleep(ctx, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	return store.Listing{Revision: f.revision}, nil
}

var _ store.Store = (*fakeStore)(nil)

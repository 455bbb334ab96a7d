package config

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// maxArrivals is the number of latest revisions whose arrival times are kept.
const maxArrivals = 256

// arrival is a revision and the time at which this process received it.
type arrival struct {
	revision uint64
	at       time.Time
}

// View holds the snapshot with the highest revision that a process has received. It is safe for
// concurrent use; Load takes no lock.
type View struct {
	mu       sync.Mutex
	current  atomic.Pointer[Snapshot]
	arrivals []arrival // in ascending order of revisions
	changed  chan struct{}
}

// NewView returns a view of the empty snapshot.
func NewView() *View {
	v := &View{changed: make(chan struct{})}
	v.current.Store(Empty())
	return v
}

// Load returns the present snapshot.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Apply applies an update. It reports whether the revision has risen, and whether the
// update could be applied: a delta that starts above the present revision cannot be
// applied.
func (v *View) Apply(u *peerv1.ConfigUpdate) (risen, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.current.Load()
	next, ok := before.With(u)
	v.current.Store(next)
	risen = next.revision > before.revision
	if risen {
		v.recordArrival(next.revision)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return risen, ok
}

// WaitAbove waits until the revision is above the given one, or until ctx ends, and returns
// the snapshot.
func (v *View) WaitAbove(ctx context.Context, revision uint64) *Snapshot {
	for {
		v.mu.Lock()
		s, changed := v.current.Load(), v.changed
		v.mu.Unlock()
		if s.revision > revision {
			return s
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s
		}
	}
}

// recordArrival records the arrival time of a revision; the caller holds v.mu.
func (v *View) recordArrival(revision uint64) {
	v.arrivals = append(v.arrivals, arrival{revision: revision, at: time.Now()})
	if extra := len(v.arrivals) - maxArrivals; extra > 0 {
		v.arrivals = v.arrivals[extra:]
	}
}

// KnownFor returns for how long a revision, or a higher one, has been known at the time now,
// and whether it is known. For a revision whose arrival time is no longer kept, the
// duration is a lower bound.
func (v *View) KnownFor(revision uint64, now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range v.arrivals {
		if a.revision >= revision {
			return now.Sub(a.at), true
		}
	}
	return 0, false
}

// AssumeOut treats an object as out of service, whatever its stored state, until
// ClearAssumedOut is called as often as AssumeOut. It is used while the outcome of a change
// that takes the object out of service is not known.
func (v *View) AssumeOut(key Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaceAssumed(func(assumed map[Key]int) { assumed[key]++ })
}

// ClearAssumedOut reverts one call of AssumeOut for an object.
func (v *View) ClearAssumedOut(key Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaceAssumed(func(assumed map[Key]int) {
		assumed[key]--
		if assumed[key] <= 0 {
			delete(assumed, key)
		}
	})
}

// replaceAssumed replaces the snapshot by a copy with changed assumedOut counts; the caller
// holds v.mu.
func (v *View) replaceAssumed(change func(map[Key]int)) {
	next := *v.current.Load()
	next.assumedOut = maps.Clone(next.assumedOut)
	if next.assumedOut == nil {
		next.assumedOut = make(map[Key]int)
	}
	change(next.assumedOut)
	v.current.Store(&next)
}

package config

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// maxLearned is the number of past revisions whose times are kept.
const maxLearned = 256

// learned is a revision and when it became known.
type learned struct {
	revision uint64
	at       time.Time
}

// View holds the highest snapshot a process knows. It is safe for concurrent
// use; reading it takes no lock.
type View struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	learned []learned // in order of revisions
	changed chan struct{}
}

// NewView returns a view of the empty snapshot.
func NewView() *View {
	v := &View{changed: make(chan struct{})}
	v.current.Store(Empty())
	return v
}

// Load returns the present snapshot.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Apply applies an update. It reports whether the revision rose, and whether
// the update could be applied: a delta that starts above the present revision
// cannot.
func (v *View) Apply(u *peerv1.ConfigUpdate) (rose, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.current.Load()
	next, ok := before.With(u)
	v.current.Store(next)
	rose = next.revision > before.revision
	if rose {
		v.learn(next.revision)
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return rose, ok
}

// WaitAbove returns the snapshot once its revision is above a revision, or the
// present one when ctx ends.
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

func (v *View) learn(revision uint64) {
	v.learned = append(v.learned, learned{revision: revision, at: time.Now()})
	if extra := len(v.learned) - maxLearned; extra > 0 {
		v.learned = v.learned[extra:]
	}
}

// Held returns for how long a revision or a higher one has been known at the
// time now, and whether it is known. For a revision whose time is no longer
// kept the result is a lower bound.
func (v *View) Held(revision uint64, now time.Time) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.learned {
		if l.revision >= revision {
			return now.Sub(l.at), true
		}
	}
	return 0, false
}

// AssumeOut treats an object as out of service until Settle, whatever its
// stored state: the outcome of a take-out is not known yet.
func (v *View) AssumeOut(key Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaceAssumed(func(assumed map[Key]int) { assumed[key]++ })
}

// Settle ends one AssumeOut of an object.
func (v *View) Settle(key Key) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replaceAssumed(func(assumed map[Key]int) {
		assumed[key]--
		if assumed[key] <= 0 {
			delete(assumed, key)
		}
	})
}

// replaceAssumed stores a copy of the snapshot with changed assumptions; the
// caller holds v.mu.
func (v *View) replaceAssumed(change func(map[Key]int)) {
	next := *v.current.Load()
	next.assumedOut = maps.Clone(next.assumedOut)
	if next.assumedOut == nil {
		next.assumedOut = make(map[Key]int)
	}
	change(next.assumedOut)
	v.current.Store(&next)
}

package config

import (
	"sync"
	"sync/atomic"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// View holds the highest snapshot a process knows. It is safe for concurrent
// use; reading it takes no lock.
type View struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// NewView returns a view of the empty snapshot.
func NewView() *View {
	v := &View{}
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
	return next.revision > before.revision, ok
}

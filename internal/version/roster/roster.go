// Package roster holds the list of entries at one revision. Package entries is its
// counterpart in processes with the settings section node.
package roster

import (
	"slices"
	"sort"
	"sync/atomic"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Roster is the list of entries at one revision, sorted by name. It is immutable.
type Roster struct {
	Revision uint64
	Entries  []*peerv1.RosterEntry
	// Lapsed are the entries whose lease has expired without a planned stop. They may still
	// run.
	Lapsed []*peerv1.RosterEntry
}

// New returns a roster of entries, which it sorts in place.
func New(revision uint64, entries []*peerv1.RosterEntry) *Roster {
	sort.Slice(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.GetName() != b.GetName() {
			return a.GetName() < b.GetName()
		}
		return a.GetIncarnation() < b.GetIncarnation()
	})
	return &Roster{Revision: revision, Entries: entries}
}

// FromProto converts a roster from its wire form.
func FromProto(r *peerv1.Roster) *Roster {
	next := New(r.GetRevision(), r.GetEntries())
	next.Lapsed = r.GetLapsed()
	return next
}

// Voters returns the entries that count for a majority: the present and the lapsed ones.
func (r *Roster) Voters() []*peerv1.RosterEntry {
	return slices.Concat(r.Entries, r.Lapsed)
}

// ByIncarnation returns the present entry with an incarnation, or nil.
func (r *Roster) ByIncarnation(incarnation uint64) *peerv1.RosterEntry {
	for _, e := range r.Entries {
		if e.GetIncarnation() == incarnation {
			return e
		}
	}
	return nil
}

// Proto converts r to its wire form.
func (r *Roster) Proto() *peerv1.Roster {
	return &peerv1.Roster{Entries: r.Entries, Revision: r.Revision, Lapsed: r.Lapsed}
}

// View holds the latest roster that a process has received. It is safe for concurrent use.
type View struct {
	current atomic.Pointer[Roster]
}

// NewView returns a view of an empty roster.
func NewView() *View {
	v := &View{}
	v.current.Store(&Roster{})
	return v
}

// Load returns the latest roster.
func (v *View) Load() *Roster { return v.current.Load() }

// Apply replaces the roster if r has a higher revision, and reports whether it did.
func (v *View) Apply(r *Roster) bool {
	for {
		present := v.current.Load()
		if r.Revision <= present.Revision {
			return false
		}
		if v.current.CompareAndSwap(present, r) {
			return true
		}
	}
}

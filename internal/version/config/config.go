// Package config holds the operators' configuration at one revision, as a set of objects.
// Package policy is its counterpart in processes with the settings section node.
package config

import (
	"maps"
	"sort"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Key names one object.
type Key struct {
	Kind apiv1.ObjectKind
	Name string
}

// KeyOf returns the key of o.
func KeyOf(o *apiv1.Object) Key {
	return Key{Kind: o.GetKind(), Name: o.GetName()}
}

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	revision uint64
	objects  map[Key]*apiv1.Object
	// assumedOut counts, by object, the changes that take it out of service and whose
	// outcome is not known yet.
	assumedOut map[Key]int
}

// Empty returns the snapshot at revision 0, without objects.
func Empty() *Snapshot {
	return &Snapshot{objects: make(map[Key]*apiv1.Object)}
}

// Revision returns the revision of the last change in s.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Get returns the object of a key, or nil.
func (s *Snapshot) Get(kind apiv1.ObjectKind, name string) *apiv1.Object {
	return s.objects[Key{Kind: kind, Name: name}]
}

// List returns the objects of a kind sorted by name; an unspecified kind selects all.
func (s *Snapshot) List(kind apiv1.ObjectKind) []*apiv1.Object {
	var list []*apiv1.Object
	for key, o := range s.objects {
		if kind == apiv1.ObjectKind_OBJECT_KIND_UNSPECIFIED || key.Kind == kind {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.GetKind() != b.GetKind() {
			return a.GetKind() < b.GetKind()
		}
		return a.GetName() < b.GetName()
	})
	return list
}

// With returns s with an update applied. An object with a lower revision than the known
// one is ignored, so that no object ever reverts. A delta must start at or below the
// revision of s; otherwise ok is false. A complete update is merged whatever its
// revision, since s may come from a store that has lost changes since.
func (s *Snapshot) With(u *peerv1.ConfigUpdate) (next *Snapshot, ok bool) {
	if !u.GetSnapshot() && u.GetFromRevision() > s.revision {
		return s, false
	}
	if u.GetRevision() <= s.revision && !u.GetSnapshot() {
		return s, true
	}
	next = &Snapshot{
		revision:   max(u.GetRevision(), s.revision),
		objects:    maps.Clone(s.objects),
		assumedOut: s.assumedOut,
	}
	for _, o := range u.GetObjects() {
		key := KeyOf(o)
		if next.objects[key].GetRevision() < o.GetRevision() {
			next.objects[key] = o
		}
	}
	return next, true
}

// Since returns the update from a revision to s; from revision 0 it is a complete one.
func (s *Snapshot) Since(revision uint64) *peerv1.ConfigUpdate {
	u := &peerv1.ConfigUpdate{FromRevision: revision, Revision: s.revision, Snapshot: revision == 0}
	for _, o := range s.objects {
		if o.GetRevision() > revision {
			u.Objects = append(u.Objects, o)
		}
	}
	return u
}

// IsOut reports whether an object is out of service, or assumed to be.
func (s *Snapshot) IsOut(kind apiv1.ObjectKind, name string) bool {
	return s.Get(kind, name).GetOut() || s.assumedOut[Key{Kind: kind, Name: name}] > 0
}

// CheckDepartment returns the error for a department whose jobs are refused, or nil.
func (s *Snapshot) CheckDepartment(department string) *verdict.Error {
	o := s.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department)
	if o == nil {
		return verdict.NotRunError(apiv1.Reason_REASON_DEPARTMENT_UNKNOWN, "department %q is not configured", department)
	}
	if s.IsOut(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department) {
		return verdict.NotRunError(apiv1.Reason_REASON_DEPARTMENT_LEFT, "department %q has left", department)
	}
	return nil
}

// CheckTarget returns the error for a target that may not run tasks of a department, or
// nil.
func (s *Snapshot) CheckTarget(department, dataCentre, target string) *verdict.Error {
	if s.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, dataCentre) {
		return verdict.NotRunError(apiv1.Reason_REASON_DATA_CENTRE_OUT, "data centre %q is out of service", dataCentre)
	}
	if s.IsOut(apiv1.ObjectKind_OBJECT_KIND_TARGET, target) {
		return verdict.NotRunError(apiv1.Reason_REASON_TARGET_LEFT, "target %q has left", target)
	}
	d := s.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department)
	if !allows(d.GetDataCentres(), dataCentre) || !allows(d.GetTargets(), target) {
		return verdict.NotRunError(apiv1.Reason_REASON_NO_ELIGIBLE_TARGET, "department %q may not use target %q", department, target)
	}
	return nil
}

// allows reports whether a list contains a value; an empty list allows all values.
func allows(list []string, value string) bool {
	if len(list) == 0 {
		return true
	}
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

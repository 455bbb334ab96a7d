// Package policy holds what the operators want, at one version: which queues
// there are, which pool of targets runs each, and which data centres are out of
// service.
package policy

import (
	"slices"
	"sync/atomic"
	"time"
)

// Queue is one kind of work.
type Queue struct {
	Name string
	// Pool names the targets that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch and TargetLatency give the time in which a job should end:
	// Stretch times its critical path, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
	// Advised is set where an outside service selects the targets of a step.
	Advised bool
	// Timeout bounds a request; 0 for none.
	Timeout time.Duration
}

// Objective returns how long a job with a critical path should take at most.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.TargetLatency
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderWait  time.Duration
	IdleWait    time.Duration
}

// Snapshot is the operators' configuration at one version.
type Snapshot struct {
	Version uint64
	Queues  map[string]*Queue
	Limits  Limits
}

// Outages are the data centres out of service at one revision of the store.
type Outages struct {
	Revision uint64
	Out      []string
}

// Has reports whether a data centre is out of service.
func (o *Outages) Has(dataCentre string) bool { return slices.Contains(o.Out, dataCentre) }

// View is the latest of each that this process knows. Neither ever goes back.
// The zero value is empty.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	outages  atomic.Pointer[Outages]
}

// Snapshot returns the configuration, or nil before the first.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Outages returns the data centres out of service.
func (v *View) Outages() *Outages {
	if o := v.outages.Load(); o != nil {
		return o
	}
	return &Outages{}
}

// Apply takes a configuration and reports whether it is newer than the one known.
func (v *View) Apply(s *Snapshot) bool {
	for {
		known := v.snapshot.Load()
		if known != nil && s.Version <= known.Version {
			return false
		}
		if v.snapshot.CompareAndSwap(known, s) {
			return true
		}
	}
}

// ApplyOutages takes the data centres out of service and reports whether they
// are newer than those known.
func (v *View) ApplyOutages(o *Outages) bool {
	for {
		known := v.outages.Load()
		if known != nil && o.Revision <= known.Revision {
			return false
		}
		if v.outages.CompareAndSwap(known, o) {
			return true
		}
	}
}

// Package policy holds the operators' configuration in a process with the settings section
// node: the queues, the pool of targets that runs each of them, and the data centres out of
// service. Package config is its counterpart in other processes.
package policy

import (
	"slices"
	"sync/atomic"
	"time"
)

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name string
	// Pool names the targets that run the queue's tasks.
	Pool string
	// Priority orders queues; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of failed attempts of a task.
	MaxAttempts int
	// Stretch and TargetLatency define the latency objective of a job: Stretch times its
	// critical path, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Advised is set if an external service selects the targets of a step.
	Advised bool
	// Timeout bounds a request; 0 means no bound.
	Timeout time.Duration
}

// Objective returns the latency objective of a job with the given critical path.
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

// View holds the latest configuration and outages that a process has received. Neither is
// ever replaced by an older one. The zero value is empty. It is safe for concurrent use.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	outages  atomic.Pointer[Outages]
}

// Snapshot returns the configuration, or nil before the first one is applied.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Outages returns the data centres out of service; it is never nil.
func (v *View) Outages() *Outages {
	if o := v.outages.Load(); o != nil {
		return o
	}
	return &Outages{}
}

// Apply replaces the configuration if s is newer, and reports whether it is.
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

// ApplyOutages replaces the data centres out of service if o is newer, and reports whether
// it is.
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

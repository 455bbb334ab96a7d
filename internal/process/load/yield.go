package load

import "time"

// MustYield reports whether a task leaves the free capacity to tasks of the most urgent
// queue that wait at other entries. free and urgent are the free capacity of all targets and
// the capacity that these tasks need.
//
// It addresses an overload with several entries that share the targets. An entry orders
// only its own tasks, so it would give capacity that becomes free to its less urgent jobs
// while the most urgent ones wait elsewhere until it is too late for them. Only the most
// urgent queue is treated so: if each queue yielded to all more urgent ones, the least urgent
// would get nothing while the others fill the capacity.
func MustYield(free, urgent, cpu int64) bool { return urgent > 0 && free-urgent < cpu }

// topPriorityRetention is how long a priority stays the most urgent one without an arrival.
const topPriorityRetention = 10 * time.Second

// TopPriority tracks the most urgent priority among the jobs that arrive. Configured queues
// without traffic do not count.
type TopPriority struct {
	priority int
	// seenAt is when the latest job of that priority arrived; known is set by the first.
	seenAt time.Duration
	known  bool
}

// Observe records the arrival of a job.
func (t *TopPriority) Observe(now time.Duration, priority int) {
	if !t.known || priority <= t.priority || now-t.seenAt > topPriorityRetention {
		t.priority, t.seenAt, t.known = priority, now, true
	}
}

// Priority returns the most urgent priority; 0 before the first arrival.
func (t *TopPriority) Priority() int { return t.priority }

package load

import (
	"container/heap"
	"time"
)

// Waiting is what a queue orders.
type Waiting interface {
	// LatestStart is the last moment at which a start still meets the
	// objective, as a time since the epoch.
	LatestStart() time.Duration
	// Priority is that of its queue; 0 comes first.
	Priority() int
	// Begun reports whether other tasks of the same job have been started.
	Begun() bool
	// Overdue reports whether the objective cannot be met any more.
	Overdue() bool
	// Work is the work that starts with it, CPU the thousandths of a core.
	Work() Work
	CPU() int64
	// Position keeps the place in the queue; -1 for none.
	Position() *int
}

// Queue holds tasks that wait: those of the most urgent queue first, and of one
// priority the one with the least slack. A job is of use only when its last task has
// ended, so the tasks of jobs that have begun go before all others; those that are
// late anyway go last. It answers bursts of one kind: with the arrival order a short
// job waits behind long ones that could wait.
type Queue[T Waiting] struct {
	items items[T]
	total Work
}

// Len returns the number of tasks that wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Total returns the work that waits.
func (q *Queue[T]) Total() Work { return q.total }

// Push adds a task.
func (q *Queue[T]) Push(t T) {
	heap.Push(&q.items, t)
	q.total += t.Work()
}

// Pop removes the first task.
func (q *Queue[T]) Pop() T {
	t := heap.Pop(&q.items).(T)
	q.total -= t.Work()
	return t
}

// Remove removes a task if it waits.
func (q *Queue[T]) Remove(t T) {
	if *t.Position() < 0 {
		return
	}
	heap.Remove(&q.items, *t.Position())
	q.total -= t.Work()
}

// Fix restores the order after a change of t.
func (q *Queue[T]) Fix(t T) {
	if *t.Position() >= 0 {
		heap.Fix(&q.items, *t.Position())
	}
}

// Ahead returns the work that would be started before a task of a priority with a
// latest start, and the thousandths of a core that it takes.
func (q *Queue[T]) Ahead(priority int, latest time.Duration) (work Work, cpu int64) {
	for _, t := range q.items {
		if !t.Overdue() && goesBefore(t, priority, latest) {
			work += t.Work()
			cpu += t.CPU()
		}
	}
	return work, cpu
}

func goesBefore[T Waiting](t T, priority int, latest time.Duration) bool {
	switch {
	case t.Begun():
		return true
	case t.Priority() != priority:
		return t.Priority() < priority
	}
	return t.LatestStart() <= latest
}

// Begun returns the thousandths of a core that the tasks of begun jobs take.
func (q *Queue[T]) Begun() int64 {
	var cpu int64
	for _, t := range q.items {
		if !t.Overdue() && t.Begun() {
			cpu += t.CPU()
		}
	}
	return cpu
}

// All calls f with each task that waits, in no order.
func (q *Queue[T]) All(f func(T)) {
	for _, t := range q.items {
		f(t)
	}
}

// items implements heap.Interface.
type items[T Waiting] []T

func (s items[T]) Len() int { return len(s) }

func (s items[T]) Less(i, j int) bool {
	if s[i].Overdue() != s[j].Overdue() {
		return s[j].Overdue()
	}
	if s[i].Begun() != s[j].Begun() {
		return s[i].Begun()
	}
	if s[i].Priority() != s[j].Priority() {
		return s[i].Priority() < s[j].Priority()
	}
	return s[i].LatestStart() < s[j].LatestStart()
}

func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].Position() = i
	*s[j].Position() = j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	t := x.(T)
	*t.Position() = len(*s)
	*s = append(*s, t)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	old := *s
	t := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*s = old[:len(old)-1]
	*t.Position() = -1
	return t
}

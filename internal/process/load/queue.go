package load

import (
	"container/heap"
	"time"
)

// QueuedTask is an element of a Queue.
type QueuedTask interface {
	// LatestStart is the latest start that still meets the objective, as a duration since
	// the scheduler's start.
	LatestStart() time.Duration
	// Priority is the priority of the task's queue; 0 is the most urgent.
	Priority() int
	// Begun reports whether a task of the same job has been started.
	Begun() bool
	// Overdue reports whether the objective can no longer be met.
	Overdue() bool
	// Work is the processor time that the task needs, CPU its thousandths of a core.
	Work() Work
	CPU() int64
	// Position points to the index in the heap, which is -1 while the task is not
	// queued.
	Position() *int
}

// Queue orders waiting tasks by priority and then by least slack. A job is useful only
// when its last task has ended, so tasks of jobs that have begun precede all others;
// tasks of overdue jobs come last. In a burst, arrival order would make a short job
// wait behind long ones that have time to wait.
type Queue[T QueuedTask] struct {
	items taskHeap[T]
	total Work
}

// Len returns the number of queued tasks.
func (q *Queue[T]) Len() int { return len(q.items) }

// TotalWork returns the work of all queued tasks.
func (q *Queue[T]) TotalWork() Work { return q.total }

// Push adds a task.
func (q *Queue[T]) Push(t T) {
	heap.Push(&q.items, t)
	q.total += t.Work()
}

// Pop removes and returns the first task.
func (q *Queue[T]) Pop() T {
	t := heap.Pop(&q.items).(T)
	q.total -= t.Work()
	return t
}

// Remove removes a task if it is queued.
func (q *Queue[T]) Remove(t T) {
	if *t.Position() < 0 {
		return
	}
	heap.Remove(&q.items, *t.Position())
	q.total -= t.Work()
}

// Fix restores the heap order after a change of t.
func (q *Queue[T]) Fix(t T) {
	if *t.Position() >= 0 {
		heap.Fix(&q.items, *t.Position())
	}
}

// WorkAhead returns the work that would be started before a task of this priority and
// latest start, and the thousandths of a core that it uses.
func (q *Queue[T]) WorkAhead(priority int, latest time.Duration) (work Work, cpu int64) {
	for _, t := range q.items {
		if !t.Overdue() && precedes(t, priority, latest) {
			work += t.Work()
			cpu += t.CPU()
		}
	}
	return work, cpu
}

func precedes[T QueuedTask](t T, priority int, latest time.Duration) bool {
	switch {
	case t.Begun():
		return true
	case t.Priority() != priority:
		return t.Priority() < priority
	}
	return t.LatestStart() <= latest
}

// BegunCPU returns the thousandths of a core that queued tasks of begun jobs need.
func (q *Queue[T]) BegunCPU() int64 {
	var cpu int64
	for _, t := range q.items {
		if !t.Overdue() && t.Begun() {
			cpu += t.CPU()
		}
	}
	return cpu
}

// All calls f for each queued task, in no particular order.
func (q *Queue[T]) All(f func(T)) {
	for _, t := range q.items {
		f(t)
	}
}

// taskHeap implements heap.Interface.
type taskHeap[T QueuedTask] []T

func (s taskHeap[T]) Len() int { return len(s) }

func (s taskHeap[T]) Less(i, j int) bool {
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

func (s taskHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].Position() = i
	*s[j].Position() = j
}

// Push implements heap.Interface.
func (s *taskHeap[T]) Push(x any) {
	t := x.(T)
	*t.Position() = len(*s)
	*s = append(*s, t)
}

// Pop implements heap.Interface.
func (s *taskHeap[T]) Pop() any {
	old := *s
	t := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*s = old[:len(old)-1]
	*t.Position() = -1
	return t
}

package dispatch

import (
	"container/list"
	"time"
)

// class groups the tasks that the same targets can run, so that a slot for one
// is a slot for all.
type class struct {
	department   string
	cpus         float64
	memoryMB     uint32
	accelerators uint32
	repeatable   bool
}

func classOf(t *Task) class {
	size := t.Spec.GetSize()
	return class{
		department:   t.Department,
		cpus:         size.GetCpus(),
		memoryMB:     size.GetMemoryMb(),
		accelerators: size.GetAccelerators(),
		repeatable:   t.Spec.GetRepeatable(),
	}
}

// line holds the waiting tasks of one class, first in first out.
type line struct {
	class class
	tasks list.List
	// wanted is the number of slots asked for and not answered yet.
	wanted int
	// asking is the number of requests for slots in flight.
	asking int
	// turn selects among several brokers.
	turn int
}

func (l *line) first() *Task {
	if e := l.tasks.Front(); e != nil {
		return e.Value.(*Task)
	}
	return nil
}

// queue holds all waiting tasks by class.
type queue struct {
	lines map[class]*line
	// waiting counts the tasks by department.
	waiting map[string]int
	count   int
}

func (q *queue) len() int { return q.count }

func (q *queue) line(c class) *line {
	if q.lines == nil {
		q.lines = make(map[class]*line)
		q.waiting = make(map[string]int)
	}
	l, ok := q.lines[c]
	if !ok {
		l = &line{class: c}
		q.lines[c] = l
	}
	return l
}

func (q *queue) pushBack(t *Task, now time.Time) {
	l := q.line(classOf(t))
	t.waitingSince = now
	t.element = l.tasks.PushBack(t)
	q.added(t)
}

// pushFront returns a task that waited before; it keeps its place by age.
func (q *queue) pushFront(t *Task) {
	l := q.line(classOf(t))
	t.element = l.tasks.PushFront(t)
	q.added(t)
}

func (q *queue) added(t *Task) {
	q.count++
	q.waiting[t.Department]++
}

func (q *queue) remove(t *Task) {
	if t.element == nil {
		return
	}
	l := q.line(classOf(t))
	l.tasks.Remove(t.element)
	t.element = nil
	q.count--
	if q.waiting[t.Department]--; q.waiting[t.Department] == 0 {
		delete(q.waiting, t.Department)
	}
	q.prune(l)
}

// prune forgets an idle line.
func (q *queue) prune(l *line) {
	if l.tasks.Len() == 0 && l.asking == 0 && q.lines[l.class] == l {
		delete(q.lines, l.class)
	}
}

// each calls f for all waiting tasks. f may remove the task it is given.
func (q *queue) each(f func(*Task)) {
	for _, l := range q.lines {
		for e := l.tasks.Front(); e != nil; {
			next := e.Next()
			f(e.Value.(*Task))
			e = next
		}
	}
}

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

const (
	// slackShare is the share of the longest declared run time of a job by which
	// its tasks are due after their arrival: a wait weighs less against a long
	// run than against a short one.
	slackShare = 0.25
	// maxHint bounds the declared run times that are believed, and with them
	// what a wrong one can do.
	maxHint  = time.Second
	maxSlack = time.Duration(slackShare * float64(maxHint))
)

// slack returns how long after its arrival a job is due.
func slack(tasks []*Task) time.Duration {
	var longest time.Duration
	for _, t := range tasks {
		longest = max(longest, time.Duration(t.Spec.GetRunMs())*time.Millisecond)
	}
	return time.Duration(slackShare * float64(min(longest, maxHint)))
}

// line holds the waiting tasks of one class in the order in which they are due.
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
	// backlogs are the waiting tasks by department.
	backlogs map[string]*backlog
	count    int
}

// backlog counts the waiting tasks of a department, and the time in which there
// were any.
type backlog struct {
	waiting int
	since   time.Time
	past    time.Duration
}

// waiting returns the number of waiting tasks of a department.
func (q *queue) waiting(department string) int {
	if b := q.backlogs[department]; b != nil {
		return b.waiting
	}
	return 0
}

// busy returns for how long in all tasks of a department have waited.
func (q *queue) busy(department string, now time.Time) time.Duration {
	b := q.backlogs[department]
	switch {
	case b == nil:
		return 0
	case b.waiting == 0:
		return b.past
	}
	return b.past + now.Sub(b.since)
}

func (q *queue) len() int { return q.count }

func (q *queue) line(c class) *line {
	if q.lines == nil {
		q.lines = make(map[class]*line)
		q.backlogs = make(map[string]*backlog)
	}
	l, ok := q.lines[c]
	if !ok {
		l = &line{class: c}
		q.lines[c] = l
	}
	return l
}

// push adds a new task.
func (q *queue) push(t *Task, due time.Time) {
	l := q.line(classOf(t))
	t.due = due
	e := l.tasks.Back()
	for e != nil && e.Value.(*Task).due.After(due) {
		e = e.Prev()
	}
	if e == nil {
		t.element = l.tasks.PushFront(t)
	} else {
		t.element = l.tasks.InsertAfter(t, e)
	}
	q.added(t)
}

// pushFront adds a task that was placed before; it goes first.
func (q *queue) pushFront(t *Task) {
	l := q.line(classOf(t))
	t.element = l.tasks.PushFront(t)
	q.added(t)
}

func (q *queue) added(t *Task) {
	q.count++
	b := q.backlogs[t.Department]
	if b == nil {
		b = &backlog{}
		q.backlogs[t.Department] = b
	}
	if b.waiting++; b.waiting == 1 {
		b.since = time.Now()
	}
}

func (q *queue) remove(t *Task) {
	if t.element == nil {
		return
	}
	l := q.line(classOf(t))
	l.tasks.Remove(t.element)
	t.element = nil
	q.count--
	b := q.backlogs[t.Department]
	if b.waiting--; b.waiting == 0 {
		b.past += time.Since(b.since)
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

package dispatch

import (
	"container/list"
	"time"
)

// class is the key of tasks that the same targets can run. A slot granted for one task
// of a class can be used for any other.
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
	// slackShare is the share of a job's longest declared run time that is added to its
	// arrival time to get its due time: a wait matters less to a long run than to a
	// short one.
	slackShare = 0.25
	// maxDeclaredRunTime caps declared run times, which limits the effect of a wrong
	// one.
	maxDeclaredRunTime = time.Second
	maxSlack           = time.Duration(slackShare * float64(maxDeclaredRunTime))
)

// slack returns the time from a job's arrival to its due time.
func slack(tasks []*Task) time.Duration {
	var longest time.Duration
	for _, t := range tasks {
		longest = max(longest, time.Duration(t.Spec.GetRunMs())*time.Millisecond)
	}
	return time.Duration(slackShare * float64(min(longest, maxDeclaredRunTime)))
}

// classQueue holds the waiting tasks of one class in the order of their due times.
type classQueue struct {
	class class
	tasks list.List
	// requestedSlots is the number of slots in pending requests.
	requestedSlots int
	// pendingRequests is the number of slot requests in flight.
	pendingRequests int
	// brokerIndex selects the broker to ask next.
	brokerIndex int
}

func (cq *classQueue) first() *Task {
	if e := cq.tasks.Front(); e != nil {
		return e.Value.(*Task)
	}
	return nil
}

// queue holds all waiting tasks by class.
type queue struct {
	classes map[class]*classQueue
	// backlogs holds the backlog of each department.
	backlogs map[string]*backlog
	count    int
}

// backlog is the number of waiting tasks of a department and the time during which
// there were any.
type backlog struct {
	waiting int
	// since is the start of the current backlog, total the duration of earlier ones.
	since time.Time
	total time.Duration
}

// waiting returns the number of waiting tasks of a department.
func (q *queue) waiting(department string) int {
	if b := q.backlogs[department]; b != nil {
		return b.waiting
	}
	return 0
}

// backlogTime returns the total time during which a department had waiting tasks.
func (q *queue) backlogTime(department string, now time.Time) time.Duration {
	b := q.backlogs[department]
	switch {
	case b == nil:
		return 0
	case b.waiting == 0:
		return b.total
	}
	return b.total + now.Sub(b.since)
}

func (q *queue) len() int { return q.count }

func (q *queue) forClass(c class) *classQueue {
	if q.classes == nil {
		q.classes = make(map[class]*classQueue)
		q.backlogs = make(map[string]*backlog)
	}
	cq, ok := q.classes[c]
	if !ok {
		cq = &classQueue{class: c}
		q.classes[c] = cq
	}
	return cq
}

// push inserts a new task in the order of due times.
func (q *queue) push(t *Task, due time.Time) {
	cq := q.forClass(classOf(t))
	t.due = due
	e := cq.tasks.Back()
	for e != nil && e.Value.(*Task).due.After(due) {
		e = e.Prev()
	}
	if e == nil {
		t.element = cq.tasks.PushFront(t)
	} else {
		t.element = cq.tasks.InsertAfter(t, e)
	}
	q.countAdded(t)
}

// pushFront puts a task that was dispatched before ahead of all others of its class.
func (q *queue) pushFront(t *Task) {
	cq := q.forClass(classOf(t))
	t.element = cq.tasks.PushFront(t)
	q.countAdded(t)
}

func (q *queue) countAdded(t *Task) {
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
	cq := q.forClass(classOf(t))
	cq.tasks.Remove(t.element)
	t.element = nil
	q.count--
	b := q.backlogs[t.Department]
	if b.waiting--; b.waiting == 0 {
		b.total += time.Since(b.since)
	}
	q.prune(cq)
}

// prune deletes the queue of a class without waiting tasks and pending requests.
func (q *queue) prune(cq *classQueue) {
	if cq.tasks.Len() == 0 && cq.pendingRequests == 0 && q.classes[cq.class] == cq {
		delete(q.classes, cq.class)
	}
}

// each calls f for every waiting task. f may remove that task from the queue.
func (q *queue) each(f func(*Task)) {
	for _, cq := range q.classes {
		for e := cq.tasks.Front(); e != nil; {
			next := e.Next()
			f(e.Value.(*Task))
			e = next
		}
	}
}

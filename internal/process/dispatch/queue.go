package dispatch

import "container/list"

// queue holds waiting tasks, first in first out.
type queue struct {
	tasks    list.List
	elements map[*Task]*list.Element
}

func (q *queue) len() int { return q.tasks.Len() }

func (q *queue) pushBack(t *Task) { q.index(t, q.tasks.PushBack(t)) }

func (q *queue) pushFront(t *Task) { q.index(t, q.tasks.PushFront(t)) }

func (q *queue) index(t *Task, e *list.Element) {
	if q.elements == nil {
		q.elements = make(map[*Task]*list.Element)
	}
	q.elements[t] = e
}

func (q *queue) remove(t *Task) {
	if e, ok := q.elements[t]; ok {
		q.tasks.Remove(e)
		delete(q.elements, t)
	}
}

// each calls f for the tasks in order until f returns false. f may remove the
// task it is given.
func (q *queue) each(f func(*Task) bool) {
	for e := q.tasks.Front(); e != nil; {
		next := e.Next()
		if !f(e.Value.(*Task)) {
			return
		}
		e = next
	}
}

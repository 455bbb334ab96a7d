package dispatch

import (
	"container/list"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Task is one task of a job. The exported fields are set before Submit and do not change
// afterwards.
type Task struct {
	ID         ticket.ID
	Index      uint32
	JobTasks   uint32
	Department string
	Owner      string
	Spec       *apiv1.Task
	Deadline   time.Time
	Expires    time.Time
	// Done is called once, without any lock of the dispatcher held.
	Done func(Outcome)

	phase phase
	// lastAttempt is the number of the latest attempt.
	lastAttempt uint32
	current     *attempt
	// speculative is the second attempt that runs in parallel to current, or nil.
	speculative *attempt
	// hasSpeculated is set once a speculative attempt was queued.
	hasSpeculated bool
	// worstVerdict is the worst verdict of all ended attempts.
	worstVerdict verdict.Verdict
	// crashes is the number of attempts under which the target may have crashed.
	crashes   int
	cancelled bool
	// element is the task's element in its classQueue while it waits.
	element *list.Element
	// due is the time by which waiting tasks of a class are ordered.
	due time.Time
}

type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseSent
	phaseFinished
)

// Outcome is the output of a task, or the error that ended it.
type Outcome struct {
	Output []byte
	Err    *verdict.Error
}

// attemptKey identifies an attempt in maps.
type attemptKey struct {
	id      ticket.ID
	task    uint32
	attempt uint32
}

func keyOf(id *peerv1.AttemptID) attemptKey {
	return attemptKey{
		id:      ticket.ID{Home: id.GetIncarnation(), Sequence: id.GetSequence()},
		task:    id.GetTask(),
		attempt: id.GetAttempt(),
	}
}

func (k attemptKey) proto() *peerv1.AttemptID {
	return &peerv1.AttemptID{
		Incarnation: k.id.Home,
		Sequence:    k.id.Sequence,
		Task:        k.task,
		Attempt:     k.attempt,
	}
}

// attempt is one Start frame sent to a target.
type attempt struct {
	key    attemptKey
	task   *Task
	target *target
	sentAt time.Time
	// broker is the entry to notify when the attempt of a department with a quota ends,
	// or 0.
	broker uint64
}

package dispatch

import (
	"container/list"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Task is one task of a job on its way to a target. The exported fields are set
// before Submit and do not change after it.
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

	phase    phase
	attempts uint32
	current  *attempt
	// second is the attempt that runs beside current, if any.
	second *attempt
	// isRepeated is set once a second attempt was asked for.
	isRepeated bool
	// started is the strongest verdict of all ended attempts.
	started   verdict.Verdict
	cancelled bool
	// element is the task's place in the queue while it waits there.
	element *list.Element
	// due orders waiting tasks: the one that is due first goes first.
	due time.Time
}

type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseSent
	phaseFinished
)

// Outcome is the end of a task: its output, or the error that ended it.
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
	// broker is the entry to tell when a task of a department with a quota
	// ends; 0 for none.
	broker uint64
}

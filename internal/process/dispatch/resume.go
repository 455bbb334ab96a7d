package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// generationShift leaves 16 bits for the attempt numbers of one adoption, so that
// different adopters of a task never use the same attempt number.
const generationShift = 16

// BaseAttempt returns the number before that of the first attempt of an adoption.
func BaseAttempt(generation uint32) uint32 { return generation << generationShift }

// AdoptedAttempt is an attempt of a lost home that an agent still keeps. The zero value
// means that no agent keeps an attempt of the task.
type AdoptedAttempt struct {
	Target  string
	Attempt uint32
	// Result is nil while the attempt is running.
	Result *peerv1.Result
}

// Resume takes over the tasks of a lost home. kept[i] is the attempt of tasks[i]: a
// running attempt is awaited, and the result of an ended one is handled at once. A task
// without an attempt is started again if it is repeatable, and fails with MayHaveRun
// otherwise. The retry budget does not apply to these starts: the lost home starts
// nothing any more, so they do not multiply the load.
func (d *Dispatcher) Resume(tasks []*Task, kept []AdoptedAttempt, generation uint32) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	for i, t := range tasks {
		t.lastAttempt = BaseAttempt(generation)
		t.worstVerdict = verdict.MayHaveRun
		d.resume(t, kept[i])
	}
	d.dispatchQueued()
}

func (d *Dispatcher) resume(t *Task, k AdoptedAttempt) {
	tg := d.targets[k.Target]
	if tg == nil {
		tg = &target{info: &peerv1.TargetInfo{Name: k.Target}}
	}
	at := &attempt{
		key:    attemptKey{id: t.ID, task: t.Index, attempt: k.Attempt},
		task:   t,
		target: tg,
		sentAt: time.Now(),
	}
	t.phase = phaseSent
	t.current = at
	switch {
	case k.Result != nil:
		d.handleOutcome(at, k.Result)
	case k.Attempt != 0 && tg.inFlight != nil:
		tg.inFlight[at.key] = at
		d.inUse[t.Department]++
	case k.Attempt == 0 && t.Spec.GetRepeatable():
		t.dropAttempt(at)
		d.requeue(t, apiv1.Reason_REASON_HOME_LOST)
	default:
		d.handleFailure(at, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_HOME_LOST, "no agent keeps an attempt of task %d", t.Index))
	}
}

package dispatch

import (
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// generationShift leaves 16 bits for the attempts of one adoption, so that the
// attempts of different adopters of a task never share a number.
const generationShift = 16

// FirstAttempt returns the number that the attempts of an adoption follow.
func FirstAttempt(generation uint32) uint32 { return generation << generationShift }

// Kept is an attempt of a lost home that an agent still keeps. The zero value
// stands for a task without such an attempt.
type Kept struct {
	Target  string
	Attempt uint32
	// Result is nil while the attempt runs.
	Result *peerv1.Result
}

// Resume takes over the tasks of a lost home, kept[i] being the attempt of
// tasks[i]. An attempt that runs is waited for, and one that has ended ends its
// task. A task without an attempt is started again when it is repeatable, and
// fails with MayHaveRun otherwise. The retry budget does not bound these starts:
// the lost home starts nothing any more, so they do not multiply load.
func (d *Dispatcher) Resume(tasks []*Task, kept []Kept, generation uint32) {
	d.mu.Lock()
	defer d.unlockAndComplete()
	for i, t := range tasks {
		t.attempts = FirstAttempt(generation)
		t.started = verdict.MayHaveRun
		d.resume(t, kept[i])
	}
	d.pump()
}

func (d *Dispatcher) resume(t *Task, k Kept) {
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
		d.endAttempt(at, k.Result)
	case k.Attempt != 0 && tg.inFlight != nil:
		tg.inFlight[at.key] = at
		d.inUse[t.Department]++
	case k.Attempt == 0 && t.Spec.GetRepeatable():
		t.release(at)
		d.requeue(t, apiv1.Reason_REASON_HOME_LOST)
	default:
		d.failed(at, verdict.New(verdict.MayHaveRun, apiv1.Reason_REASON_HOME_LOST, "no agent keeps an attempt of task %d", t.Index))
	}
}

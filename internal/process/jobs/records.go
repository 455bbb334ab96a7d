package jobs

import (
	"sync"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
)

// Records holds what agents keep of the attempts of a lost home. It is safe for
// concurrent use.
type Records struct {
	mu    sync.Mutex
	tasks map[recordKey]dispatch.Kept
}

type recordKey struct {
	sequence uint64
	task     uint32
}

// NewRecords returns an empty set.
func NewRecords() *Records {
	return &Records{
		tasks: make(map[recordKey]dispatch.Kept),
	}
}

// Add takes an agent's word on one attempt at a target. Of several attempts of a
// task the one that says most is kept: a success, then one that runs, then a
// failure. A tombstone says nothing, since another attempt may have started.
func (r *Records) Add(target string, k *peerv1.KeptAttempt) {
	id := k.GetState().GetId()
	phase := k.GetState().GetPhase()
	if phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING && phase != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
		return
	}
	key := recordKey{sequence: id.GetSequence(), task: id.GetTask()}
	next := dispatch.Kept{Target: target, Attempt: id.GetAttempt(), Result: k.GetResult()}
	if phase == peerv1.AttemptPhase_ATTEMPT_PHASE_DONE && next.Result == nil {
		next.Result = lostResult(id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.tasks[key]; !ok || isBetter(next, known) {
		r.tasks[key] = next
	}
}

func isBetter(next, known dispatch.Kept) bool {
	if next.Target == known.Target && next.Attempt == known.Attempt {
		return known.Result == nil
	}
	return rank(next) > rank(known)
}

func rank(k dispatch.Kept) int {
	switch {
	case k.Result == nil:
		return 1
	case k.Result.GetFailure() == nil:
		return 2
	default:
		return 0
	}
}

// Find returns the attempt of a task, or the zero value.
func (r *Records) Find(sequence uint64, task uint32) dispatch.Kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[recordKey{sequence: sequence, task: task}]
}

// Len returns the number of tasks with an attempt.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

package jobs

import (
	"sync"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
)

// AttemptRecords holds the attempts of a lost home that agents keep, one for each task. It is
// safe for concurrent use.
type AttemptRecords struct {
	mu    sync.Mutex
	home  uint64
	tasks map[recordKey]dispatch.AdoptedAttempt
	// agents holds the incarnation of each target's agent.
	agents map[string]uint64
}

type recordKey struct {
	sequence uint64
	task     uint32
}

func (k recordKey) attemptID(home uint64, attempt uint32) *peerv1.AttemptID {
	return &peerv1.AttemptID{Incarnation: home, Sequence: k.sequence, Task: k.task, Attempt: attempt}
}

// NewAttemptRecords returns empty records for a lost home.
func NewAttemptRecords(home uint64) *AttemptRecords {
	return &AttemptRecords{
		home:   home,
		tasks:  make(map[recordKey]dispatch.AdoptedAttempt),
		agents: make(map[string]uint64),
	}
}

// SetAgentIncarnation records the incarnation of a target's agent. Attempts that were
// running at an earlier incarnation are lost.
func (r *AttemptRecords) SetAgentIncarnation(target string, incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.agents[target]
	r.agents[target] = incarnation
	if !ok || known == incarnation {
		return
	}
	for key, k := range r.tasks {
		if k.Target == target && k.Result == nil {
			k.Result = lostAttempt(key.attemptID(r.home, k.Attempt))
			r.tasks[key] = k
		}
	}
}

// Add records an attempt that an agent reports for a target. Of several attempts of a
// task one is kept: a successful one, else a running one, else a failed one. Tombstones
// are ignored, because another attempt of the task may have started. If the attempt was
// reported as running before and has ended, Add returns its result, otherwise nil.
func (r *AttemptRecords) Add(target string, k *peerv1.KeptAttempt) *peerv1.Result {
	id := k.GetState().GetId()
	phase := k.GetState().GetPhase()
	if phase != peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING && phase != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
		return nil
	}
	key := recordKey{sequence: id.GetSequence(), task: id.GetTask()}
	next := dispatch.AdoptedAttempt{Target: target, Attempt: id.GetAttempt(), Result: k.GetResult()}
	if phase == peerv1.AttemptPhase_ATTEMPT_PHASE_DONE && next.Result == nil {
		next.Result = lostResult(id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.tasks[key]
	switch {
	case !ok:
		r.tasks[key] = next
	case next.Target == known.Target && next.Attempt == known.Attempt:
		if known.Result == nil {
			r.tasks[key] = next
			return next.Result
		}
	case attemptRank(next) > attemptRank(known):
		r.tasks[key] = next
	}
	return nil
}

// attemptRank orders the attempts of a task by which one is kept; the highest is.
func attemptRank(k dispatch.AdoptedAttempt) int {
	switch {
	case k.Result == nil:
		return 1
	case k.Result.GetFailure() == nil:
		return 2
	default:
		return 0
	}
}

// Find returns the attempt of a task, or the zero value if there is none.
func (r *AttemptRecords) Find(sequence uint64, task uint32) dispatch.AdoptedAttempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[recordKey{sequence: sequence, task: task}]
}

// Len returns the number of tasks with an attempt.
func (r *AttemptRecords) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.tasks)
}

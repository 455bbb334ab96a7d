package jobs

import (
	"testing"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// An adopter starts a task again if no agent keeps an attempt of it, so each phase that an
// agent reports must be known to prove an execution or nothing. Reports may come twice.
func TestEachKeptPhaseHasAClass(t *testing.T) {
	const home, unknownPhase = 1, peerv1.AttemptPhase(100)
	id := &peerv1.AttemptID{Incarnation: home, Sequence: 1, Attempt: 1}
	result := &peerv1.Result{Id: id, Output: []byte("done")}
	for _, c := range []struct {
		phase     peerv1.AttemptPhase
		result    *peerv1.Result
		kept      bool // an attempt was executed
		hasResult bool
	}{
		{peerv1.AttemptPhase_ATTEMPT_PHASE_UNSPECIFIED, nil, false, false},
		{peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE, nil, false, false},
		{peerv1.AttemptPhase_ATTEMPT_PHASE_RUNNING, nil, true, false},
		{peerv1.AttemptPhase_ATTEMPT_PHASE_DONE, result, true, true},
		{peerv1.AttemptPhase_ATTEMPT_PHASE_DONE, nil, true, true}, // replaced by a failure
		{unknownPhase, nil, false, false},
	} {
		r := NewAttemptRecords(home)
		for range 2 {
			r.Add("r1", &peerv1.KeptAttempt{State: &peerv1.AttemptState{Id: id, Phase: c.phase}, Result: c.result})
		}
		got := r.Find(1, 0)
		if (got.Attempt != 0) != c.kept || (got.Result != nil) != c.hasResult {
			t.Errorf("%v: %v, want an attempt %v, with a result %v", c.phase, got, c.kept, c.hasResult)
		}
	}
	if len(peerv1.AttemptPhase_name) != 4 {
		t.Errorf("%d phases; give each a class above", len(peerv1.AttemptPhase_name))
	}
}

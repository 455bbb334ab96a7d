package attempts

import (
	"testing"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

func start(attempt uint32) *peerv1.Start {
	return &peerv1.Start{
		Id:        &peerv1.AttemptID{Incarnation: 1, Sequence: 1, Attempt: attempt},
		Sender:    1,
		ExpiresMs: 60_000,
	}
}

func open() *verdict.Error { return nil }

func wantReason(t *testing.T, err *verdict.Error, reason apiv1.Reason) {
	t.Helper()
	if err == nil || err.Reason != reason || err.Verdict != verdict.NotRun {
		t.Errorf("got %v, want %v as not run", err, reason)
	}
}

func TestDoubledStartIsRefused(t *testing.T) {
	table := New(2)
	if err := table.Begin(start(1), open, func() {}); err != nil {
		t.Fatal(err)
	}
	wantReason(t, table.Begin(start(1), open, func() {}), apiv1.Reason_REASON_TOMBSTONED)
	if table.Busy() != 1 {
		t.Errorf("%d slots are busy, want 1", table.Busy())
	}
}

func TestStartAfterCancelIsRefused(t *testing.T) {
	table := New(2)
	states, _ := table.Stop([]*peerv1.AttemptID{start(1).GetId()}, true)
	if states[0].GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_TOMBSTONE {
		t.Fatalf("got %v, want a tombstone", states[0].GetPhase())
	}
	wantReason(t, table.Begin(start(1), open, func() {}), apiv1.Reason_REASON_TOMBSTONED)
}

func TestStartWithoutSlotIsRefused(t *testing.T) {
	table := New(1)
	if err := table.Begin(start(1), open, func() {}); err != nil {
		t.Fatal(err)
	}
	wantReason(t, table.Begin(start(2), open, func() {}), apiv1.Reason_REASON_TARGET_FULL)
	table.Finish(&peerv1.Result{Id: start(1).GetId()})
	if err := table.Begin(start(3), open, func() {}); err != nil {
		t.Errorf("slot was not freed: %v", err)
	}
}

func TestStartOfFencedSenderIsRefused(t *testing.T) {
	table := New(1)
	table.Fence(1)
	wantReason(t, table.Begin(start(1), open, func() {}), apiv1.Reason_REASON_FENCED)
}

func TestResultIsKeptUntilAcknowledged(t *testing.T) {
	table := New(1)
	ids := []*peerv1.AttemptID{start(1).GetId()}
	if err := table.Begin(start(1), open, func() {}); err != nil {
		t.Fatal(err)
	}
	table.Finish(&peerv1.Result{Id: ids[0], Output: []byte("done")})
	if _, results := table.Stop(ids, false); len(results) != 1 {
		t.Errorf("%d results are kept, want 1", len(results))
	}
	table.Acknowledge(ids)
	states, results := table.Stop(ids, false)
	if len(results) != 0 || states[0].GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
		t.Errorf("%d results are kept in phase %v, want none in phase done", len(results), states[0].GetPhase())
	}
}

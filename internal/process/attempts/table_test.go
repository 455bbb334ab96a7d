package attempts

import (
	"testing"
	"time"

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

func admitAll() *verdict.Error { return nil }

func wantReason(t *testing.T, err *verdict.Error, reason apiv1.Reason) {
	t.Helper()
	if err == nil || err.Reason != reason || err.Verdict != verdict.NotRun {
		t.Errorf("got %v, want %v as not run", err, reason)
	}
}

func TestDuplicateStartIsRefused(t *testing.T) {
	table := New(2)
	if err := table.Begin(start(1), admitAll, func() {}); err != nil {
		t.Fatal(err)
	}
	err := table.Begin(start(1), admitAll, func() {})
	if err == nil || err.Reason != apiv1.Reason_REASON_TOMBSTONED || err.Verdict != verdict.Ran {
		t.Errorf("got %v, want the attempt known as ran", err)
	}
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
	wantReason(t, table.Begin(start(1), admitAll, func() {}), apiv1.Reason_REASON_TOMBSTONED)
}

func TestStartWithoutSlotIsRefused(t *testing.T) {
	table := New(1)
	if err := table.Begin(start(1), admitAll, func() {}); err != nil {
		t.Fatal(err)
	}
	wantReason(t, table.Begin(start(2), admitAll, func() {}), apiv1.Reason_REASON_TARGET_FULL)
	table.Finish(&peerv1.Result{Id: start(1).GetId()})
	if err := table.Begin(start(3), admitAll, func() {}); err != nil {
		t.Errorf("slot was not freed: %v", err)
	}
}

func TestStartOfFencedSenderIsRefused(t *testing.T) {
	table := New(1)
	table.Fence(&peerv1.Fence{Incarnation: 1, Adopter: 2, Generation: 1})
	wantReason(t, table.Begin(start(1), admitAll, func() {}), apiv1.Reason_REASON_FENCED)
}

func TestOnlyLatestAdopterCanStart(t *testing.T) {
	table := New(4)
	byEntry := func(sender uint64, attempt uint32) *verdict.Error {
		s := start(attempt)
		s.Sender = sender
		return table.Begin(s, admitAll, func() {})
	}
	wantReason(t, byEntry(2, 1), apiv1.Reason_REASON_FENCED)
	table.Fence(&peerv1.Fence{Incarnation: 1, Adopter: 2, Generation: 1})
	if err := byEntry(2, 2); err != nil {
		t.Errorf("start of the adopter was refused: %v", err)
	}
	table.Fence(&peerv1.Fence{Incarnation: 1, Adopter: 3, Generation: 2})
	if _, ok := table.Fence(&peerv1.Fence{Incarnation: 1, Adopter: 2, Generation: 1}); ok {
		t.Error("late fence of the former adopter was accepted")
	}
	wantReason(t, byEntry(2, 3), apiv1.Reason_REASON_FENCED)
	if err := byEntry(3, 4); err != nil {
		t.Errorf("start of the second adopter was refused: %v", err)
	}
}

func TestResultIsKeptUntilItsTicketExpires(t *testing.T) {
	table := New(1)
	ids := []*peerv1.AttemptID{start(1).GetId()}
	if err := table.Begin(start(1), admitAll, func() {}); err != nil {
		t.Fatal(err)
	}
	table.Finish(&peerv1.Result{Id: ids[0], Output: []byte("done")})
	table.Expire(time.Now().Add(50 * time.Second))
	if _, results := table.Stop(ids, false); len(results) != 1 {
		t.Errorf("%d results are kept, want 1", len(results))
	}
	table.Expire(time.Now().Add(70 * time.Second))
	if len(table.records) != 0 || len(table.resultKeys) != 0 || table.resultBytes != 0 {
		t.Errorf("%d records and %d bytes are kept after the ticket has expired", len(table.records), table.resultBytes)
	}
}

func TestOldestResultsAreDroppedAtTheLimit(t *testing.T) {
	table := New(1)
	table.maxResultBytes = 3000
	for n := uint32(1); n <= 5; n++ {
		if err := table.Begin(start(n), admitAll, func() {}); err != nil {
			t.Fatal(err)
		}
		table.Finish(&peerv1.Result{Id: start(n).GetId(), Output: make([]byte, 1000)})
	}
	for n := uint32(1); n <= 5; n++ {
		states, results := table.Stop([]*peerv1.AttemptID{start(n).GetId()}, false)
		if states[0].GetPhase() != peerv1.AttemptPhase_ATTEMPT_PHASE_DONE {
			t.Errorf("attempt %d is in phase %v, want done", n, states[0].GetPhase())
		}
		if want := n >= 4; (len(results) == 1) != want {
			t.Errorf("attempt %d: result kept is %v, want %v", n, !want, want)
		}
	}
}

package entry

import (
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/jobs"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// A caller cancels a job whose submission got no answer. If the submission arrives after the
// cancellation, it must not run what the caller was told has not run.
func TestDelayedSubmissionOfCancelledJobDoesNotRun(t *testing.T) {
	ca, err := identity.NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	e := newRoutingEntry(t, ca, &peerv1.RosterEntry{})
	e.config.Apply(&peerv1.ConfigUpdate{Revision: 1, Objects: []*apiv1.Object{
		{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: "desk", Revision: 1},
	}})
	e.freshness = newFreshness(time.Minute, time.Now())
	e.freshness.recordStore(time.Now())
	e.ready.Store(true)
	e.dispatcher = dispatch.New(dispatch.Options{Incarnation: e.incarnation, QueueLimit: 10, Config: e.config, Counters: e.counters})
	table := jobs.NewTable(e.incarnation, ticket.Key{1}, time.Minute, e.dispatcher, e.counters)
	tk := table.Issue("desk", "mama", 1)[0]

	answer, refusal := e.cancelInTable(t.Context(), table, &apiv1.CancelJobRequest{Ticket: tk, Department: "desk", Owner: "mama"})
	got := answer.GetFailure().GetVerdict()
	if refusal != nil {
		got = refusal.Verdict
	}
	if got != verdict.NotRun {
		t.Errorf("cancellation: %v, %v, want not run", answer, refusal)
	}
	answer, refusal = e.submitToTable(t.Context(), table, &apiv1.SubmitRequest{
		Ticket: tk, Department: "desk", Owner: "mama", DeadlineMs: 60_000, NoWait: true, Tasks: []*apiv1.Task{{}},
	})
	if answer.GetFailure().GetReason() != apiv1.Reason_REASON_CANCELLED {
		t.Errorf("delayed submission: %v, %v, want it cancelled", answer, refusal)
	}
}

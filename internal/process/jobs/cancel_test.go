package jobs

import (
	"testing"
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// A submission without an answer may arrive after the cancellation of its job. It must not
// start what was answered as cancelled, and the repeated cancellation gets the same answer.
func TestCancelledTicketStartsNothingLater(t *testing.T) {
	table := newInstantTable([]byte("done"))
	tk, err := table.Decode(table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	if err != nil {
		t.Fatal(err)
	}
	for try := range 2 {
		job, err := table.Cancel(tk)
		if err != nil {
			t.Fatalf("cancellation %d: %v", try, err)
		}
		wantCancelled(t, job)
	}
	job, err := table.Submit(tk, &apiv1.SubmitRequest{DeadlineMs: 1000, Tasks: []*apiv1.Task{{}}}, admitAll)
	if err != nil {
		t.Fatal(err)
	}
	wantCancelled(t, job)

	successor := newInstantTable(nil).NewAdopted(1, Adopted{Generation: 1, Records: NewAttemptRecords(1), HandedOver: true})
	successor.Restore(table.Answers())
	job, err = successor.Submit(tk, &apiv1.SubmitRequest{Tasks: []*apiv1.Task{{}, {}}}, admitAll)
	if err != nil {
		t.Fatal(err)
	}
	wantCancelled(t, job)
}

func wantCancelled(t *testing.T, j *Job) {
	t.Helper()
	f := j.Answer().GetFailure()
	if f.GetReason() != apiv1.Reason_REASON_CANCELLED || f.GetVerdict() != verdict.NotRun {
		t.Errorf("got %v, want cancelled as not run", j.Answer())
	}
}

// A table that cannot keep a cancellation must not claim that nothing will run.
func TestCancellationThatIsNotKeptMayHaveRun(t *testing.T) {
	full := newInstantTable(nil)
	full.SetMemoryLimit(NewMemoryLimit(0))
	closed := newInstantTable(nil)
	closed.Close()
	adopter := newInstantTable(nil).NewAdopted(1, Adopted{Generation: 1, Records: NewAttemptRecords(1)})
	for _, c := range []struct {
		name   string
		table  *Table
		reason apiv1.Reason
	}{
		{"memory full", full, apiv1.Reason_REASON_OVERLOAD},
		{"stopping", closed, apiv1.Reason_REASON_STOPPING},
		{"adopter of a lost home", adopter, apiv1.Reason_REASON_HOME_LOST},
	} {
		t.Run(c.name, func(t *testing.T) {
			tk, err := c.table.Decode(c.table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
			if err != nil {
				t.Fatal(err)
			}
			if _, err = c.table.Cancel(tk); err == nil || err.Reason != c.reason || err.Verdict != verdict.MayHaveRun {
				t.Errorf("got %v, want %v as may have run", err, c.reason)
			}
			tk.Expires = time.Now()
			if _, err = c.table.Cancel(tk); err == nil || err.Verdict != verdict.MayHaveRun {
				t.Errorf("got %v for an expired ticket, want may have run", err)
			}
		})
	}
}

package jobs

import (
	"testing"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

func refuseAll() *verdict.Error {
	return verdict.NotRunError(apiv1.Reason_REASON_DEPARTMENT_LEFT, "department has left")
}

// The home of a ticket may have run its job before it was lost, so that a refusal of the
// adopter proves nothing. After a planned stop the successor knows all jobs.
func TestRefusalOfAdopterIsNotReportedAsNotRun(t *testing.T) {
	adopt := func(handedOver bool) *Table {
		a := Adopted{Generation: 1, Records: NewAttemptRecords(1), HandedOver: handedOver}
		return newInstantTable(nil).NewAdopted(1, a)
	}
	full := adopt(false)
	full.SetMemoryLimit(NewMemoryLimit(0))
	closed := newInstantTable(nil)
	closed.Close()
	for _, c := range []struct {
		name  string
		table *Table
		admit func() *verdict.Error
		want  verdict.Verdict
	}{
		{"home", newInstantTable(nil), refuseAll, verdict.NotRun},
		{"stopping home", closed, admitAll, verdict.MayHaveRun},
		{"successor of a stopped home", adopt(true), refuseAll, verdict.NotRun},
		{"adopter of a lost home", adopt(false), refuseAll, verdict.MayHaveRun},
		{"adopter of a lost home, memory full", full, admitAll, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			tk, err := c.table.Decode(c.table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
			if err != nil {
				t.Fatal(err)
			}
			_, err = c.table.Submit(tk, &apiv1.SubmitRequest{DeadlineMs: 1000, Tasks: []*apiv1.Task{{}}}, c.admit)
			if err == nil || err.Verdict != c.want {
				t.Errorf("got %v, want the verdict %v", err, c.want)
			}
		})
	}
}

// heldDispatcher is a Dispatcher that refuses the tasks of Submit once it is released.
type heldDispatcher struct {
	instantDispatcher
	held, release chan struct{}
}

func (d heldDispatcher) Submit([]*dispatch.Task) *verdict.Error {
	close(d.held)
	<-d.release
	return verdict.NotRunError(apiv1.Reason_REASON_OVERLOAD, "too many tasks are waiting")
}

// A refused job is not remembered. The submission that joined it must get the refusal and
// not an answer, which would say that no later submission starts the job.
func TestJoinedRefusalIsNotAnAnswer(t *testing.T) {
	table := newInstantTable(nil)
	d := heldDispatcher{held: make(chan struct{}), release: make(chan struct{})}
	table.dispatcher = d
	tk, err := table.Decode(table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	if err != nil {
		t.Fatal(err)
	}
	request := &apiv1.SubmitRequest{DeadlineMs: 1000, Tasks: []*apiv1.Task{{}}}
	first := make(chan *verdict.Error, 1)
	go func() {
		_, err := table.Submit(tk, request, admitAll)
		first <- err
	}()
	<-d.held
	joined, err := table.Submit(tk, request, admitAll)
	if err != nil {
		t.Fatal(err)
	}
	close(d.release)
	answer, refusal := joined.Wait(t.Context())
	if own := <-first; refusal == nil || own == nil || refusal.Reason != own.Reason {
		t.Errorf("joined submission got %v, %v, want the refusal %v", answer, refusal, own)
	}
	if _, err := table.Get(tk); err == nil || err.Reason != apiv1.Reason_REASON_JOB_UNKNOWN {
		t.Errorf("got %v for the refused job, want it unknown", err)
	}
}

var _ Dispatcher = heldDispatcher{}

// A job that has an answer keeps it: each later submission joins it until the ticket expires.
func TestAnswerNotRunIsRemembered(t *testing.T) {
	table := newInstantTable(nil)
	table.dispatcher = idleDispatcher{}
	tk, err := table.Decode(table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	if err != nil {
		t.Fatal(err)
	}
	request := &apiv1.SubmitRequest{DeadlineMs: 10_000, Tasks: []*apiv1.Task{{}}}
	job, err := table.Submit(tk, request, admitAll)
	if err != nil {
		t.Fatal(err)
	}
	job.failNow(verdict.NotRunError(apiv1.Reason_REASON_CANCELLED, "cancelled before its start"))
	again, err := table.Submit(tk, request, refuseAll)
	if err != nil {
		t.Fatal(err)
	}
	if a, err := again.Wait(t.Context()); err != nil || a.GetFailure().GetVerdict() != verdict.NotRun {
		t.Errorf("got %v, %v, want the remembered answer", a, err)
	}
}

// idleDispatcher is a Dispatcher whose tasks never end.
type idleDispatcher struct{ instantDispatcher }

func (idleDispatcher) Submit([]*dispatch.Task) *verdict.Error { return nil }

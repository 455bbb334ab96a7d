package jobs

import (
	"testing"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
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

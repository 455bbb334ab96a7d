package jobs

import (
	"runtime"
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/dispatch"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/ticket"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// instantDispatcher is a Dispatcher whose tasks end in Submit.
type instantDispatcher struct{ output []byte }

func (d instantDispatcher) Submit(tasks []*dispatch.Task) *verdict.Error {
	for _, t := range tasks {
		t.Done(dispatch.Outcome{Output: d.output})
	}
	return nil
}

func (d instantDispatcher) Cancel([]*dispatch.Task, verdict.Reason)                    {}
func (d instantDispatcher) Resume([]*dispatch.Task, []dispatch.AdoptedAttempt, uint32) {}
func (d instantDispatcher) HandleResult(string, *peerv1.Result)                        {}
func admitAll() *verdict.Error                                                         { return nil }
func newInstantTable(output []byte) *Table {
	return NewTable(1, ticket.Key{1}, time.Minute, instantDispatcher{output}, metrics.New())
}

func submitOne(t testing.TB, table *Table, tasks int) (ticket.Ticket, *verdict.Error) {
	t.Helper()
	r := &apiv1.SubmitRequest{DeadlineMs: 1000}
	for range tasks {
		r.Tasks = append(r.Tasks, &apiv1.Task{})
	}
	tk, err := table.Decode(table.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	if err != nil {
		t.Fatal(err)
	}
	j, err := table.Submit(tk, r, admitAll)
	if err == nil {
		<-j.done
	}
	return tk, err
}

func waitUsed(t *testing.T, table *Table, reached func(int64) bool) {
	t.Helper()
	const limit = 5 * time.Second
	for end := time.Now().Add(limit); !reached(table.memory.Used()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are in use", table.memory.Used())
		}
	}
}

func TestFullMemoryRefusesNewJobsAndAnswersOldOnes(t *testing.T) {
	table := newInstantTable(make([]byte, 1000))
	table.SetMemoryLimit(NewMemoryLimit(4000))
	first, err := submitOne(t, table, 4)
	if err != nil {
		t.Fatal(err)
	}
	waitUsed(t, table, func(used int64) bool { return used >= 4000 })
	if _, err := submitOne(t, table, 1); err == nil || err.Reason != apiv1.Reason_REASON_OVERLOAD || err.Verdict != verdict.NotRun {
		t.Errorf("got %v, want overload as not run", err)
	}
	if _, err := table.Get(first); err != nil {
		t.Errorf("remembered answer is refused: %v", err)
	}
	table.expire(time.Now().Add(2 * time.Minute).Unix())
	waitUsed(t, table, func(used int64) bool { return used == 0 })
	if _, err := submitOne(t, table, 1); err != nil {
		t.Errorf("job is refused although the answers have expired: %v", err)
	}
}

func TestSuccessorReturnsHandedOverAnswers(t *testing.T) {
	home := newInstantTable([]byte("done"))
	tk, err := submitOne(t, home, 2)
	if err != nil {
		t.Fatal(err)
	}
	successor := newInstantTable(nil).NewAdopted(1, Adopted{Generation: 1, Records: NewAttemptRecords(1), HandedOver: true})
	successor.Restore(home.Answers())
	j, err := successor.Submit(tk, &apiv1.SubmitRequest{Tasks: []*apiv1.Task{{}, {}}}, admitAll)
	if err != nil || string(j.Answer().GetResults()[1].GetOutput()) != "done" {
		t.Errorf("got %v, %v, want the remembered answer", j, err)
	}
	other, _ := home.Decode(home.Issue(testDepartment, "mama", 1)[0], testDepartment, "mama")
	if _, err := successor.Get(other); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("got %v for a ticket that was never submitted, want not run", err)
	}
}

// BenchmarkRememberedJob reports the heap of one remembered job of 8 tasks whose
// outputs have 32 bytes.
func BenchmarkRememberedJob(b *testing.B) {
	const tasks, outputBytes, jobs = 8, 32, 100_000
	for b.Loop() {
		table := newInstantTable(make([]byte, outputBytes))
		before := heap()
		for range jobs {
			_, _ = submitOne(b, table, tasks)
		}
		b.ReportMetric(float64(heap()-before)/jobs, "bytes/job")
		b.ReportMetric(float64(table.memory.Used())/jobs, "counted/job")
		runtime.KeepAlive(table)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

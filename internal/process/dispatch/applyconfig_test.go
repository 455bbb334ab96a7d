package dispatch

import (
	"sync"
	"testing"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

func applyObject(v *config.View, o *apiv1.Object) {
	v.Apply(&peerv1.ConfigUpdate{FromRevision: v.Load().Revision(), Revision: o.GetRevision(), Objects: []*apiv1.Object{o}})
}

func dataCentreObject(revision uint64, out bool) *apiv1.Object {
	return &apiv1.Object{Kind: apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, Name: "nbo1", Revision: revision, Out: out}
}

func departmentObject(revision uint64, out bool) *apiv1.Object {
	return &apiv1.Object{Kind: apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, Name: "desk", Revision: revision, Out: out}
}

// A target that returns to service gets no tasks until its agent has confirmed the
// return. Then its limit rises over rampTime to all of its slots.
func TestReturnedTargetIsRampedUp(t *testing.T) {
	const slots = 8
	v := config.NewView()
	tg := &target{info: &peerv1.TargetInfo{Name: "r1", DataCentre: "nbo1", Slots: slots}}
	now := time.Now()
	tg.applyConfig(v.Load(), now)
	if got := tg.rampLimit(now); got != slots {
		t.Errorf("limit before any change is %d", got)
	}
	applyObject(v, dataCentreObject(1, true))
	if tg.applyConfig(v.Load(), now) {
		t.Error("taking the data centre out counts as a return")
	}
	applyObject(v, dataCentreObject(2, false))
	if !tg.applyConfig(v.Load(), now) {
		t.Error("the return was not detected")
	}
	if got := tg.rampLimit(now); got != 0 {
		t.Errorf("before the agent's confirmation: %d", got)
	}
	tg.configRevision = 2
	last := 0
	for _, after := range []time.Duration{0, rampTime / 4, rampTime / 2, rampTime} {
		got := tg.rampLimit(now.Add(after))
		if got < last || got < 1 {
			t.Errorf("after %v: %d, before %d", after, got, last)
		}
		last = got
	}
	if last != slots {
		t.Errorf("limit after the ramp is %d", last)
	}
}

// outcomeRecorder collects the outcomes of tasks.
type outcomeRecorder struct {
	mu   sync.Mutex
	list []Outcome
}

func (o *outcomeRecorder) add(x Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, x)
}

func (o *outcomeRecorder) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.list)
}

// Waiting tasks of a department that leaves end as NotRun. The configuration of the
// dispatcher is not fresh, so that the task waits until then.
func TestDepartedTasksEnd(t *testing.T) {
	v := config.NewView()
	applyObject(v, departmentObject(1, false))
	d := newTestDispatcher(v)
	var ended outcomeRecorder
	task := &Task{Department: "desk", Spec: &apiv1.Task{}, Done: ended.add}
	if err := d.Submit([]*Task{task}); err != nil {
		t.Fatal(err)
	}
	if len(ended.list) != 0 || d.Queued() != 1 {
		t.Fatalf("task does not wait: %v", ended.list)
	}
	applyObject(v, departmentObject(2, true))
	d.Refresh()
	if len(ended.list) != 1 || d.Queued() != 0 {
		t.Fatalf("task did not end: %v", ended.list)
	}
	got := ended.list[0].Err
	if got == nil || got.Verdict != verdict.NotRun || got.Reason != apiv1.Reason_REASON_DEPARTMENT_LEFT {
		t.Errorf("outcome %v", got)
	}
}

func newTestDispatcher(v *config.View) *Dispatcher {
	return New(Options{
		DataCentre:    "nbo1",
		QueueLimit:    100,
		Config:        v,
		Counters:      metrics.New(),
		IsConfigFresh: func() bool { return false },
	})
}

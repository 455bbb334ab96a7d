package dispatch

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// A target that returns to service is ramped up in rampSteps steps over rampTime.
const (
	rampTime  = 250 * time.Millisecond
	rampSteps = 5
)

// serviceState is a target's state in the configuration set by operators.
type serviceState struct {
	out bool
	// returnedAt is when the target last returned to service.
	returnedAt time.Time
	// returnRevision is the configuration revision of that return.
	returnRevision uint64
}

// rampLimit returns how many attempts this entry may have in flight at the target. While
// the target is ramped up, it is 0 until the agent has confirmed the return to service,
// because until then the agent refuses tasks.
func (t *target) rampLimit(now time.Time) int {
	slots := int(t.info.GetSlots())
	since := now.Sub(t.service.returnedAt)
	if t.service.returnedAt.IsZero() || since >= rampTime {
		return slots
	}
	if t.configRevision < t.service.returnRevision {
		return 0
	}
	return max(1, int(int64(slots)*int64(since)/int64(rampTime)))
}

// applyConfig applies the configuration to targets and waiting tasks. The caller holds
// d.mu.
func (d *Dispatcher) applyConfig() {
	snapshot := d.opts.Config.Load()
	d.finishDeparted(snapshot)
	now := time.Now()
	hasReturned := false
	for _, t := range d.targets {
		if t.applyConfig(snapshot, now) {
			hasReturned = true
		}
	}
	if !hasReturned {
		return
	}
	for step := range rampSteps {
		time.AfterFunc(time.Duration(step+1)*rampTime/rampSteps, d.Refresh)
	}
}

// applyConfig updates the service state and reports whether the target has returned to
// service.
func (t *target) applyConfig(s *config.Snapshot, now time.Time) bool {
	wasOut := t.service.out
	t.service.out = s.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, t.info.GetDataCentre()) ||
		s.IsOut(apiv1.ObjectKind_OBJECT_KIND_TARGET, t.info.GetName())
	if !wasOut || t.service.out {
		return false
	}
	t.service.returnedAt, t.service.returnRevision = now, s.Revision()
	return true
}

// finishDeparted ends the waiting tasks of departments that have left. Tasks that were
// sent run to their end. The caller holds d.mu.
func (d *Dispatcher) finishDeparted(s *config.Snapshot) {
	d.queue.each(func(t *Task) {
		if !s.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, t.Department).GetOut() {
			return
		}
		d.queue.remove(t)
		if t.current != nil {
			return
		}
		d.opts.Counters.CountRefusal(apiv1.Reason_REASON_DEPARTMENT_LEFT)
		d.finish(t, Outcome{Err: verdict.New(t.worstVerdict, apiv1.Reason_REASON_DEPARTMENT_LEFT, "department %q has left", t.Department)})
	})
}

package dispatch

import (
	"time"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

// A target that returns to service is filled in steps over rampTime.
const (
	rampTime  = 250 * time.Millisecond
	rampSteps = 5
)

// service is a target's state in the operators' configuration.
type service struct {
	out bool
	// returned is when the target last came back into service.
	returned time.Time
	// revision is the configuration revision at which it came back.
	revision uint64
}

// rampLimit returns the largest number of this entry's attempts at the target.
// An agent that has not confirmed the return yet would refuse them.
func (t *target) rampLimit(now time.Time) int {
	slots := int(t.info.GetSlots())
	since := now.Sub(t.service.returned)
	if t.service.returned.IsZero() || since >= rampTime {
		return slots
	}
	if t.revision < t.service.revision {
		return 0
	}
	return max(1, int(int64(slots)*int64(since)/int64(rampTime)))
}

// applyConfig brings targets and waiting tasks in line with the configuration;
// the caller holds d.mu.
func (d *Dispatcher) applyConfig() {
	snapshot := d.opts.Config.Load()
	d.dropDeparted(snapshot)
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

// applyConfig reports whether the target came back into service.
func (t *target) applyConfig(s *config.Snapshot, now time.Time) bool {
	wasOut := t.service.out
	t.service.out = s.IsOut(apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, t.info.GetDataCentre()) ||
		s.IsOut(apiv1.ObjectKind_OBJECT_KIND_TARGET, t.info.GetName())
	if !wasOut || t.service.out {
		return false
	}
	t.service.returned, t.service.revision = now, s.Revision()
	return true
}

// dropDeparted ends the waiting tasks of departments that have left; the caller
// holds d.mu. What was sent runs to its end.
func (d *Dispatcher) dropDeparted(s *config.Snapshot) {
	d.queue.each(func(t *Task) {
		if !s.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, t.Department).GetOut() {
			return
		}
		d.queue.remove(t)
		if t.current != nil {
			return
		}
		d.opts.Counters.Refuse(apiv1.Reason_REASON_DEPARTMENT_LEFT)
		d.finish(t, Outcome{Err: verdict.New(t.started, apiv1.Reason_REASON_DEPARTMENT_LEFT, "department %q has left", t.Department)})
	})
}

package agent

import (
	"context"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// start starts an attempt or refuses it.
func (a *Agent) start(s *session, start *peerv1.Start) {
	ctx, cancel := context.WithCancel(context.Background())
	checkStart := func() *verdict.Error { return a.checkStart(start) }
	err := a.attempts.Begin(start, checkStart, cancel)
	if start.GetGranted() {
		a.slotCounters.countGrantedStart()
	}
	if err != nil {
		cancel()
		s.refuseStart(start, err)
		return
	}
	a.slotCounters.attemptStarted(time.Now())
	a.addRunning(s.entry, 1)
	go func() {
		defer a.addRunning(s.entry, -1)
		a.run(ctx, cancel, start)
	}()
}

// checkStart checks that the task may start here. The attempt table calls it under its lock
// at the moment of the start.
func (a *Agent) checkStart(start *peerv1.Start) *verdict.Error {
	if a.isDraining() {
		return verdict.NotRunError(apiv1.Reason_REASON_STOPPING, "agent is stopping")
	}
	if !a.permit.isValid(time.Now()) {
		return verdict.NotRunError(apiv1.Reason_REASON_STALE_PERMIT, "no fresh entry has confirmed the configuration")
	}
	snapshot := a.config.Load()
	if err := snapshot.CheckDepartment(start.GetDepartment()); err != nil {
		return err
	}
	return snapshot.CheckTarget(start.GetDepartment(), a.info.GetDataCentre(), a.info.GetName())
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// run runs an attempt on the target and sends its result to the entry that is responsible
// for its job. The result is also kept for a later Query or Fence.
func (a *Agent) run(ctx context.Context, cancel context.CancelFunc, start *peerv1.Start) {
	defer cancel()
	startedAt := time.Now()
	output, err := a.target.Run(ctx, start.GetDepartment(), start.GetOwner(), start.GetTask())
	result := &peerv1.Result{
		Id:     start.GetId(),
		Output: output,
		RunUs:  uint32(time.Since(startedAt).Microseconds()),
	}
	if err != nil {
		a.counters.CountRefusal(err.Reason)
		result.Failure = err.Failure()
	}
	a.attempts.Finish(result)
	a.slotCounters.attemptEnded(time.Now(), err)
	responsible := a.attempts.ResponsibleEntry(start.GetId().GetIncarnation())
	a.sendResult(responsible, result)
	a.reportToBroker(responsible)
	a.notifyWaiter()
}

// sendResult sends r with the current load to an entry, if it is linked.
func (a *Agent) sendResult(entry uint64, r *peerv1.Result) {
	a.mu.Lock()
	s := a.sessions[entry]
	a.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.link.Send(&peerv1.Frame{Body: &peerv1.Frame_Result{Result: &peerv1.Result{
		Id:      r.GetId(),
		Output:  r.GetOutput(),
		Failure: r.GetFailure(),
		RunUs:   r.GetRunUs(),
		Load:    a.load(),
	}}})
}

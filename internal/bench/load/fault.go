package load

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const ejectionPollInterval = 50 * time.Millisecond

// startFaultWatch starts a goroutine that sets the fault of the first target at the end
// of the warm-up and polls the entries for its ejection. The returned function stops it
// and returns the time from the fault until every entry had ejected the target, in
// milliseconds, or 0 when some had not.
func (r *run) startFaultWatch(ctx context.Context) func() int64 {
	if r.options.Fault == standintarget.OK {
		return func() int64 { return 0 }
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan int64, 1)
	go func() { done <- r.watchFault(ctx) }()
	return func() int64 {
		cancel()
		return <-done
	}
}

// watchFault is the goroutine of startFaultWatch.
func (r *run) watchFault(ctx context.Context) int64 {
	name := r.fleet.Spec.Targets[0].Name
	if !sleep(ctx, r.options.WarmUp) {
		return 0
	}
	r.fleet.Target(name).SetFault(r.options.Fault, r.options.FaultFactor)
	began := time.Now()
	ejected := make(map[string]bool)
	for sleep(ctx, ejectionPollInterval) {
		for _, n := range r.fleet.Entries {
			status, err := r.fleet.StatusClient(n).GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
			if err == nil && isEjected(status.Msg, name) {
				ejected[n.Name] = true
			}
		}
		if len(ejected) == len(r.fleet.Entries) {
			return time.Since(began).Milliseconds()
		}
	}
	return 0
}

func isEjected(status *apiv1.GetStatusResponse, name string) bool {
	for _, t := range status.GetTargets() {
		if t.GetName() == name {
			return t.GetEjected()
		}
	}
	return false
}

// sleep waits for d, and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

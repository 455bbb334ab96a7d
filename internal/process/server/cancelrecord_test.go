package server

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/eventlog"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/process/scheduler"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// newTestCancelRecord returns the record of a new entry process without agents.
func newTestCancelRecord(f *fakeStore) *cancelRecord {
	counters := metrics.New()
	s := scheduler.New(scheduler.Options{
		Log: zerolog.Nop(), Counters: counters, View: &policy.View{}, TargetLease: time.Second,
		Random: func() float64 { return 0 }, OnNewerPolicy: func(*peer.Policy) {}, Entries: func() int { return 1 },
	})
	return newCancelRecord(s, f, &Server{
		settings: &settings.Settings{Name: "e1"}, log: zerolog.Nop(), counters: counters,
		invalid: eventlog.NewInvalidValues(zerolog.Nop(), counters.Counter("invalid")),
	})
}

// All processes are killed once a cancellation was acknowledged, and the request of the job arrives
// again: the next process must know that the job was cancelled.
func TestCancellationOutlastsAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		first := newTestCancelRecord(f)
		go first.run(t.Context())
		time.Sleep(time.Second)
		if !first.isRead() {
			t.Fatal("the record was not read")
		}
		stored := first.add("j", time.Now())
		time.Sleep(time.Second)
		select {
		case <-stored:
		default:
			t.Fatal("not stored")
		}
		next := newTestCancelRecord(f)
		go next.run(t.Context())
		time.Sleep(time.Second)
		if state, known := next.State("j"); !known || state != scheduler.StateCancelled {
			t.Errorf("state %v, known %v", state, known)
		}
	})
}

// An entry that served before it has read the cancellations would run a cancelled job.
func TestCancellationsAreReadOnceStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.put(cancelKeyPrefix+"other", `{"jobs":["j"]}`)
		f.put(cancelKeyPrefix+"odd", `{"jobs":7}`)
		f.set(func() { f.down = true })
		record := newTestCancelRecord(f)
		go record.run(t.Context())
		time.Sleep(3 * time.Second)
		if record.isRead() {
			t.Fatal("read from a store that is away")
		}
		f.set(func() { f.down = false })
		time.Sleep(2 * firstReadInterval)
		if _, known := record.State("j"); !known || !record.isRead() {
			t.Error("not read once the store was back")
		}
	})
}

// Clients cancel jobs that do not exist while the store and all agents are away. Nothing may be kept of
// such a request beyond its answer but its ID, and of that a bounded number.
func TestCancellationsWithoutStoreAndAgentsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		record := newTestCancelRecord(f)
		go record.run(t.Context())
		time.Sleep(time.Second)
		f.set(func() { f.down = true })
		before := runtime.NumGoroutine()
		accepted := 0
		for i := range 2 * maxRecordedCancels {
			if _, recorded := record.Cancel(fmt.Sprintf("unknown-%d", i)); recorded != nil {
				accepted++
			}
		}
		if accepted != maxUnknownRecorded {
			t.Errorf("%d accepted", accepted)
		}
		time.Sleep(20 * time.Second)
		if left := runtime.NumGoroutine() - before; left > 5 {
			t.Errorf("%d goroutines are left", left)
		}
		record.mu.Lock()
		defer record.mu.Unlock()
		if n := len(record.waiting); n > 0 {
			t.Errorf("%d acknowledgements still wait for the store", n)
		}
	})
}

package attempts

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// BenchmarkKeptAttempt reports the heap of one kept attempt with an output of 32
// bytes.
func BenchmarkKeptAttempt(b *testing.B) {
	const attempts, outputBytes = 100_000, 32
	for b.Loop() {
		table := New(1)
		before := heap()
		for n := range uint64(attempts) {
			id := &peerv1.AttemptID{Incarnation: 1, Sequence: n, Attempt: 1}
			_ = table.Begin(&peerv1.Start{Id: id, Sender: 1, ExpiresMs: 60_000}, admitAll, func() {})
			table.Finish(&peerv1.Result{Id: id, Output: make([]byte, outputBytes)})
		}
		b.ReportMetric(float64(heap()-before)/attempts, "bytes/attempt")
		runtime.KeepAlive(table)
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// An agent runs for a long time. Its records must go with their tickets; of an entry that
// was lost, only its fence stays, since a paused process of it may continue at any time.
func TestMemoryDoesNotGrowWithJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			attemptsPerSecond = 100
			ticketLifetime    = 10 * time.Second
			entryLifetime     = 100 * time.Second
			maxFenceBytes     = 200
		)
		table := New(1)
		before := heap()
		incarnation, lost := uint64(1), 0
		for n := range uint64(time.Hour.Seconds() * attemptsPerSecond) {
			id := &peerv1.AttemptID{Incarnation: incarnation, Sequence: n, Attempt: 1}
			if err := table.Begin(&peerv1.Start{Id: id, Sender: incarnation, ExpiresMs: uint32(ticketLifetime.Milliseconds())}, admitAll, func() {}); err != nil {
				t.Fatal(err)
			}
			table.Finish(&peerv1.Result{Id: id, Output: make([]byte, 32)})
			time.Sleep(time.Second / attemptsPerSecond)
			if n%attemptsPerSecond == 0 {
				table.Expire(time.Now())
			}
			if n%(attemptsPerSecond*uint64(entryLifetime.Seconds())) == 0 {
				table.Fence(&peerv1.Fence{Incarnation: incarnation, Adopter: incarnation + 1, Generation: 1})
				incarnation++
				lost++
			}
		}
		time.Sleep(2 * ticketLifetime)
		table.Expire(time.Now())
		if len(table.records) > 0 || len(table.fences) != lost {
			t.Errorf("%d records and %d fences are left, %d entries were lost", len(table.records), len(table.fences), lost)
		}
		if grown := int64(heap()) - int64(before); grown > int64(lost*maxFenceBytes+1<<20) {
			t.Errorf("the heap has grown by %d bytes", grown)
		}
		runtime.KeepAlive(table)
	})
}

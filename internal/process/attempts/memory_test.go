package attempts

import (
	"runtime"
	"testing"

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

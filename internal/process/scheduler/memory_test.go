package scheduler

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// heapBytes returns the memory in use after a garbage collection.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// TestTasksTakeWhatIsCharged guards against small requests whose jobs take more memory than the budget of
// the process is charged with: a request of some hundred bytes may have two thousand tasks.
func TestTasksTakeWhatIsCharged(t *testing.T) {
	const tasks = 2000
	for name, cpu := range map[string]int64{"waiting": 1000, "running": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(t)
				a := tc.agent("a")
				ended := make(chan struct{})
				defer close(ended)
				go func() {
					for {
						select {
						case <-a.starts:
						case <-ended:
							return
						}
					}
				}()
				tc.submit(tc.job("first", 1, 8000))
				time.Sleep(time.Millisecond)
				before := heapBytes()
				answered, _ := tc.submit(tc.job("j", tasks, cpu))
				time.Sleep(time.Millisecond)
				taken := heapBytes() - before
				t.Logf("%d tasks take %d bytes each", tasks, taken/tasks)
				select {
				case got := <-answered:
					t.Fatalf("answered %+v", got)
				default:
				}
				if taken > tasks*TaskBytes {
					t.Errorf("%d tasks take %d bytes, charged with %d", tasks, taken, tasks*TaskBytes)
				}
			})
		})
	}
}

package scheduler

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// heapBytes returns the memory in use after a garbage collection.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// confirm reports the start of an attempt at once.
func (a *fakeAgent) confirm(at task.Attempt) {
	a.mu.Lock()
	a.number++
	number := a.number
	a.mu.Unlock()
	a.link.Send(peer.Frame{Results: []peer.Result{{Number: number, Attempt: at, Outcome: peer.OutcomeStarted}}})
}

// startsReceived returns the number of starts received on the present link.
func (a *fakeAgent) startsReceived() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.accepted)
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
						case s := <-a.starts:
							a.confirm(s.Attempt)
						case <-ended:
							return
						}
					}
				}()
				tc.submit(tc.job("first", 1, 8000))
				time.Sleep(time.Millisecond)
				before := heapBytes()
				answered, _ := tc.submit(tc.job("j", tasks, cpu))
				time.Sleep(20 * time.Millisecond)
				taken := heapBytes() - before
				t.Logf("%d tasks take %d bytes each", tasks, taken/tasks)
				select {
				case got := <-answered:
					t.Fatalf("answered %+v", got)
				default:
				}
				if running := a.startsReceived() - 1; cpu == 0 && running != tasks {
					t.Errorf("%d tasks run", running)
				}
				if taken > tasks*TaskBytes {
					t.Errorf("%d tasks take %d bytes, charged with %d", tasks, taken, tasks*TaskBytes)
				}
			})
		})
	}
}

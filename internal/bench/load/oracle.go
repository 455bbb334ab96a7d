package load

import (
	"container/heap"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

// slotHeap is a heap of the times at which slots become free.
type slotHeap []time.Duration

func (s slotHeap) Len() int           { return len(s) }
func (s slotHeap) Less(i, j int) bool { return s[i] < s[j] }
func (s slotHeap) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slotHeap) Push(v any)        { *s = append(*s, v.(time.Duration)) }
func (s *slotHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// oracle returns the response ratios of an ideal dispatcher: one first-in first-out queue
// for all slots, from which a task starts as soon as a slot becomes free. Jobs that would
// miss their deadline are left out because the measured ratios include completed jobs only.
func oracle(arrivals []arrival, o Options) *workload.RatioHistogram {
	free := make(slotHeap, workload.TotalSlots)
	ratios := workload.NewRatioHistogram()
	for _, a := range arrivals {
		var end time.Duration
		for _, run := range a.runTimes {
			start := max(a.offset, free[0])
			free[0] = start + run
			heap.Fix(&free, 0)
			end = max(end, start+run)
		}
		if response := end - a.offset; a.offset >= o.WarmUp && response <= a.deadline() {
			ratios.Record(response+o.callerRoundTrip(), a.longest+o.callerRoundTrip())
		}
	}
	return ratios
}

package load

import (
	"container/heap"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

// slots is a heap of the times at which slots become free.
type slots []time.Duration

func (s slots) Len() int           { return len(s) }
func (s slots) Less(i, j int) bool { return s[i] < s[j] }
func (s slots) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *slots) Push(v any)        { *s = append(*s, v.(time.Duration)) }
func (s *slots) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// oracle returns the ratios that one queue before all slots would reach, first
// in first out, with every free slot known at once. Jobs that would pass their
// deadline are left out, as the measured ratios hold complete jobs only.
func oracle(arrivals []arrival, o Options) *workload.Ratios {
	free := make(slots, workload.Slots)
	ratios := workload.NewRatios()
	for _, a := range arrivals {
		var end time.Duration
		for _, run := range a.runs {
			start := max(a.at, free[0])
			free[0] = start + run
			heap.Fix(&free, 0)
			end = max(end, start+run)
		}
		if response := end - a.at; a.at >= o.Warm && response <= a.deadline() {
			ratios.Record(response+o.callerTrip(), a.longest+o.callerTrip())
		}
	}
	return ratios
}

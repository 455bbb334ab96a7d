package load

import (
	"math"
	"testing"
	"time"
)

// Thirty urgent jobs a second of 25 cores for 60 ms run beside others that would fill
// all capacity. The reserve must be the standard deviation of the capacity that the
// urgent jobs use.
func TestReserveFollowsTheUrgentWork(t *testing.T) {
	const (
		urgent, other = 0, 2
		all           = 400_000
		cpu           = 25_000
		run           = 60 * time.Millisecond
		perSecond     = 30
	)
	r := NewReserve()
	now := time.Duration(0)
	for range 10 * perSecond {
		now += time.Second / perSecond
		r.RecordArrival(urgent, now, cpu, run)
		r.RecordArrival(other, now, 4*cpu, 20*run)
	}
	if got := r.ReservedCPU(urgent, now, all, 1); got != 0 {
		t.Errorf("the most urgent work leaves %d free", got)
	}
	want := math.Sqrt(perSecond*run.Seconds()) * cpu
	if got := float64(r.ReservedCPU(other, now, all, 1)); math.Abs(got-want) > want/10 {
		t.Errorf("other work leaves %.0f free, want about %.0f", got, want)
	}
	if got := float64(r.ReservedCPU(other, now, all, 4)); got > maxReserveShare*all {
		t.Errorf("other work leaves %.0f free, more than the maximum", got)
	}
	if got := r.ReservedCPU(other, now+20*time.Second, all, 1); got > cpu/100 {
		t.Errorf("%d is reserved long after the last urgent job", got)
	}
}

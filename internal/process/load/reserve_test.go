package load

import (
	"math"
	"testing"
	"time"
)

// Thirty urgent jobs a second of 25 cores for 60 ms, beside others that would fill all
// room: what is kept is the deviation of the room that the urgent ones use.
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
		r.Arrived(urgent, now, cpu, run)
		r.Arrived(other, now, 4*cpu, 20*run)
	}
	if got := r.For(urgent, now, all, 1); got != 0 {
		t.Errorf("the most urgent work leaves %d free", got)
	}
	want := math.Sqrt(perSecond*run.Seconds()) * cpu
	if got := float64(r.For(other, now, all, 1)); math.Abs(got-want) > want/10 {
		t.Errorf("other work leaves %.0f free, want about %.0f", got, want)
	}
	if got := float64(r.For(other, now, all, 4)); got > maxReserve*all {
		t.Errorf("other work leaves %.0f free, more than the bound", got)
	}
	if got := r.For(other, now+20*time.Second, all, 1); got > cpu/100 {
		t.Errorf("%d is kept long after the last urgent job", got)
	}
}

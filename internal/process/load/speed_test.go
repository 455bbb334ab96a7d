package load

import (
	"math"
	"testing"
	"time"
)

// One task in thirty takes seven times as long as the others of its queue. That must not count as
// slowness of its target.
func TestSlowdownIgnoresTailOfRunTimes(t *testing.T) {
	var s RunSpeed
	for i := range 200 {
		took := 130 * time.Millisecond
		if i%30 == 0 {
			took *= 7
		}
		s.Observe(100*time.Millisecond, took)
	}
	if got, known := s.Slowdown(); !known || math.Abs(got-1.3) > 0.01 {
		t.Errorf("slowdown %.2f, known %v", got, known)
	}
}

func TestSlowdownIsUnknownFromFewRuns(t *testing.T) {
	var s RunSpeed
	for range minSpeedSamples - 1 {
		s.Observe(100*time.Millisecond, 300*time.Millisecond)
	}
	if _, known := s.Slowdown(); known {
		t.Error("known from too few runs")
	}
}

// The slowdown of a target is followed when its speed changes, and forgotten without new runs:
// a target that is avoided shows nothing.
func TestRelativeSlowdown(t *testing.T) {
	for _, c := range []struct {
		name              string
		slowdown, average float64
		age               time.Duration
		want              float64
	}{
		{"unknown", 0, 1, 0, 1},
		{"average", 0.95, 0.9, 0, 1},
		{"slow", 1.6, 1, 0, 1.6},
		{"all measured in another unit", 3.2, 2, 0, 1.6},
		{"half forgotten", 2, 1, speedRetention, 1 + math.Exp(-1)},
		{"forgotten", 1.6, 1, 10 * speedRetention, 1},
	} {
		if got := RelativeSlowdown(c.slowdown, c.average, c.age); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %.3f, want %.3f", c.name, got, c.want)
		}
	}
}

// Of unequal targets with equal room, a task that would be late on the slow one must go to the fast
// one, and a short task with time to spare must not prefer it.
func TestSlowTargetIsLeftToTasksWithTimeToSpare(t *testing.T) {
	if long := SlownessPenalty(1290*time.Millisecond, 1270*time.Millisecond); long < 0.5 {
		t.Errorf("penalty %.2f of a task that would be late", long)
	}
	if short := SlownessPenalty(88*time.Millisecond, 141*time.Millisecond); short > 0 {
		t.Errorf("penalty %.2f of a task with time to spare", short)
	}
}

// A burst has passed: a job waits if the overdue work before it can be served by spare capacity while
// its answer is useful, and is refused at once in a lasting overload.
func TestJobWaitsForLateAnswerOnlyIfItWillCome(t *testing.T) {
	f := Forecast{RunTime: 200 * time.Millisecond, Waited: 150 * time.Millisecond}
	slack := UsefulSlack(f, 380*time.Millisecond, 1300*time.Millisecond)
	if slack != 790*time.Millisecond {
		t.Errorf("slack %v", slack)
	}
	const share = 400_000 // thousandths of a core
	for _, c := range []struct {
		cores int64
		want  bool
	}{{10, true}, {100, true}, {400, false}} {
		wait := SpareWait(WorkOf(1000*c.cores, 200*time.Millisecond), share)
		if got := MayAnswerLate(wait, slack); got != c.want {
			t.Errorf("%d cores of overdue work: wait %v, accepted %v", c.cores, wait, got)
		}
	}
	if MayAnswerLate(0, -time.Millisecond) {
		t.Error("accepted though no answer would be useful")
	}
}

package load

import (
	"fmt"
	"testing"
	"time"
)

const testRun = 50 * time.Millisecond

// A target starts to fail each run at once, while runs that began before still succeed.
// Only runs begun after the failure may end the probation.
func TestHealthIsClearedOnlyByRunsBegunAfterTheFailure(t *testing.T) {
	var h Health
	now := time.Second
	h.RecordRun("first", now-20*time.Millisecond, now, true)
	if h.Healthy() {
		t.Fatal("a target that has just failed a run is not on probation")
	}
	h.RecordRun("older", now-testRun, now, false)
	if h.Healthy() {
		t.Fatal("a run from before the failure ended the probation")
	}
	h.RecordRun("later", now, now+testRun, false)
	if !h.Healthy() {
		t.Error("a run begun after the failure does not end the probation")
	}
}

// A job whose tasks fail on every target counts as one failure.
func TestHealthCountsFailuresOfOneJobOnce(t *testing.T) {
	var h Health
	for n := range 8 {
		at := time.Duration(n) * time.Millisecond
		h.RecordRun("hopeless", at, at+testRun, true)
	}
	h.RecordRun("fine", 10*time.Millisecond, 10*time.Millisecond+testRun, false)
	if !h.Healthy() {
		t.Error("the failures of one job need more than one success to end the probation")
	}
}

// A target fails two of five runs, or all of them, and recovers after ten seconds. On
// probation it gets one task at a time, so few tasks fail.
func TestHealthLimitsWorkOfAFailingTarget(t *testing.T) {
	const (
		end   = 10 * time.Second
		width = 10 // tasks at a time while the target is healthy
		// uncheckedTasks is how many tasks it would get without health checks.
		uncheckedTasks = width * int(end/testRun)
	)
	for _, failing := range []int{5, 2} {
		var h Health
		failed, number := 0, 0
		for now := time.Second; now < time.Second+end; now += testRun {
			tasks := 0
			switch {
			case h.Healthy():
				tasks = width
			case h.MayProbe(now):
				tasks = 1
				h.RecordProbe(now)
			}
			for range tasks {
				number++
				bad := number%5 < failing
				if bad {
					failed++
				}
				h.RecordRun(fmt.Sprint(number), now, now+testRun, bad)
			}
		}
		if most := uncheckedTasks * failing / 5 / 10; failed > most {
			t.Errorf("%d of five runs fail: %d tasks failed, want at most a tenth of those without health checks, %d", failing, failed, most)
		}
		now := time.Second + end
		for ; !h.Healthy() && now < 20*time.Second; now += testRun {
			if h.MayProbe(now) {
				h.RecordProbe(now)
				number++
				h.RecordRun(fmt.Sprint(number), now, now+testRun, false)
			}
		}
		if took := now - time.Second - end; took > 6*time.Second {
			t.Errorf("%d of five runs failed: healthy again after %v", failing, took)
		}
	}
}

// Probes of a target that hangs must not pile up.
func TestProbesAreSpaced(t *testing.T) {
	var h Health
	h.RecordPace(0.1, 2)
	if !h.MayProbe(time.Second) {
		t.Fatal("no probe of a slow target")
	}
	h.RecordProbe(time.Second)
	if h.MayProbe(time.Second + probeTimeout - time.Millisecond) {
		t.Error("a second probe while the first one runs")
	}
	if !h.MayProbe(time.Second + probeTimeout) {
		t.Error("no probe after one that hung")
	}
	h.RecordRun("probe", time.Second, time.Second+testRun, false)
	if h.MayProbe(time.Second + probeInterval - time.Millisecond) {
		t.Error("probes are not spaced")
	}
}

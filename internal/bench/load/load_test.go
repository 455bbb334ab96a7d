package load

import (
	"testing"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
)

func testOptions() Options {
	return Options{Profile: workload.Fundi, Load: 0.8, Duration: time.Minute, Seed: 1}
}

// Guards against a job mix whose rate or mean run time does not add up to the requested
// load, at a steady rate and in bursts.
func TestArrivalsOfferTheLoad(t *testing.T) {
	for _, bursts := range []bool{false, true} {
		o := testOptions()
		o.Bursts = bursts
		var work time.Duration
		for _, a := range newArrivals(o, 6) {
			for _, d := range a.runTimes {
				work += d
			}
		}
		offered := work.Seconds() / (o.Duration.Seconds() * workload.TotalSlots)
		if offered < 0.7 || offered > 0.9 {
			t.Errorf("bursts %v: offered load is %.3f, want about 0.8", bursts, offered)
		}
	}
}

func TestOracleIsIdealWithoutContention(t *testing.T) {
	o := testOptions()
	o.Load = 0.05
	if p99 := oracle(newArrivals(o, 6), o).Quantile(99); p99 > 1.001 {
		t.Errorf("p99 is %.3f, want 1", p99)
	}
}

func TestOracleQueuesWhenAllSlotsAreBusy(t *testing.T) {
	o := testOptions()
	runs := make([]time.Duration, workload.TotalSlots+1)
	for i := range runs {
		runs[i] = time.Second
	}
	ratios := oracle([]arrival{{runTimes: runs, longest: time.Second}}, o)
	if got := ratios.Quantile(50); got < 1.98 || got > 2 {
		t.Errorf("ratio is %.3f, want the second round of two", got)
	}
}

package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// A finding must name the time in which the process stood still, and none if it ran all along.
func TestStallMeterReportsLateTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startStallMeter()
		time.Sleep(time.Second)
		if longest, sum := m.end(); longest != 0 || sum != 0 {
			t.Errorf("stalls of %v, %v in all, expected none", longest, sum)
		}
	})
	now := time.Now()
	m := &stallMeter{last: now}
	for _, gap := range []time.Duration{stallTick, stallTick + time.Second, 2*stallTick - 1, stallTick + 300*time.Millisecond} {
		now = now.Add(gap)
		m.record(now)
	}
	if m.longest != time.Second || m.sum != 1300*time.Millisecond {
		t.Errorf("stalls of %v, %v in all, expected 1 s and 1.3 s", m.longest, m.sum)
	}
}

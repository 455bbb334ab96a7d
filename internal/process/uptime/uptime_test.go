package uptime

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestClockCountsSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var suspended time.Duration
		c := New(func() (time.Duration, bool) { return time.Hour + time.Since(begun) + suspended, true })
		time.Sleep(time.Second)
		c.Measure()
		if got := c.Now(); got != time.Second {
			t.Errorf("%v after one second", got)
		}
		suspended = 4 * time.Second
		c.Measure()
		if got := c.Now(); got != 5*time.Second {
			t.Errorf("%v after one second and a suspension of 4 s", got)
		}
		suspended = 0
		c.Measure()
		if got := c.Now(); got != 5*time.Second {
			t.Errorf("%v: the clock was set back", got)
		}
	})
}

func TestClockWithoutSourceCountsRunningTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, source := range []Source{nil, func() (time.Duration, bool) { return 0, false }} {
			c := New(source)
			time.Sleep(time.Second)
			c.Measure()
			if got := c.Now(); got != time.Second {
				t.Errorf("%v after one second", got)
			}
		}
	})
}

// On a machine that is not suspended, the clock of the system agrees with that of package time.
func TestSinceBootCountsRunningTime(t *testing.T) {
	c := New(SinceBoot)
	if _, ok := SinceBoot(); !ok {
		t.Fatal("the clock cannot be read")
	}
	begun := time.Now()
	time.Sleep(20 * time.Millisecond)
	c.Measure()
	if counted, elapsed := c.Now(), time.Since(begun); counted > elapsed+10*time.Millisecond || counted < 20*time.Millisecond {
		t.Errorf("counted %v in %v", counted, elapsed)
	}
}

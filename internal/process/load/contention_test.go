package load

import (
	"testing"
	"time"
)

// A third of the starts is refused while other entries fill the same targets. The extra
// capacity required must fade within two seconds after the overload.
func TestContentionRaisesRequiredCPU(t *testing.T) {
	var c Contention
	const cpu = 10_000
	if got := c.RequiredCPU(0, cpu); got != cpu {
		t.Errorf("%d required without contention", got)
	}
	now := time.Duration(0)
	for n := range 400 {
		now += 2 * time.Millisecond
		c.Observe(now, n%3 == 0)
	}
	if got := c.RequiredCPU(now, cpu); got < cpu*13/10 || got > cpu*16/10 {
		t.Errorf("%d required for %d while a third is refused", got, cpu)
	}
	if got := c.RequiredCPU(now+2*time.Second, cpu); got > cpu*11/10 {
		t.Errorf("%d required for %d two seconds later", got, cpu)
	}
	for range 1000 {
		c.Observe(now, true)
	}
	if got := c.RequiredCPU(now, cpu); got > 3*cpu {
		t.Errorf("%d required for %d while every start is refused", got, cpu)
	}
	if got := c.RequiredCPU(now, -5); got != -5 {
		t.Errorf("%d required where nothing is missing", got)
	}
}

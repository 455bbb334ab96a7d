package load

import (
	"testing"
	"time"
)

// A third of the starts is refused while other entries fill the same targets; a second
// after the overload little of it is left.
func TestContentionAsksForMoreRoomWhileOthersTakeIt(t *testing.T) {
	var c Contention
	const cpu = 10_000
	if got := c.Wanted(0, cpu); got != cpu {
		t.Errorf("%d wanted without contention", got)
	}
	now := time.Duration(0)
	for n := range 400 {
		now += 2 * time.Millisecond
		c.Observe(now, n%3 == 0)
	}
	if got := c.Wanted(now, cpu); got < cpu*13/10 || got > cpu*16/10 {
		t.Errorf("%d of %d wanted while a third is refused", got, cpu)
	}
	if got := c.Wanted(now+2*time.Second, cpu); got > cpu*11/10 {
		t.Errorf("%d of %d wanted two seconds later", got, cpu)
	}
	for range 1000 {
		c.Observe(now, true)
	}
	if got := c.Wanted(now, cpu); got > 3*cpu {
		t.Errorf("%d of %d wanted while all is refused", got, cpu)
	}
	if got := c.Wanted(now, -5); got != -5 {
		t.Errorf("%d wanted where nothing is missing", got)
	}
}

package load

import "testing"

func TestTaskYieldsOnlyCapacityThatUrgentTasksNeed(t *testing.T) {
	for _, c := range []struct {
		name              string
		free, urgent, cpu int64
		yields            bool
	}{
		{"no urgent task waits", 0, 0, 3100, false},
		{"capacity for both", 9300, 6200, 3100, false},
		{"urgent tasks need it", 9300, 6300, 3100, true},
		{"nothing is free", 0, 3100, 3100, true},
	} {
		if got := MustYield(c.free, c.urgent, c.cpu); got != c.yields {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

package load

import (
	"testing"
	"time"
)

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

func TestTopPriorityFollowsTheArrivals(t *testing.T) {
	var top TopPriority
	for _, c := range []struct {
		at       time.Duration
		priority int
		want     int
	}{
		{0, 2, 2},
		{time.Second, 1, 1},
		{2 * time.Second, 2, 1},
		{2*time.Second + topPriorityRetention, 2, 2},
	} {
		if top.Observe(c.at, c.priority); top.Priority() != c.want {
			t.Errorf("at %v: %d, want %d", c.at, top.Priority(), c.want)
		}
	}
}

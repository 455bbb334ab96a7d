package bound

import (
	"math"
	"strings"
	"testing"
	"time"
)

func testDay() *Day {
	return &Day{
		Name:     "day",
		Entries:  2,
		Capacity: 100,
		Classes:  []Class{{Name: "a", Share: 1, Credit: 1, Run: 200 * time.Millisecond, Work: 1}},
		Weights:  Weights{Day: 0.6, Windows: 0.25, Class: 0.15},
		Windows: []Window{
			{Start: 0, Asked: 100, InTime: 100, Worth: 1},
			{Start: 2 * time.Second, Asked: 100, InTime: 40, Worth: 0.4},
			{Start: 4 * time.Second, Asked: 400, InTime: 200, Worth: 0.5},
		},
		// Both entries are away for a second, and half of the targets for a window.
		Away:    []Away{{From: 2500 * time.Millisecond, To: 3500 * time.Millisecond}, {From: 2500 * time.Millisecond, To: 3500 * time.Millisecond}},
		Reduced: []Reduced{{From: 4 * time.Second, To: 6 * time.Second, Share: 0.25}},
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestBoundCountsOutagesAndRoom(t *testing.T) {
	r := Of(testDay())
	if row := r.Rows[0]; !near(row.Bound, 1) || !near(row.Gap, 0) {
		t.Errorf("a calm window: %+v", row)
	}
	// A second of two, and the 0.2 s of run time before it.
	if row := r.Rows[1]; !near(row.Outage, 0.6) || !near(row.Bound, 0.4) || !near(row.Gap, 0) {
		t.Errorf("a window with an outage: %+v", row)
	}
	// 200 cores are wanted, 75 are there; more was earned than the mean work says.
	if row := r.Rows[2]; !near(row.Room, 0.625) || !near(row.Bound, 0.5) {
		t.Errorf("a window without room: %+v", row)
	}
	if !near(r.Worst, 0.45) || !near(r.Served, (100+40+200)/600.0) {
		t.Errorf("worst %v, served %v", r.Worst, r.Served)
	}
}

func TestPrintLeavesOutCalmWindows(t *testing.T) {
	var out strings.Builder
	if err := Print(&out, testDay()); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Contains(text, "0 s") || !strings.Contains(text, "2 s") || !strings.Contains(text, "bound") {
		t.Errorf("printed %s", text)
	}
}

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
		Classes:  []Class{{Name: "a", Share: 1, Credit: 1, RunTime: 200 * time.Millisecond, Work: 1}},
		Weights:  Weights{Day: 0.6, Windows: 0.25, Class: 0.15},
		Windows: []Window{
			{Start: 0, Asked: 100, InTime: 100, Worth: 1},
			{Start: 2 * time.Second, Asked: 100, InTime: 40, Worth: 0.4},
			{Start: 4 * time.Second, Asked: 400, InTime: 200, Worth: 0.5},
		},
		// Both entries are down for one second, and a quarter of the targets' capacity is
		// missing for one window.
		Outages:            []Outage{{From: 2500 * time.Millisecond, To: 3500 * time.Millisecond}, {From: 2500 * time.Millisecond, To: 3500 * time.Millisecond}},
		CapacityReductions: []CapacityReduction{{From: 4 * time.Second, To: 6 * time.Second, Share: 0.25}},
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestBoundCountsOutagesAndCapacity(t *testing.T) {
	r := Compute(testDay())
	if row := r.Rows[0]; !almostEqual(row.Bound, 1) || !almostEqual(row.Gap, 0) {
		t.Errorf("window without losses: %+v", row)
	}
	// Lost is one of two seconds, and the 0.2 s of run time before the outage.
	if row := r.Rows[1]; !almostEqual(row.OutageLoss, 0.6) || !almostEqual(row.Bound, 0.4) || !almostEqual(row.Gap, 0) {
		t.Errorf("window with an outage: %+v", row)
	}
	// At the mean work of a job, the window needs 200 cores and 75 are available, enough
	// for a share of 0.375. It earned 0.5, as a window can if its jobs need less than the
	// mean, so the bound is raised to what was earned.
	if row := r.Rows[2]; !almostEqual(row.CapacityLoss, 0.625) || !almostEqual(row.Bound, 0.5) {
		t.Errorf("window above the capacity: %+v", row)
	}
	if !almostEqual(r.WorstWindowsBound, 0.45) || !almostEqual(r.ServedBound, (100+40+200)/600.0) {
		t.Errorf("bound of the worst windows is %v, of the whole day %v", r.WorstWindowsBound, r.ServedBound)
	}
}

func TestPrintOmitsFullyServedWindows(t *testing.T) {
	var out strings.Builder
	if err := Print(&out, testDay()); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Contains(text, "0 s") || !strings.Contains(text, "2 s") || !strings.Contains(text, "bound") {
		t.Errorf("table should have a row for the window at 2 s and none for that at 0 s:\n%s", text)
	}
}

package slopes

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestFitRecoversExactLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-1000, 1000).Draw(t, "slope")
		base := rapid.Float64Range(-1000, 1000).Draw(t, "base")
		var points []Point
		for _, x := range []float64{10, 30, 100, 300} {
			points = append(points, Point{Units: x, Cost: base + slope*x})
		}
		line := Fit(points)
		if math.Abs(line.Slope-slope) > 1e-6 || math.Abs(line.Base-base) > 1e-4 || line.Error > 1e-6 {
			t.Fatalf("fit of %v x + %v is %+v", slope, base, line)
		}
	})
}

func TestFitErrorNeedsThreeRuns(t *testing.T) {
	if e := Fit([]Point{{1, 1}, {2, 2}}).Error; !math.IsNaN(e) {
		t.Fatalf("error of two runs is %v", e)
	}
	// Residuals of 1, -2 and 1 on a variance of 2 in x.
	got := Fit([]Point{{1, 1}, {2, -2}, {3, 1}})
	if math.Abs(got.Error-math.Sqrt(3)) > 1e-9 {
		t.Fatalf("error is %v, not the square root of 3", got.Error)
	}
}

package slopes

import "math"

// Point is one run: the number of units and their total cost.
type Point struct {
	Units float64 `json:"units"`
	Cost  float64 `json:"cost"`
}

// Line is a least-squares fit of cost against units.
type Line struct {
	// Slope is the cost of one unit.
	Slope float64 `json:"slope"`
	// Error is the standard error of Slope.
	Error float64 `json:"error"`
	// Base is the intercept: the cost at zero units.
	Base float64 `json:"base"`
}

// minPoints is the least number of runs from which a standard error can be estimated.
const minPoints = 3

// Fit returns the least-squares line through points. With fewer than minPoints runs,
// its Error is NaN.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.Units
		sumY += p.Cost
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy float64
	for _, p := range points {
		xx += (p.Units - meanX) * (p.Units - meanX)
		xy += (p.Units - meanX) * (p.Cost - meanY)
	}
	line := Line{Slope: xy / xx, Error: math.NaN()}
	line.Base = meanY - line.Slope*meanX
	if len(points) < minPoints {
		return line
	}
	var residuals float64
	for _, p := range points {
		r := p.Cost - line.Base - line.Slope*p.Units
		residuals += r * r
	}
	line.Error = math.Sqrt(residuals / (n - 2) / xx)
	return line
}

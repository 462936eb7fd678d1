// Package capacity measures how the cost of each role grows with the size of the system
// and extrapolates it to the target size.
package capacity

import "math"

// Point is one measurement: a size and the cost measured at it.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Fit is a line fitted to points. SlopeError is the standard error of the slope,
// MaxDeviation the largest relative deviation of a point from the line.
type Fit struct {
	Intercept    float64 `json:"base"`
	Slope        float64 `json:"slope"`
	SlopeError   float64 `json:"error"`
	MaxDeviation float64 `json:"worst"`
}

// FitLine fits a line by least squares. SlopeError needs at least three points; it is 0
// with fewer.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f := Fit{Slope: slope, Intercept: (sy - slope*sx) / n}
	var residual float64
	for _, p := range points {
		deviation := p.Cost - f.At(p.Size)
		residual += deviation * deviation
		f.MaxDeviation = math.Max(f.MaxDeviation, math.Abs(deviation)/math.Max(math.Abs(f.At(p.Size)), 1e-12))
	}
	if n > 2 {
		f.SlopeError = math.Sqrt(residual / (n - 2) / (sxx - sx*sx/n))
	}
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

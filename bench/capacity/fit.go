package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: a size and what it cost.
type Point struct{ X, Y float64 }

// Fit is the least-squares line through points.
type Fit struct {
	Base     float64 // cost at size 0
	Slope    float64 // cost of one more
	Residual float64 // root mean square distance from the line, as a part of the largest cost
	From, To float64 // range of sizes
}

// FitLine fits a line. It needs two points of different size.
func FitLine(points []Point) Fit {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	var f Fit
	f.Base, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.From, f.To = points[0].X, points[len(points)-1].X
	var sum, most float64
	for _, p := range points {
		d := p.Y - f.Base - f.Slope*p.X
		sum += d * d
		most = max(most, math.Abs(p.Y))
	}
	if most > 0 {
		f.Residual = math.Sqrt(sum/float64(len(points))) / most
	}
	return f
}

// Slope is one measured slope.
type Slope struct {
	Name  string // stable, used by the roles
	What  string // cost and size in words
	Unit  string // of the slope
	Scale float64
	Run   func() ([]Point, error)
}

// timedRuns is the number of times that a slope in time is measured.
const timedRuns = 5

// Measured is a slope with the median fit of its runs.
type Measured struct {
	Slope
	Fit
	Error float64 // half the distance between the runs' extremes, or the residual, as a part of the median
}

// Measure runs one slope; one in time several times, because it depends on what
// else the machine does.
func (s Slope) Measure() (Measured, error) {
	runs := 1
	if s.Scale != 1 {
		runs = timedRuns
	}
	fits := make([]Fit, 0, runs)
	for range runs {
		points, err := s.Run()
		if err != nil {
			return Measured{}, fmt.Errorf("slope %s: %w", s.Name, err)
		}
		fits = append(fits, FitLine(points))
	}
	slices.SortFunc(fits, func(a, b Fit) int { return cmp.Compare(a.Slope, b.Slope) })
	f := fits[len(fits)/2]
	m := Measured{s, f, f.Residual}
	if spread := (fits[len(fits)-1].Slope - fits[0].Slope) / 2; f.Slope != 0 {
		m.Error = max(m.Error, math.Abs(spread/f.Slope))
	}
	m.Base *= s.Scale
	m.Fit.Slope *= s.Scale
	return m, nil
}

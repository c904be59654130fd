package bench

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes the curves to name.svg in dir.
func Plot(dir, name string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "goodput (requests/s)"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, c := range curves {
		line, err := plotter.NewLine(points(c))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, name+".svg"))
}

// points returns the curve with its times in seconds.
func points(c Curve) plotter.XYs {
	xy := make(plotter.XYs, len(c.Points))
	for i, y := range c.Points {
		xy[i].X = float64(i) * bin.Seconds()
		xy[i].Y = y
	}
	return xy
}

package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"starlingwinch/internal/testbench/lab/clusterlab"
)

// drawWays draws what each way to keep a view costs, by the number of routers, on two logarithmic axes.
func drawWays(path string, all [][]clusterlab.Compared) error {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	p := plot.New()
	p.Title.Text = "What a view of the fleet costs"
	p.X.Label.Text, p.Y.Label.Text = "routers", "bytes a second, each router"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 100, 100_000
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for way := range all[0] {
		var points plotter.XYs
		for _, size := range all {
			points = append(points, plotter.XY{X: float64(size[way].Routers), Y: size[way].Bytes})
		}
		lines = append(lines, all[0][way].Way, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

package main

import (
	"bytes"
	"fmt"
)

// Measures of the drawing.
const (
	drawWidth, drawHeight = 640, 360
	drawLeft, drawBottom  = 60, 300
	drawRight, drawTop    = 600, 40
)

// drawOverload draws goodput over load as SVG.
func drawOverload(router, today []float64) []byte {
	var b bytes.Buffer
	x := func(load float64) float64 { return drawLeft + load/10*(drawRight-drawLeft) }
	y := func(share float64) float64 { return drawBottom - share*(drawBottom-drawTop) }
	fmt.Fprintf(&b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" "+
		"font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n", drawWidth, drawHeight)
	fmt.Fprintf(&b, "<text x=\"%d\" y=\"22\">Goodput under overload: share of what warm caches can do, served in time</text>\n",
		drawLeft)
	for share := 0.0; share <= 1; share += 0.25 {
		fmt.Fprintf(&b, "<line x1=\"%d\" y1=\"%.0f\" x2=\"%d\" y2=\"%.0f\" stroke=\"#ddd\"/><text x=\"%d\" y=\"%.0f\" "+
			"text-anchor=\"end\">%.0f %%</text>\n", drawLeft, y(share), drawRight, y(share), drawLeft-6, y(share)+4, 100*share)
	}
	for load := 0; load <= 10; load += 2 {
		fmt.Fprintf(&b, "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\">%d</text>\n", x(float64(load)), drawBottom+18, load)
	}
	fmt.Fprintf(&b, "<text x=\"%d\" y=\"%d\">load, as a multiple of what warm caches bear</text>\n", drawLeft+150, drawBottom+38)
	for _, curve := range []struct {
		name, colour string
		shares       []float64
		row          int
	}{{"router", "#1565c0", router, 0}, {"storms not handled", "#c62828", today, 1}} {
		fmt.Fprintf(&b, "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"", curve.colour)
		for i, share := range curve.shares {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(overloads[i]), y(share))
		}
		at := drawBottom - 40 + 18*curve.row
		fmt.Fprintf(&b, "\"/>\n<line x1=\"440\" y1=\"%d\" x2=\"460\" y2=\"%d\" stroke=\"%s\" stroke-width=\"2\"/>"+
			"<text x=\"466\" y=\"%d\">%s</text>\n", at, at, curve.colour, at+4, curve.name)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

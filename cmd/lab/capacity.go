package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/stubrouter"
)

// The size to design for, from the operators' plan, and what one router may spend on control there.
const (
	plannedRouters    = 5000
	controlBytes      = 20_000   // a second
	controlHeap       = 32 << 20 // bytes
	controlProcessor  = 0.014    // of a core
	predictedWithin   = 0.2      // of the size that was not fitted
	capacityCaches    = 12
	capacitySettle    = 3 * time.Second
	capacitySteady    = 8 * time.Second
	capacityChanges   = 8
	capacityChangeGap = 400 * time.Millisecond
)

func init() {
	lab.Register(lab.Scenario{Name: "capacity", Run: capacityScenario,
		Doc: "what control costs by hollow routers on loopback: slopes fitted at 20 to 100 routers, checked at 200 (--long: 100 to 600, 1,000), and " +
			"extrapolated to 5,000; FILE.json: written there"})
}

// controlMeasure is one figure of a run.
type controlMeasure struct {
	name, unit string
	of         func(r stubrouter.Result) float64
	bound      float64 // for one router; 0 for none
	counted    bool    // it counts messages or bytes, and has to be predicted
}

var controlMeasures = []controlMeasure{
	{"calls of discovery", "messages/s", func(r stubrouter.Result) float64 { return r.ListMessages }, 0, true},
	{"bytes to discovery and back", "bytes/s", func(r stubrouter.Result) float64 { return r.ListBytes }, controlBytes, true},
	{"probes and connections of caches", "messages/s", func(r stubrouter.Result) float64 { return r.ProbeMessages }, 0, false},
	{"bytes to caches and back", "bytes/s", func(r stubrouter.Result) float64 { return r.ProbeBytes }, controlBytes, false},
	{"processor, stand-ins among it", "cores", func(r stubrouter.Result) float64 { return r.Processor }, controlProcessor, false},
	{"heap and stacks, stand-ins among it", "bytes", func(r stubrouter.Result) float64 { return r.Heap }, controlHeap, false},
	{"last router that has a change", "s", func(r stubrouter.Result) float64 { return r.InForce.Last.Seconds() }, 0, false},
}

// slope is a measure by routers: a line through the fitted sizes.
type slope struct {
	Name            string  `json:"name"`
	Unit            string  `json:"unit"`
	Intercept       float64 `json:"intercept"`
	EachRouter      float64 `json:"each_router"`
	StandardError   float64 `json:"standard_error"`
	Predicted       float64 `json:"predicted"`
	Measured        float64 `json:"measured"`
	AtPlan          float64 `json:"at_plan"`
	PartOfBound     float64 `json:"part_of_bound,omitempty"`
	CountedAndWrong bool    `json:"counted_and_wrong,omitempty"`
}

// capacityReport is what the command writes.
type capacityReport struct {
	Runs   []stubrouter.Result `json:"runs"`
	Slopes []slope             `json:"slopes"`
}

func capacityScenario(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	sizes, check := []int{20, 60, 100}, 200
	if o.Long {
		sizes, check = []int{100, 300, 600}, 1000
	}
	path := ""
	for _, a := range o.Args {
		if !strings.HasSuffix(a, ".json") {
			return "", false, usageError{fmt.Errorf("capacity: %q is no FILE.json", a)}
		}
		path = a
	}
	var report capacityReport
	fmt.Fprintln(o.Out, "routers  heard p50    last   in force p50     p99    last  missed  calls/s  list B/s  probes/s  cores  heap MB")
	for _, n := range append(sizes, check) {
		r, err := stubrouter.Play(ctx, stubrouter.Options{Routers: n, Caches: capacityCaches, Settle: capacitySettle, Steady: capacitySteady,
			Changes: capacityChanges, ChangeEvery: capacityChangeGap})
		if err != nil {
			return "", false, err
		}
		fmt.Fprintf(o.Out, "%7d  %8.2fs  %5.2fs  %11.3fs  %5.3fs  %5.3fs  %6d  %7.1f  %8.0f  %8.1f  %5.2f  %7.1f\n", n, r.Heard.Median.Seconds(),
			r.Heard.Last.Seconds(), r.InForce.Median.Seconds(), r.InForce.P99.Seconds(), r.InForce.Last.Seconds(), r.Missed, r.ListMessages,
			r.ListBytes, r.ProbeMessages, r.Processor, r.Heap/(1<<20))
		report.Runs = append(report.Runs, r)
	}
	fitted, last := report.Runs[:len(sizes)], report.Runs[len(sizes)]
	ok = last.Missed == 0
	fmt.Fprintf(o.Out, "\n%-36s  %12s  %10s  %10s  %10s  %10s  %s\n", "a router", "slope", "error", "predicted", "measured", "at 5,000", "of its bound")
	for _, m := range controlMeasures {
		s := fit(m, fitted, last)
		report.Slopes = append(report.Slopes, s)
		ok = ok && !s.CountedAndWrong
		fmt.Fprintf(o.Out, "%-36s  %12.4g  %10.2g  %10.4g  %10.4g  %10.4g  %s\n", m.name+", "+m.unit, s.EachRouter, s.StandardError, s.Predicted, s.Measured, s.AtPlan, part(s))
	}
	if path != "" {
		if err := writeReport(path, report); err != nil {
			return "", false, err
		}
	}
	calls := report.Slopes[0]
	return fmt.Sprintf("routers %d missed %d calls_a_router %.3f predicted %.1f measured %.1f last_in_force %.3fs", check, last.Missed,
		calls.EachRouter, calls.Predicted, calls.Measured, last.InForce.Last.Seconds()), ok, nil
}

// fit draws a line through the fitted sizes, and checks it at another.
func fit(m controlMeasure, fitted []stubrouter.Result, last stubrouter.Result) slope {
	var x, y []float64
	for _, r := range fitted {
		x, y = append(x, float64(r.Routers)), append(y, m.of(r))
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	s := slope{Name: m.name, Unit: m.unit, Intercept: a, EachRouter: b, StandardError: standardError(x, y, a, b),
		Predicted: a + b*float64(last.Routers), Measured: m.of(last), AtPlan: a + b*plannedRouters}
	if m.bound > 0 {
		s.PartOfBound = b / m.bound
	}
	s.CountedAndWrong = m.counted && math.Abs(s.Predicted-s.Measured) > predictedWithin*s.Measured
	return s
}

// standardError is that of the slope of a line through points.
func standardError(x, y []float64, a, b float64) float64 {
	mean, residual, spread := stat.Mean(x, nil), 0.0, 0.0
	for i := range x {
		residual += math.Pow(y[i]-a-b*x[i], 2)
		spread += math.Pow(x[i]-mean, 2)
	}
	return math.Sqrt(residual / float64(len(x)-2) / spread)
}

func part(s slope) string {
	if s.PartOfBound == 0 {
		return ""
	}
	return fmt.Sprintf("%.4f", s.PartOfBound)
}

func writeReport(path string, report capacityReport) error {
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

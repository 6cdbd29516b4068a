package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/clusterlab"
)

func init() {
	lab.Register(lab.Scenario{Name: "fleet-ways", Run: fleetWays,
		Doc: "ways to keep a view of a fleet, of 10 to 100 virtual routers (--long: 300): heartbeats of all to all, SWIM, and this one; " +
			"FILE.svg: drawn there"})
}

func fleetWays(ctx context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	sizes, seed, picture := []int{10, 30, 100}, uint64(1), ""
	if o.Long {
		sizes = append(sizes, 300)
	}
	for _, a := range o.Args {
		if strings.HasSuffix(a, ".svg") {
			picture = a
			continue
		}
		if seed, err = strconv.ParseUint(a, 10, 63); err != nil {
			return "", false, usageError{fmt.Errorf("fleet-ways: %q is neither a seed nor a FILE.svg", a)}
		}
	}
	all := make([][]clusterlab.Compared, len(sizes))
	errs := make([]error, len(sizes))
	at := make([]int, len(sizes))
	for i := range at {
		at[i] = i
	}
	sideBySide(at, func(i int) {
		if errs[i] = ctx.Err(); errs[i] == nil {
			all[i], errs[i] = clusterlab.Compare(seed, sizes[i])
		}
	})
	fmt.Fprintln(o.Out, "routers  way          detected  accused  bytes/s")
	worst, accused := 0.0, 0
	for i, ways := range all {
		if errs[i] != nil {
			return "", false, errs[i]
		}
		for _, c := range ways {
			fmt.Fprintf(o.Out, "%7d  %-11s  %7.2fs  %7d  %7.0f\n", c.Routers, c.Way, float64(c.Detected)/1e6, c.Accused, c.Bytes)
		}
		own := ways[len(ways)-1]
		worst, accused = max(worst, own.Bytes), accused+own.Accused
	}
	if picture != "" {
		if err := drawWays(picture, all); err != nil {
			return "", false, err
		}
	}
	return fmt.Sprintf("routers %d accused %d bytes_most %.0f/s", sizes[len(sizes)-1], accused, worst), accused == 0 && worst <= viewBytes, nil
}

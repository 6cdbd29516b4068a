package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"starlingwinch/internal/testbench/lab/clusterlab"
)

// maxShrunk is how many of the broken scripts are made shorter.
const maxShrunk = 3

// huntFleet plays scripts of faults between the views of many routers, and tells those that break, made shorter.
func huntFleet(ctx context.Context, out io.Writer, from, to uint64, jobs int, long bool) error {
	o := clusterlab.Options{Routers: 30}
	if long {
		o.Routers = 300
	}
	begin, broken := time.Now(), 0
	played := clusterlab.Hunt(ctx, from, to, jobs, o, func(r *clusterlab.Result) {
		if len(r.Broken) == 0 {
			return
		}
		if broken++; broken <= maxShrunk {
			r = clusterlab.Shrink(r, o)
		}
		fmt.Fprintln(out, r)
	})
	fmt.Fprintf(out, "fleet of %d: seeds %d broken %d in %.0f s\n", o.Routers, played, broken, time.Since(begin).Seconds())
	if broken > 0 {
		return errors.New("views were wrong")
	}
	return nil
}

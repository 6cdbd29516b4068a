package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"starlingwinch/internal/testbench/lab/pacing"
)

// Seeds of a row of the spread.
const (
	spreadSeeds     = 20
	spreadLongSeeds = 200
)

// spreadStrategies are compared over many seeds: delays that are the same for any number of routers, and the router's own.
var spreadStrategies = []string{"steady", "router"}

// spreadOutage is what keeps routers from discovery before it can be reached.
type spreadOutage struct {
	name   string
	span   time.Duration
	resets bool
}

var spreadOutages = []spreadOutage{
	{name: "start"},
	{name: "resets 1.5s", span: 1500 * time.Millisecond, resets: true},
	{name: "503 1.5s", span: 1500 * time.Millisecond},
	{name: "resets 40s", span: 40 * time.Second, resets: true},
	{name: "503 40s", span: 40 * time.Second},
}

// pacingSpread is a row: one world with one strategy, over many seeds. Discovery can take a call of each router in five seconds.
type pacingSpread struct {
	outage   spreadOutage
	clients  int
	strategy string
	plays    []*pacingRun
}

func pacingSpreads(long bool) (rows []*pacingSpread) {
	seeds := spreadSeeds
	if long {
		seeds = spreadLongSeeds
	}
	for _, outage := range spreadOutages {
		for _, clients := range []int{2, 4, 8, 16, 24, 30, 128, 300} {
			for _, kind := range pacing.Kinds() {
				if slices.Contains(spreadStrategies, kind.Name) {
					rows = append(rows, newSpread(outage, clients, kind, seeds))
				}
			}
		}
	}
	return rows
}

// minSpreadCapacity is the least capacity, in calls a second: a call that takes longer leaves no time to queue another one.
const minSpreadCapacity = 1.5

func newSpread(outage spreadOutage, clients int, kind pacing.Kind, seeds int) *pacingSpread {
	row := &pacingSpread{outage: outage, clients: clients, strategy: kind.Name}
	world := pacing.World{
		Clients:  clients,
		Capacity: max(float64(clients)/(pacingBound-pacingReserve).Seconds(), minSpreadCapacity),
		Outage:   outage.span.Microseconds(),
		Resets:   outage.resets,
		MaxWait:  time.Minute.Microseconds(),
	}
	for seed := range seeds {
		world.Seed = uint64(seed + 1)
		row.plays = append(row.plays, &pacingRun{World: world, kind: kind})
	}
	return row
}

func playSpreads(ctx context.Context, rows []*pacingSpread) error {
	var plays []*pacingRun
	for _, row := range rows {
		plays = append(plays, row.plays...)
	}
	sideBySide(plays, func(r *pacingRun) {
		if r.err = ctx.Err(); r.err == nil {
			r.delays, r.err = pacing.Play(r.World, r.kind)
		}
	})
	for _, play := range plays {
		if play.err != nil {
			return play.err
		}
	}
	return nil
}

// printSpreads prints when the last router is answered, over the plays of each row, and how discovery spent the time.
func printSpreads(out io.Writer, rows []*pacingSpread) {
	fmt.Fprintln(out, "the last router:")
	fmt.Fprintln(out, "before       routers  calls/s  ideal  strategy  median    p99    most  later than the bound  rejecting   idle")
	for _, row := range rows {
		var last []pacing.Time
		var rejecting, idle pacing.Time
		late := 0
		for _, play := range row.plays {
			last = append(last, play.delays.Last)
			rejecting += play.delays.Discovery.Rejecting
			idle += play.delays.Discovery.Idle
			if play.delays.Last > pacingBound.Microseconds() {
				late++
			}
		}
		slices.Sort(last)
		n := len(last)
		capacity := row.plays[0].Capacity
		fmt.Fprintf(out, "%-11s  %7d  %7.1f  %4.1fs  %-8s  %5.2fs  %5.2fs  %5.2fs  %11d of %-6d  %8.2fs  %4.2fs\n", row.outage.name, row.clients, capacity,
			float64(row.clients)/capacity, row.strategy, seconds(last[n/2]), seconds(last[n*99/100]), seconds(last[n-1]), late, n,
			seconds(rejecting)/float64(n), seconds(idle)/float64(n))
	}
}

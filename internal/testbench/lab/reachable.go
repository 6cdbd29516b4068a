package lab

import (
	"slices"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/sim"
)

// reachable returns the time since which no stall, cut or lag has delayed the link between a router and discovery, and
// whether the link is free of them now.
func (w *world) reachable(name string) (since Time, now bool) {
	r := w.routerNamed(name)
	if r == nil || r.node == nil {
		return 0, false
	}
	at := w.sim.Now()
	since = r.startedAt
	for _, s := range r.stalls {
		since = max(since, s.to)
	}
	for _, x := range w.script.Faults {
		if x.Kind != script.Cut && x.Kind != script.Lag {
			continue
		}
		from, to, _, _ := script.LinkOf(x.Target)
		if ends := []string{from, to}; !slices.Contains(ends, r.zone) || !slices.Contains(ends, w.listZone()) {
			continue
		}
		begin, end := sim.Start+lead+microseconds(x.At), sim.Start+lead+microseconds(x.Until(w.script.Length))
		if begin <= at {
			since = max(since, end)
		}
	}
	return since, since <= at
}

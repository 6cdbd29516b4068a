package main

import (
	"context"
	"fmt"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

// silentCost is what a registry that says nothing for 30 s, while a cache dies, may cost of the share served in
// time, beside the same run with the registry well. No paper sets it: the dead cache is found either way by the
// calls to it, so the two are to be alike.
const silentCost = 0.01

// The run of eureka-silent.
const (
	silentLength = 40 * time.Second
	silentAt     = 4 * time.Second
	silentFor    = 30 * time.Second
	silentDeath  = 10 * time.Second
	silentSeeds  = 5
)

func init() {
	lab.Register(lab.Scenario{Name: "eureka-silent", Run: eurekaSilent,
		Doc: "a registry silent for 30 s while a cache dies, beside one that is well, in virtual worlds"})
}

// silentScript is a run in which a cache dies, with a registry that is silent or well.
func silentScript(seed int64, silent bool) script.Script {
	s := script.Default()
	s.Seed, s.Length, s.Rate = seed, silentLength, 160
	// With self-preservation, as real servers have it. Without, a registry that has heard no renewals for longer than its
	// leases last comes back with an empty list, and routers obey that once it is confirmed.
	s.Registry.Enabled, s.Registry.Preserve = true, true
	s.Faults = []script.Fault{{Kind: script.CacheKill, Target: "c3", At: silentDeath}}
	if silent {
		s.Faults = append(s.Faults, script.Fault{Kind: script.RegistrySilent, Target: "registry", At: silentAt,
			For: silentFor})
	}
	s.Sort()
	return s
}

func eurekaSilent(_ context.Context, o lab.RunOptions) (line string, ok bool, err error) {
	seeds := int64(silentSeeds)
	if o.Long {
		seeds *= 10
	}
	var silent, well rules.Tally
	broken := 0
	fmt.Fprintf(o.Out, "%-6s %16s %16s %8s\n", "seed", "registry silent", "registry well", "broken")
	for seed := int64(1); seed <= seeds; seed++ {
		a, errA := lab.Run(silentScript(seed, true), lab.Options{Node: router})
		b, errB := lab.Run(silentScript(seed, false), lab.Options{Node: router})
		if errA != nil || errB != nil {
			return "", false, fmt.Errorf("seed %d: %v, %v", seed, errA, errB)
		}
		for _, x := range append(a.Broken, b.Broken...) {
			fmt.Fprintf(o.Out, "seed %d: %s\n", seed, x)
		}
		n := len(a.Broken) + len(b.Broken)
		broken += n
		fmt.Fprintf(o.Out, "%-6d %16.4f %16.4f %8d\n", seed, inTime(a.Counts.Tally), inTime(b.Counts.Tally), n)
		silent, well = sumOf(silent, a.Counts.Tally), sumOf(well, b.Counts.Tally)
	}
	s, w := inTime(silent), inTime(well)
	return fmt.Sprintf("seeds %d broken %d in_time silent %.4f well %.4f", seeds, broken, s, w),
		broken == 0 && s >= w-silentCost, nil
}

// inTime is the share of requests that were served within their aim.
func inTime(t rules.Tally) float64 { return float64(t.InTime) / float64(max(t.Asked, 1)) }

func sumOf(a, b rules.Tally) rules.Tally {
	a.Asked += b.Asked
	a.InTime += b.InTime
	return a
}

package lab

import (
	"context"
	"slices"
	"time"

	"starlingwinch/internal/testbench/lab/script"
)

// Shrinking reduces a script to a small one that still breaks one rule. Delta debugging (Zeller and Hildebrandt, "Simplifying
// and Isolating Failure-Inducing Input", IEEE TSE 28(2), 2002) removes faults. Further steps make the remaining script shorter
// and milder as long as the rule still breaks.
type Shrinking struct {
	Rule    string // the rule that the script must break
	Options Options
	// Tried is called after each run, with its script and whether the rule broke.
	Tried func(s script.Script, breaks bool)
	// MaxRuns bounds the number of runs; 0 means 500.
	MaxRuns int

	runs int
}

// Shrink returns the smallest script found and the number of runs. If ctx ends early, the script is the smallest so far.
func (h *Shrinking) Shrink(ctx context.Context, s script.Script) (script.Script, int) {
	if h.MaxRuns == 0 {
		h.MaxRuns = 500
	}
	breaks := func(c script.Script) bool {
		if ctx.Err() != nil || h.runs >= h.MaxRuns || c.Check() != nil {
			return false
		}
		h.runs++
		r, err := Run(c, h.Options)
		ok := err == nil && r.Breaks(h.Rule)
		if h.Tried != nil {
			h.Tried(c, ok)
		}
		return ok
	}
	for {
		before := script.Text(s)
		s = shorter(s, breaks)
		s = fewer(s, breaks)
		s = milder(s, breaks)
		if script.Text(s) == before {
			return s, h.runs
		}
	}
}

// fewer removes faults with the ddmin algorithm.
func fewer(s script.Script, breaks func(script.Script) bool) script.Script {
	for parts := 2; len(s.Faults) > 0; {
		parts = min(parts, len(s.Faults))
		found := false
		for i := range parts {
			c := s.Clone()
			from, to := i*len(s.Faults)/parts, (i+1)*len(s.Faults)/parts
			c.Faults = slices.Delete(c.Faults, from, to)
			if breaks(c) {
				s, found = c, true
				parts = max(parts-1, 2)
				break
			}
		}
		if found {
			continue
		}
		if parts >= len(s.Faults) {
			return s
		}
		parts *= 2
	}
	return s
}

// truncate returns a copy of the script with another length. Faults end with the copy at the latest.
func truncate(s script.Script, length time.Duration) script.Script {
	c := s.Clone()
	c.Length = length
	c.Faults = nil
	for _, f := range s.Faults {
		if f.At >= length {
			continue
		}
		f.For = min(f.For, length-f.At)
		c.Faults = append(c.Faults, f)
	}
	return c
}

// shorter bisects for a shorter length of the run, and then for shorter durations of the faults.
func shorter(s script.Script, breaks func(script.Script) bool) script.Script {
	s.Length = shortestBreaking(s.Length, 200*time.Millisecond, func(d time.Duration) bool { return breaks(truncate(s, d)) })
	s = truncate(s, s.Length)
	for i := range s.Faults {
		if s.Faults[i].For == 0 {
			continue
		}
		s.Faults[i].For = shortestBreaking(s.Faults[i].For, 10*time.Millisecond, func(d time.Duration) bool {
			c := s.Clone()
			c.Faults[i].For = d
			return breaks(c)
		})
	}
	return s
}

// shortestBreaking bisects for the shortest duration that still breaks the rule, with a precision of a tenth of from.
func shortestBreaking(from, floor time.Duration, breaks func(time.Duration) bool) time.Duration {
	low, high := floor, from
	for step := max(from/10, floor); high-low > step; {
		mid := (low + (high-low)/2).Round(time.Millisecond)
		if breaks(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// milder lowers the load and resets other properties of the script, such as hooks, clients and network, where the rule still breaks.
func milder(s script.Script, breaks func(script.Script) bool) script.Script {
	usual := script.Default()
	try := func(change func(c *script.Script)) {
		c := s.Clone()
		if change(&c); script.Text(c) != script.Text(s) && breaks(c) {
			s = c
		}
	}
	for _, rate := range []float64{s.Rate / 8, s.Rate / 2} {
		try(func(c *script.Script) { c.Rate = max(1, float64(int(rate))) })
	}
	for i := len(s.Hooks) - 1; i >= 0; i-- {
		try(func(c *script.Script) { c.Hooks = slices.Delete(c.Hooks, i, i+1) })
	}
	try(func(c *script.Script) { c.Clients = usual.Clients })
	try(func(c *script.Script) { c.Clients.Retries = 0 })
	try(func(c *script.Script) { c.Clients.Pipeline = 0 })
	try(func(c *script.Script) { c.Clients.Impatient = 0 })
	try(func(c *script.Script) { c.Fleet = usual.Fleet })
	try(func(c *script.Script) { c.Network = usual.Network })
	try(func(c *script.Script) { c.Network.Shuffle = false })
	try(func(c *script.Script) { c.Network.Jitter, c.Network.Split = 0, 0 })
	try(func(c *script.Script) { c.Caches = 3 })
	try(func(c *script.Script) { c.Routers = 1 })
	try(func(c *script.Script) { c.Clients.Groups = 1 })
	return s
}

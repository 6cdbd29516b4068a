package script

import (
	"fmt"
	"time"
)

const (
	endingStream = 0xe4d1_4650
	endingsOneIn = 3 // drawn scripts, of which one has an ending on top of its faults
)

// endings are troubles that come one right upon another, at an instant in which something is still owed.
var endings = []func(d drawer, s *Script) []Fault{
	// Watches fall silent, or are reset, and caches begin to drain right after.
	func(d drawer, s *Script) []Fault {
		at, lasts := d.span(s.Length/20, s.Length/4), d.span(s.Length/20, s.Length/4)
		return []Fault{{Kind: ListSilent, Target: "discovery", At: at, For: lasts}, d.drainAt(at+lasts/2, s)}
	},
	func(d drawer, s *Script) []Fault {
		at, lasts := d.span(s.Length/20, s.Length/4), d.span(s.Length/50, s.Length/5)
		return []Fault{{Kind: ListDown, Target: "discovery", At: at, For: lasts, How: "resets"}, d.drainAt(at+lasts, s)}
	},
	// A router is told to end while caches hang, or answer without end.
	func(d drawer, s *Script) []Fault {
		at := d.span(s.Length/10, s.Length/2)
		return []Fault{{Kind: Hang, Target: "zone:" + pick(d, Zones()), At: at, For: s.Length / 3}, d.termAt(at, s)}
	},
	func(d drawer, s *Script) []Fault {
		at := d.span(s.Length/10, s.Length/2)
		return []Fault{{Kind: Spoil, Target: "all", At: at, For: s.Length / 5, Chance: 0.2, How: "endless"}, d.termAt(at, s)}
	},
	// Clients leave while their requests wait for connections that do not come up.
	func(d drawer, s *Script) []Fault {
		s.Clients.Impatient = 0.3
		return []Fault{{Kind: SwallowDials, Target: "zone:" + pick(d, Zones()), At: d.span(s.Length/10, s.Length/2), For: s.Length / 10}}
	},
}

// drainAt is a cache that begins to drain then, and stays until routers have been told and the grace has passed.
func (d drawer) drainAt(at time.Duration, s *Script) Fault {
	return Fault{Kind: Drain, Target: fmt.Sprintf("c%d", 1+d.IntN(s.Caches)), At: at, For: s.Length / 2}
}

// termAt is a router that is told to end soon after.
func (d drawer) termAt(at time.Duration, s *Script) Fault {
	return Fault{Kind: RouterTerm, Target: fmt.Sprintf("router:%d", 1+d.IntN(s.Routers)), At: at + d.span(0, s.Length/10)}
}

package lab

import (
	"fmt"
	"hash/fnv"
	"strings"

	"starlingwinch/internal/testbench/rules"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Rules that the lab checks in addition to those of package rules.
const (
	Crash = "crash" // a panic in a callback
	Stuck = "stuck" // more events than a run of that length can have

	PastHook  = "sent past a hook"    // a cache received a request of a class that a hook never passes
	LongQueue = "hook queue too long" // a hook has more calls than its queue limit allows
)

// Broken is one broken rule.
type Broken struct {
	Rule                   string
	At                     Time // from the beginning of the script
	Request, Router, Cache string
	Text                   string
}

// String formats a broken rule in one line. The trace of a run covers this text.
func (b Broken) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%9.6f s: %s", float64(b.At)/1e6, b.Rule)
	for _, part := range [...]struct{ name, value string }{
		{"request", b.Request}, {"router", b.Router}, {"cache", b.Cache},
	} {
		if part.value != "" {
			fmt.Fprintf(&s, ", %s %s", part.name, part.value)
		}
	}
	if b.Text != "" {
		s.WriteString(": " + b.Text)
	}
	return s.String()
}

// brokenFrom converts a violation that the watcher has found.
func brokenFrom(v rules.Violation) Broken {
	return Broken{v.Rule.String(), v.At - sim.Start - lead, v.Request, v.Router, v.Cache, v.Text}
}

// maxBroken bounds the broken rules that a result lists.
const maxBroken = 100

// Result is the result of a run.
type Result struct {
	Broken    []Broken // the first maxBroken broken rules
	More      int      // number of broken rules beyond maxBroken
	Excused   int      // requests lost through no fault of their router; see excuses
	Counts    rules.Counts
	Steps     int64
	Simulated Time
	Trace     uint64
	History   []string // history of the request that Options.Follow names
	Discovery standin.DiscoveryUsage
}

// First returns the name of the first broken rule, or an empty string if no rule broke.
func (r *Result) First() string {
	if len(r.Broken) == 0 {
		return ""
	}
	return r.Broken[0].Rule
}

// Breaks reports whether a rule of that name broke.
func (r *Result) Breaks(rule string) bool {
	for _, b := range r.Broken {
		if b.Rule == rule {
			return true
		}
	}
	return false
}

// setTrace hashes the trace of the world, the watcher's counts and the texts of the broken rules.
func (r *Result) setTrace(trace uint64) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %+v\n", trace, r.Counts)
	for _, b := range r.Broken {
		fmt.Fprintln(h, b)
	}
	r.Trace = h.Sum64()
}

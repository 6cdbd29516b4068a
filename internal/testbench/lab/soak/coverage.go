package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"starlingwinch/internal/testbench/lab/script"
)

// Paths of a router that have to keep the rules.
var paths = []string{"shutdown", "reload", "restart", "watch", "retry", "cancel", "idle close", "hand-over"}

// pathOfTrouble are the paths that a trouble leads down by itself.
var pathOfTrouble = map[string]string{script.RouterTerm: "shutdown", script.HangUp: "reload", script.ListMoved: "reload",
	script.HandOver: "hand-over", script.Signals: "hand-over",
	script.RouterRestart: "restart", script.ListDown: "watch", script.ListSilent: "watch", script.ListLate: "watch"}

// pathOfCounter are the paths that a router's counters tell of, by the beginning of the counter's name.
var pathOfCounter = map[string]string{"attempt-retried.": "retry", "attempt-ended.cancelled": "cancel",
	"connection-closed.timeout-idle": "idle close"}

// Coverage counts which pairs of troubles were played, and each trouble on which paths.
type Coverage struct {
	pairs map[[2]string]int
	on    map[[2]string]int // trouble, path
}

// Add counts a play. counters are the names of those that its routers' logs tell of.
func (c *Coverage) Add(played Case, counters []string) {
	if c.pairs == nil {
		c.pairs, c.on = map[[2]string]int{}, map[[2]string]int{}
	}
	troubles := slices.Compact(slices.Sorted(slices.Values(played.Troubles)))
	met := map[string]bool{}
	for i, a := range troubles {
		met[pathOfTrouble[a]] = true
		for _, b := range troubles[i+1:] {
			c.pairs[[2]string{a, b}]++
		}
	}
	for _, name := range counters {
		for begins, path := range pathOfCounter { // any order: each by itself
			met[path] = met[path] || strings.HasPrefix(name, begins)
		}
	}
	for _, a := range troubles {
		for _, path := range paths {
			if met[path] {
				c.on[[2]string{a, path}]++
			}
		}
	}
}

// PairsMet is how many pairs of troubles were played at least once.
func (c *Coverage) PairsMet() int { return len(c.pairs) }

// Write writes a table of troubles and paths, and how many pairs were met.
func (c *Coverage) Write(out io.Writer) {
	fmt.Fprintf(out, "%-16s", "")
	for _, path := range paths {
		fmt.Fprintf(out, "%11s", path)
	}
	fmt.Fprintln(out)
	for _, kind := range kinds {
		fmt.Fprintf(out, "%-16s", kind)
		for _, path := range paths {
			fmt.Fprintf(out, "%11d", c.on[[2]string{kind, path}])
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "pairs of troubles met: %d of %d\n", c.PairsMet(), Pairs())
}

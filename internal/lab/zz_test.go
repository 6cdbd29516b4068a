package lab_test

import (
	"fmt"
	"starlingwinch/internal/lab"
	"starlingwinch/internal/lab/node"
	"testing"
)

func TestZZ(t *testing.T) {
	s := lab.Storm{Seed: 7, Clients: 100, Load: 0.1, Before: second, Outage: 4 * second, For: 10 * second, Ignore: 0}
	r, _ := lab.PlayStorm(s, lab.Options{Node: node.Start, Timeline: func(at lab.Time, l string) { fmt.Println(float64(at)/1e6-5, l) }})
	for _, p := range r.Parts {
		fmt.Printf("%+v\n", p)
	}
}

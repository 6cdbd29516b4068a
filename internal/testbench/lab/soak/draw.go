// Package soak draws long plays of real router processes in which two or three troubles overlap, and tells which pairs of
// troubles, and which troubles on which paths of a router, have been played.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/testbench/lab/script"
)

// drawStream keeps the draws apart from those of the world of the same seed.
const drawStream = 0x50a4_0001

// Troubles that are no faults of a script: they hold from a process's start, by a trial build's kernel.
const (
	FailingCalls = "failing-calls"
	SteppedClock = "stepped-clock"
)

// kinds are the troubles that are drawn.
var kinds = []string{script.Hang, script.Silence, script.Slow, script.Errors, script.Busy, script.Spoil, script.ResetAccept,
	script.ResetInside, script.ResetAfter, script.DropIdle, script.ListLate, script.ListDown, script.ListSilent,
	script.ListMoved, script.RestartCold, script.Replace, script.Drain, script.Hostile, script.Burst, script.RouterRestart,
	script.RouterTerm, script.HangUp, script.Stall, script.HandOver, script.Signals, FailingCalls, SteppedClock}

// Pairs is how many pairs of troubles there are: so many seeds in a row meet each of them.
func Pairs() int { return len(kinds) * (len(kinds) - 1) / 2 }

// pair is one pair of troubles, by its number.
func pair(n int) (a, b string) {
	for i := range kinds {
		if rest := len(kinds) - 1 - i; n >= rest {
			n -= rest
			continue
		}
		return kinds[i], kinds[i+1+n]
	}
	panic("soak: no such pair")
}

// Case is one play.
type Case struct {
	Seed     uint64
	Script   script.Script
	Calls    string // what fails, in the words of faultkernel.Parse; "" for nothing
	Troubles []string
}

// step spreads pairs that follow one another over the seeds; it has no divisor in common with their number.
const step = 137

// Draw is the play that a seed decides: its pair of troubles, in half of the plays a third one, and the world around them.
func Draw(seed uint64, routers int, length time.Duration) Case {
	a, b := pair(int(seed * step % uint64(Pairs())))
	return draw(seed, routers, length, a, b)
}

// DrawWith is a play in which one of the pair is given; the other one goes through all kinds, seed by seed.
func DrawWith(trouble string, seed uint64, routers int, length time.Duration) (Case, error) {
	if !slices.Contains(kinds, trouble) {
		return Case{}, fmt.Errorf("no trouble %q; there are %s", trouble, strings.Join(kinds, ", "))
	}
	others := slices.DeleteFunc(slices.Clone(kinds), func(k string) bool { return k == trouble })
	return draw(seed, routers, length, trouble, others[seed%uint64(len(others))]), nil
}

func draw(seed uint64, routers int, length time.Duration, a, b string) Case {
	r := rand.New(rand.NewPCG(seed, drawStream))
	c := Case{Seed: seed, Script: script.DrawOf(seed, length), Troubles: []string{a, b}}
	if r.IntN(2) == 0 {
		c.Troubles = append(c.Troubles, kinds[r.IntN(len(kinds))])
	}
	s := &c.Script
	s.Faults, s.Routers = nil, routers
	s.Fleet.Pushed = false // the stand-ins on sockets ask
	// A third of the plays are quiet for half of their time.
	begin := length / 10
	if r.IntN(3) == 0 {
		begin = length / 2
	}
	overlap := length / 4
	for i, kind := range c.Troubles {
		switch kind {
		case FailingCalls:
			c.addCalls(fmt.Sprintf("short_reads=%.2f,read_most=200,short_writes=0.1,interrupted=0.02,accept=0.02,socket=0.01,"+
				"connect=0.02,register=0.01,wake=0.02,memory=0.001,burst=20ms", []float64{0.02, 0.3}[r.IntN(2)]))
		case SteppedClock:
			by := []time.Duration{-time.Hour, time.Hour, 5 * time.Second, -5 * time.Second}[r.IntN(4)]
			c.addCalls(fmt.Sprintf("clock_step=%v,clock_after=%v", by, begin))
		case script.HandOver:
			s.Faults = append(s.Faults, handOvers(s, begin, overlap, r)...)
		default:
			at := begin + time.Duration(i)*time.Duration(r.Int64N(int64(overlap/2)))
			s.Faults = append(s.Faults, script.FaultOf(kind, s, at, overlap, r))
		}
	}
	s.Sort()
	return c
}

// handOvers are those of one router, of all at once, or of one after another.
func handOvers(s *script.Script, at, overlap time.Duration, r *rand.Rand) []script.Fault {
	first := script.FaultOf(script.HandOver, s, at, overlap, r)
	switch r.IntN(3) {
	case 0:
		return []script.Fault{first}
	case 1:
		first.Target = fmt.Sprintf("router:1-%d", s.Routers)
		return []script.Fault{first}
	}
	var all []script.Fault
	for i := range s.Routers {
		next := script.FaultOf(script.HandOver, s, at+overlap*time.Duration(i)/time.Duration(s.Routers), overlap, r)
		next.Target = fmt.Sprintf("router:%d", i+1)
		all = append(all, next)
	}
	return all
}

func (c *Case) addCalls(rates string) {
	if c.Calls != "" {
		rates = c.Calls + "," + rates
	}
	c.Calls = rates
}

// Package pacing measures how soon many clients are answered by a discovery that takes few calls, with several strategies of calling
// again. The clients are the router's own watches of discovery on the virtual network, the discovery is the stand-in that turns
// calls away at a cost.
package pacing

import (
	"errors"
	"fmt"
	"slices"

	"starlingwinch/internal/discovery"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const second Time = 1_000_000

// Figures of the world: what a call is beside a refusal and a line was measured on the operators' bench.
const (
	caches          = 12
	refusalsPerCall = 40
	linesPerCall    = 50
	callTimeout     = second
	oneWay          = 7000
)

// World is one measurement.
type World struct {
	Clients  int
	Capacity float64 // calls for the whole list that discovery can take in a second
	Outage   Time    // discovery is down for so long after the clients have been answered; 0 has them start in step
	Resets   bool    // connections are reset in the outage, in place of answers 503
	Seed     uint64
	MaxWait  Time // the longest that is waited for
}

// Delays is how long after discovery could be reached clients were answered. Unanswered is those that were not within MaxWait, which count
// with that.
type Delays struct {
	Median, P99, Last Time
	Unanswered        int
	Refused           int // calls that were turned away, or failed
	Discovery         standin.DiscoveryUsage
}

// client is one router's watch.
type client struct {
	m          machine.Machine
	addr       string
	strategy   Strategy
	watch      *discovery.Watch
	calledAt   Time // the first call of the watch that is open
	answeredAt Time
	refused    int
}

func (c *client) call() {
	asked := discovery.Options{Discovery: limits.Default().Discovery, Grace: grace}
	c.calledAt = c.m.Now()
	c.watch = discovery.Follow(c.m, c.addr, asked, discovery.NoIndex, func(discovery.List) {
		if c.answeredAt == 0 {
			c.answeredAt = c.m.Now()
			c.strategy.Answered(c.answeredAt - c.calledAt)
		}
	}, func(err error) { c.again(errors.Is(err, discovery.ErrOverloaded)) })
}

func (c *client) again(rejected bool) {
	c.refused++
	c.watch.Stop() // also one that has lapsed
	c.m.At(c.m.Now()+c.strategy.Failed(c.m.Now(), rejected, chance(c.m)), c.call)
}

// chance is drawn from a machine's entropy.
func chance(m machine.Machine) float64 { return float64(m.Entropy()>>11) / (1 << 53) }

// Play plays a world with a strategy.
func Play(w World, kind Kind) (Delays, error) {
	world := sim.New(w.Seed)
	world.Near = sim.Link{Latency: oneWay, Jitter: oneWay / 4}
	world.Far = world.Near
	// A call for the whole list costs its lines too.
	cost := Time(float64(second) / w.Capacity / (1 + float64(caches)/linesPerCall))
	o := standin.DiscoveryOptions{CallCost: cost, LineCost: cost / linesPerCall, RejectCost: cost / refusalsPerCall, Timeout: callTimeout}
	for i := range w.Clients {
		o.Routers = append(o.Routers, fmt.Sprintf("router-%d", i))
	}
	list := standin.NewDiscovery(world.Host("discovery", "10.0.0.1", sim.HostOptions{Descriptors: 2*w.Clients + 64}).Machine(), o, nil)
	defer list.Close()
	for i := range caches {
		list.Add(standin.Entry{Name: fmt.Sprintf("s-%d", i), Address: fmt.Sprintf("10.2.0.%d:1", i+1), Zone: "a", Weight: 1})
	}
	var clients []*client
	for i, name := range o.Routers {
		host := world.Host(name, fmt.Sprintf("10.1.%d.%d", i/250, i%250+1), sim.HostOptions{})
		addr, err := list.Open("10.0.0.1:0", name)
		if err != nil {
			return Delays{}, err
		}
		clients = append(clients, &client{m: host.Machine(), addr: addr, strategy: kind.New(w.Clients)})
	}
	reachable := world.Now()
	if w.Outage > 0 {
		list.Down(true, w.Resets)
		reachable += w.Outage
		for _, c := range clients { // before the outage each was answered in a calm moment
			c.strategy.Answered(cost + 2*oneWay)
		}
		world.At(reachable, func() { list.Down(false, w.Resets) })
	}
	for _, c := range clients {
		world.At(world.Now()+c.strategy.StartDelay(chance(c.m)), c.call)
	}
	all := func() bool {
		return !slices.ContainsFunc(clients, func(c *client) bool { return c.answeredAt == 0 })
	}
	for world.Now() < reachable+w.MaxWait && !all() {
		world.Run(world.Now() + second/10)
	}
	delays := summary(clients, reachable, w.MaxWait)
	delays.Discovery = list.Usage()
	return delays, nil
}

func summary(clients []*client, reachable, most Time) (h Delays) {
	var took []Time
	for _, c := range clients {
		h.Refused += c.refused
		if c.answeredAt == 0 {
			h.Unanswered++
			took = append(took, most)
			continue
		}
		took = append(took, c.answeredAt-reachable)
	}
	slices.Sort(took)
	h.Median, h.P99, h.Last = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
	return h
}

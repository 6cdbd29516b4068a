package standin

import (
	"math"

	"starlingwinch/internal/machine"
)

// crowd watches for the crowd that chokes a cache, once in the life of its process.
type crowd struct {
	p      *processor
	held   sampled
	busy   sampled
	since  Time // of the choke; 0 before
	timer  machine.Timer
	choked bool
}

// crowdStep is the time between two looks.
const crowdStep = 100 * Millisecond

func newCrowd(p *processor) *crowd {
	c := &crowd{p: p, held: sampled{most: samples(p.o.Congestion.Window)}, busy: sampled{most: samples(p.o.Congestion.RecoveryWindow)}}
	c.timer = p.m.At(p.m.Now()+crowdStep, c.look)
	return c
}

func samples(span Time) int { return int(max(1, span/crowdStep)) }

func (c *crowd) look() {
	o := &c.p.o.Congestion
	c.held.add(float64(c.p.holds()))
	c.busy.add(min(1, float64(len(c.p.jobs))/c.p.o.Cores))
	bound := c.p.o.Cores + o.Threshold*math.Sqrt(c.p.o.Cores)
	bound = min(bound, 0.7*float64(c.p.o.ConcurrentRequests+c.p.o.Queue))
	now := c.p.m.Now()
	switch {
	case c.since == 0 && c.held.full() && c.held.mean() > bound:
		c.since, c.choked = now, true
		c.busy.all = nil
		c.p.change(func() { c.p.choked = o.Slowdown })
	case c.choked && (now-c.since >= o.MaxDuration || c.busy.full() && c.busy.mean() < o.RecoveryUtilization):
		c.choked = false
		c.p.change(func() { c.p.choked = 1 })
		return // it chokes once
	}
	c.timer = c.p.m.At(now+crowdStep, c.look)
}

func (c *crowd) stop() {
	if c != nil {
		c.timer.Stop()
	}
}

// sampled is the mean of the latest samples.
type sampled struct {
	most int
	all  []float64
}

func (s *sampled) add(v float64) {
	s.all = append(s.all, v)
	if len(s.all) > s.most {
		s.all = s.all[1:]
	}
}

func (s *sampled) full() bool { return len(s.all) >= s.most }

func (s *sampled) mean() float64 {
	sum := 0.0
	for _, v := range s.all {
		sum += v
	}
	return sum / float64(len(s.all))
}

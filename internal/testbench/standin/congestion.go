package standin

import (
	"math"

	"starlingwinch/internal/machine"
)

// congestionMonitor watches for the crowd that chokes a cache, once in the life of its process.
type congestionMonitor struct {
	processor   *processor
	pending     movingMean
	utilization movingMean
	startedAt   Time // of the choke; 0 before
	timer       machine.Timer
	active      bool
}

// congestionSampleInterval is the time between two looks.
const congestionSampleInterval = 100 * Millisecond

func newCongestionMonitor(p *processor) *congestionMonitor {
	o := &p.capacity.Congestion
	c := &congestionMonitor{
		processor:   p,
		pending:     movingMean{size: sampleCount(o.Window)},
		utilization: movingMean{size: sampleCount(o.RecoveryWindow)},
	}
	c.timer = p.m.At(p.m.Now()+congestionSampleInterval, c.sample)
	return c
}

func sampleCount(span Time) int { return int(max(1, span/congestionSampleInterval)) }

func (c *congestionMonitor) sample() {
	o := &c.processor.capacity.Congestion
	c.pending.add(float64(c.processor.pending()))
	c.utilization.add(min(1, float64(len(c.processor.jobs))/c.processor.capacity.Cores))
	bound := c.processor.capacity.Cores + o.Threshold*math.Sqrt(c.processor.capacity.Cores)
	bound = min(bound, 0.7*float64(c.processor.capacity.ConcurrentRequests+c.processor.capacity.Queue))
	now := c.processor.m.Now()
	switch {
	case c.startedAt == 0 && c.pending.full() && c.pending.mean() > bound:
		c.startedAt, c.active = now, true
		c.utilization.samples = nil
		c.processor.change(func() { c.processor.congestionFactor = o.Slowdown })
	case c.active && (now-c.startedAt >= o.MaxDuration || c.utilization.full() && c.utilization.mean() < o.RecoveryUtilization):
		c.active = false
		c.processor.change(func() { c.processor.congestionFactor = 1 })
		return // it chokes once
	}
	c.timer = c.processor.m.At(now+congestionSampleInterval, c.sample)
}

func (c *congestionMonitor) stop() {
	if c != nil {
		c.timer.Stop()
	}
}

// movingMean is the mean of the latest samples.
type movingMean struct {
	size    int
	samples []float64
}

func (s *movingMean) add(v float64) {
	s.samples = append(s.samples, v)
	if len(s.samples) > s.size {
		s.samples = s.samples[1:]
	}
}

func (s *movingMean) full() bool { return len(s.samples) >= s.size }

func (s *movingMean) mean() float64 {
	sum := 0.0
	for _, v := range s.samples {
		sum += v
	}
	return sum / float64(len(s.samples))
}

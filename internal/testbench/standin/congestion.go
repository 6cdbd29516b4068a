package standin

import (
	"math"

	"starlingwinch/internal/machine"
)

// congestionMonitor samples a processor, and starts and ends its congestion, which occurs once in the life of a process.
type congestionMonitor struct {
	processor   *processor
	pending     movingMean    // running and queued requests
	utilization movingMean    // utilization of the cores
	startedAt   Time          // when the congestion began; 0 before
	timer       machine.Timer // of the next sample
	active      bool          // the processor is slowed down
}

// maxCongestionFill bounds the threshold, as a fraction of slots and queue, so that small queues can reach it.
const maxCongestionFill = 0.7

// congestionSampleInterval is the time between two samples.
const congestionSampleInterval = 100 * Millisecond

// newCongestionMonitor starts a monitor of a processor.
func newCongestionMonitor(p *processor) *congestionMonitor {
	o := &p.capacity.Congestion
	c := &congestionMonitor{
		processor:   p,
		pending:     movingMean{size: sampleCount(o.Window)},
		utilization: movingMean{size: sampleCount(o.RecoveryWindow)},
	}
	c.timer = p.machine.At(p.machine.Now()+congestionSampleInterval, c.sample)
	return c
}

// sampleCount returns the number of samples in a window.
func sampleCount(span Time) int { return int(max(1, span/congestionSampleInterval)) }

// sample records one sample, and starts or ends the congestion. It is called at each interval.
func (c *congestionMonitor) sample() {
	o := &c.processor.capacity.Congestion
	c.pending.add(float64(c.processor.pending()))
	c.utilization.add(min(1, float64(len(c.processor.jobs))/c.processor.capacity.Cores))
	bound := c.processor.capacity.Cores + o.Threshold*math.Sqrt(c.processor.capacity.Cores)
	bound = min(bound, maxCongestionFill*float64(c.processor.capacity.ConcurrentRequests+c.processor.capacity.Queue))
	now := c.processor.machine.Now()
	switch {
	case c.startedAt == 0 && c.pending.full() && c.pending.mean() > bound:
		c.startedAt, c.active = now, true
		c.utilization.samples = nil
		c.processor.change(func() { c.processor.congestionFactor = o.Slowdown })
	case c.active && (now-c.startedAt >= o.MaxDuration || c.utilization.full() && c.utilization.mean() < o.RecoveryUtilization):
		c.active = false
		c.processor.change(func() { c.processor.congestionFactor = 1 })
		return // congestion occurs once in the life of a process
	}
	c.timer = c.processor.machine.At(now+congestionSampleInterval, c.sample)
}

// stop stops the monitor; a nil monitor is a no-op.
func (c *congestionMonitor) stop() {
	if c != nil {
		c.timer.Stop()
	}
}

// movingMean is the mean of the latest samples, of which there are at most size.
type movingMean struct {
	size    int
	samples []float64
}

// add appends a sample and drops the oldest one past size.
func (s *movingMean) add(v float64) {
	s.samples = append(s.samples, v)
	if len(s.samples) > s.size {
		s.samples = s.samples[1:]
	}
}

// full reports whether there are size samples.
func (s *movingMean) full() bool { return len(s.samples) >= s.size }

// mean returns the mean of the samples.
func (s *movingMean) mean() float64 {
	sum := 0.0
	for _, v := range s.samples {
		sum += v
	}
	return sum / float64(len(s.samples))
}

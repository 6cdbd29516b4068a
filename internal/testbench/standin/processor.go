package standin

import (
	"container/heap"
	"math"

	"starlingwinch/internal/machine"
)

// Capacity is what a cache's processor can do.
type Capacity struct {
	Cores              float64
	Speed              float64 // of a core; 0 stands for 1
	ConcurrentRequests int     // requests in work at once
	Queue              int     // requests that may wait for a slot

	Thrash            float64 // share of capacity lost for each request a core held ...
	ThrashAt          float64 // ... beyond so many a core
	FullTableSlowdown float64 // share of capacity lost when the table of connections is full

	SlowStartMinCapacity float64 // of the capacity at a cold start, rising evenly ...
	SlowStartWindow      Time    // ... to the whole within this time

	OverloadMultiple float64 // sent more than this multiple of what it can do ...
	OverloadWindow   Time    // ... for this long, it falls over; 0 never
	MeanWork         Time    // where it is not 0, rules.AllowedWork of that is borne

	Congestion Congestion
}

// Congestion makes a cache that was crowded slow, long after the crowd has gone.
type Congestion struct {
	Threshold           float64 // more than Cores + At x the root of Cores held ...
	Window              Time    // ... in the mean of this time
	Slowdown            float64 // makes it so many times slower; 0 never
	RecoveryUtilization float64 // until its cores were busy under this share ...
	RecoveryWindow      Time    // ... for this long
	MaxDuration         Time    // or this time is up
}

// job is a piece of work. Its zero value, with work and done, is ready for use.
type job struct {
	work  float64 // µs on one core
	start func()  // it holds a slot: run, or leave it
	done  func()  // the work is done, the slot is free again

	state    jobState
	usesSlot bool
	finishAt float64 // attained service at which it is done
	sequence uint64
	index    int // in the heap
}

type jobState uint8

const (
	jobIdle jobState = iota
	jobQueued
	jobHoldingSlot // holds a slot, does no work
	jobRunning
)

// processor shares its cores evenly among the running jobs, each of which gets one core at the most.
// All running jobs go at one rate, so one count of attained service orders their ends.
type processor struct {
	m         machine.Machine
	capacity  *Capacity
	startedAt Time
	// slowStartWindow is 0 for a start that is warm.
	slowStartWindow Time

	jobs             jobHeap
	queue            []*job
	usedSlots        int // in use
	attained         float64
	advancedAt       Time
	currentRate      float64 // service of each job in each µs since last
	seq              uint64
	timer            machine.Timer
	slowFactor       float64 // how many times slower a fault makes it
	congestionFactor float64 // and a choke; 1 without
	halted           bool
	tableOccupancy   float64 // share of the connection table that is full
	dispatching      bool    // dispatch is under way
	congestion       *congestionMonitor
}

func newProcessor(m machine.Machine, o *Capacity, cold bool) *processor {
	p := &processor{m: m, capacity: o, startedAt: m.Now(), advancedAt: m.Now(), slowFactor: 1, congestionFactor: 1}
	if cold {
		p.slowStartWindow = o.SlowStartWindow
	}
	if o.Congestion.Slowdown > 1 {
		p.congestion = newCongestionMonitor(p)
	}
	return p
}

// capacityFraction is the share of its capacity that it has by now.
func (p *processor) capacityFraction() float64 {
	age := p.m.Now() - p.startedAt
	if age >= p.slowStartWindow {
		return 1
	}
	return p.capacity.SlowStartMinCapacity + (1-p.capacity.SlowStartMinCapacity)*float64(age)/float64(p.slowStartWindow)
}

// availableRate is the work it can do in each µs now, faults and crowds aside.
func (p *processor) availableRate() float64 {
	return p.capacity.Cores * p.speed() * p.capacityFraction()
}

func (p *processor) speed() float64 {
	if p.capacity.Speed > 0 {
		return p.capacity.Speed
	}
	return 1
}

// pending is the number of requests that run or wait.
func (p *processor) pending() int { return len(p.queue) + p.usedSlots }

func (p *processor) jobRate() float64 {
	if p.halted || len(p.jobs) == 0 {
		return 0
	}
	over := float64(p.pending())/p.capacity.Cores - p.capacity.ThrashAt
	share := p.capacity.Cores * p.capacityFraction() / float64(len(p.jobs))
	if over > 0 {
		share /= 1 + p.capacity.Thrash*over
	}
	share *= 1 - p.capacity.FullTableSlowdown*p.tableOccupancy
	return min(1, share) * p.speed() / (p.slowFactor * p.congestionFactor)
}

// change makes a change to what the rate depends on.
func (p *processor) change(f func()) {
	p.advance()
	f()
	p.scheduleTick()
}

// advance books the service since the last call. The rate was constant meanwhile, or nearly so.
func (p *processor) advance() {
	now := p.m.Now()
	p.attained += float64(now-p.advancedAt) * p.currentRate
	p.advancedAt = now
}

// slowStartStep is how long the rate is held constant while it rises.
const slowStartStep = 50 * Millisecond

// scheduleTick sets the timer to the next end, or to the next step of warmth.
func (p *processor) scheduleTick() {
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.currentRate = p.jobRate()
	if p.currentRate <= 0 {
		return
	}
	left := (p.jobs[0].finishAt - p.attained) / p.currentRate
	wait := Time(min(math.Ceil(max(left, 0)), float64(Second)*1e6))
	if p.capacityFraction() < 1 {
		wait = min(wait, slowStartStep)
	}
	p.timer = p.m.At(p.m.Now()+wait, p.tick)
}

// roundingTolerance is the service that may be missing at a job's end, for the rounding of many additions.
const roundingTolerance = 0.01

func (p *processor) tick() {
	p.timer = nil
	p.advance()
	for len(p.jobs) > 0 && p.jobs[0].finishAt <= p.attained+roundingTolerance && !p.halted {
		j := p.jobs[0]
		p.remove(j)
		j.done()
		p.advance() // done may have stopped the process or begun new work
	}
	p.dispatch()
	p.scheduleTick()
}

// enqueue takes a job into the queue, or reports that there is no room for it.
func (p *processor) enqueue(j *job) bool {
	if p.usedSlots >= p.capacity.ConcurrentRequests && len(p.queue) >= p.capacity.Queue && !p.halted {
		return false
	}
	j.state, j.usesSlot = jobQueued, true
	p.change(func() { p.queue = append(p.queue, j) })
	p.dispatch()
	return true
}

// enqueueFirst takes a job in again that was admitted before, ahead of those that wait.
func (p *processor) enqueueFirst(j *job) {
	j.state = jobQueued
	p.change(func() { p.queue = append([]*job{j}, p.queue...) })
	p.dispatch()
}

// runWithoutSlot runs a job that takes no slot.
func (p *processor) runWithoutSlot(j *job) { p.run(j) }

// run begins the work of a job that holds its slot, or needs none.
func (p *processor) run(j *job) {
	p.change(func() {
		p.seq++
		j.state, j.sequence, j.finishAt = jobRunning, p.seq, p.attained+j.work
		heap.Push(&p.jobs, j)
	})
}

// release takes a job out, whatever its state, and hands its slot on.
func (p *processor) release(j *job) {
	if j.state == jobIdle {
		return
	}
	p.change(func() { p.remove(j) })
	p.dispatch()
}

func (p *processor) remove(j *job) {
	switch j.state {
	case jobQueued:
		for i, q := range p.queue {
			if q == j {
				p.queue = append(p.queue[:i], p.queue[i+1:]...)
				break
			}
		}
	case jobRunning:
		heap.Remove(&p.jobs, j.index)
		fallthrough
	case jobHoldingSlot:
		// The danger: a job that was held when the process ended comes back to one that has no slots in use.
		if j.usesSlot && p.usedSlots > 0 {
			p.usedSlots--
		}
	}
	j.state = jobIdle
}

// dispatch gives free slots to those that wait.
func (p *processor) dispatch() {
	if p.dispatching {
		return
	}
	p.dispatching = true
	for p.usedSlots < p.capacity.ConcurrentRequests && len(p.queue) > 0 && !p.halted {
		j := p.queue[0]
		p.advance()
		p.queue = append(p.queue[:0], p.queue[1:]...)
		j.state = jobHoldingSlot
		p.usedSlots++
		p.scheduleTick()
		j.start()
	}
	p.dispatching = false
}

// setHalted stops all work, or lets it go on.
func (p *processor) setHalted(on bool) {
	p.change(func() { p.halted = on })
	p.dispatch()
}

// stop ends it for good.
func (p *processor) stop() {
	p.halted = true
	for _, j := range append(p.queue, p.jobs...) {
		j.state = jobIdle
	}
	p.jobs, p.queue, p.usedSlots = nil, nil, 0
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.congestion.stop()
}

// jobHeap orders running jobs by their ends, and those of one end by their beginnings.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, k int) bool {
	if h[i].finishAt != h[k].finishAt {
		return h[i].finishAt < h[k].finishAt
	}
	return h[i].sequence < h[k].sequence
}
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

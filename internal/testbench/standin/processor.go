package standin

import (
	"container/heap"
	"math"

	"starlingwinch/internal/machine"
)

// job is a piece of work for a processor. A job with work and done is ready for use.
type job struct {
	work  float64 // µs on one core
	start func()  // called when it gets a slot; it calls run, or release
	done  func()  // called when the work is done and the slot is free again

	state    jobState
	usesSlot bool    // it was enqueued for a slot
	finishAt float64 // attained service at which it is done
	sequence uint64  // order in which jobs began to run
	index    int     // in the heap
}

// jobState is where a job is in its life.
type jobState uint8

const (
	jobIdle        jobState = iota // not at the processor, or done
	jobQueued                      // waits for a slot
	jobHoldingSlot                 // occupies a slot without work, while it waits for a fetch
	jobRunning                     // works
)

// processor shares its cores evenly among the running jobs, each of which gets one core at the most.
// All running jobs go at one rate, so one count of attained service orders their ends.
type processor struct {
	machine         machine.Machine
	capacity        *Capacity
	startedAt       Time
	slowStartWindow Time // 0 for a warm start

	jobs             jobHeap            // that run
	queue            []*job             // that wait for a slot
	usedSlots        int                // slots in use
	attained         float64            // service that each running job has had since the start, in µs
	advancedAt       Time               // when attained was last brought up to date
	currentRate      float64            // service of each job in each µs since then
	sequence         uint64             // of the job that began last
	timer            machine.Timer      // of the next end of a job, or step of slow start
	slowFactor       float64            // how many times slower a fault makes it; 1 without
	congestionFactor float64            // how many times slower congestion makes it; 1 without
	halted           bool               // a fault has stopped all work
	tableOccupancy   float64            // fraction of the connection table that is full
	dispatching      bool               // dispatch is running, and is not entered again
	congestion       *congestionMonitor // nil where there is no congestion
}

// newProcessor returns the processor of a process that starts now.
func newProcessor(m machine.Machine, o *Capacity, cold bool) *processor {
	p := &processor{machine: m, capacity: o, startedAt: m.Now(), advancedAt: m.Now(), slowFactor: 1, congestionFactor: 1}
	if cold {
		p.slowStartWindow = o.SlowStartWindow
	}
	if o.Congestion.Slowdown > 1 {
		p.congestion = newCongestionMonitor(p)
	}
	return p
}

// capacityFraction returns the fraction of its capacity that it has reached in slow start.
func (p *processor) capacityFraction() float64 {
	age := p.machine.Now() - p.startedAt
	if age >= p.slowStartWindow {
		return 1
	}
	return p.capacity.SlowStartMinCapacity + (1-p.capacity.SlowStartMinCapacity)*float64(age)/float64(p.slowStartWindow)
}

// availableRate returns the work it can do in each µs now, without faults and congestion.
func (p *processor) availableRate() float64 {
	return p.capacity.Cores * p.speed() * p.capacityFraction()
}

// speed returns the speed of a core.
func (p *processor) speed() float64 {
	if p.capacity.Speed > 0 {
		return p.capacity.Speed
	}
	return 1
}

// pending returns the number of requests that run or wait.
func (p *processor) pending() int { return len(p.queue) + p.usedSlots }

// jobRate returns the service that each running job gets in each µs.
func (p *processor) jobRate() float64 {
	if p.halted || len(p.jobs) == 0 {
		return 0
	}
	excess := float64(p.pending())/p.capacity.Cores - p.capacity.ThrashAt
	coreFraction := p.capacity.Cores * p.capacityFraction() / float64(len(p.jobs))
	if excess > 0 {
		coreFraction /= 1 + p.capacity.Thrash*excess
	}
	coreFraction *= 1 - p.capacity.FullTableSlowdown*p.tableOccupancy
	return min(1, coreFraction) * p.speed() / (p.slowFactor * p.congestionFactor)
}

// change applies f, which changes what the rate depends on.
func (p *processor) change(f func()) {
	p.advance()
	f()
	p.scheduleTick()
}

// advance adds the service since the last call. The rate was constant meanwhile, or nearly so in slow start.
func (p *processor) advance() {
	now := p.machine.Now()
	p.attained += float64(now-p.advancedAt) * p.currentRate
	p.advancedAt = now
}

// slowStartStep is how long the rate is taken as constant during slow start.
const slowStartStep = 50 * Millisecond

// scheduleTick sets the timer to the next end of a job, or to the next step of slow start.
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
	p.timer = p.machine.At(p.machine.Now()+wait, p.tick)
}

// roundingTolerance is the service, in µs, that may be missing at a job's end after many rounded additions.
const roundingTolerance = 0.01

// tick ends the jobs that are done and starts the next ones.
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

// enqueue adds a job to the queue, and reports false where slots and queue are full.
func (p *processor) enqueue(j *job) bool {
	if p.usedSlots >= p.capacity.ConcurrentRequests && len(p.queue) >= p.capacity.Queue && !p.halted {
		return false
	}
	j.state, j.usesSlot = jobQueued, true
	p.change(func() { p.queue = append(p.queue, j) })
	p.dispatch()
	return true
}

// enqueueFirst returns a job that had given up its slot to the front of the queue.
func (p *processor) enqueueFirst(j *job) {
	j.state = jobQueued
	p.change(func() { p.queue = append([]*job{j}, p.queue...) })
	p.dispatch()
}

// runWithoutSlot runs a job that takes no slot, such as a handshake.
func (p *processor) runWithoutSlot(j *job) { p.run(j) }

// run starts the work of a job that holds its slot or needs none.
func (p *processor) run(j *job) {
	p.change(func() {
		p.sequence++
		j.state, j.sequence, j.finishAt = jobRunning, p.sequence, p.attained+j.work
		heap.Push(&p.jobs, j)
	})
}

// release takes a job out, whatever its state, and passes its slot on.
func (p *processor) release(j *job) {
	if j.state == jobIdle {
		return
	}
	p.change(func() { p.remove(j) })
	p.dispatch()
}

// remove takes a job out and frees its slot.
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
		// After stop no slot is in use, but a job of before may still be removed.
		if j.usesSlot && p.usedSlots > 0 {
			p.usedSlots--
		}
	}
	j.state = jobIdle
}

// dispatch gives free slots to queued jobs.
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

// setHalted stops all work, or resumes it.
func (p *processor) setHalted(on bool) {
	p.change(func() { p.halted = on })
	p.dispatch()
}

// stop ends the processor with its process.
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

// jobHeap is a heap.Interface that orders running jobs by their ends, and equal ends by the order of their starts.
type jobHeap []*job

// Len returns the number of running jobs.
func (h jobHeap) Len() int { return len(h) }

// Less reports whether job i ends before job k.
func (h jobHeap) Less(i, k int) bool {
	if h[i].finishAt != h[k].finishAt {
		return h[i].finishAt < h[k].finishAt
	}
	return h[i].sequence < h[k].sequence
}

// Swap swaps two jobs.
func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

// Push adds a job; container/heap calls it.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job; container/heap calls it.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

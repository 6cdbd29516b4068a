package standin

import (
	"container/heap"
	"math"

	"starlingwinch/internal/machine"
)

// job is a piece of work for a processor. A job needs at least work and done.
type job struct {
	work  float64 // µs on one core
	start func()  // called when the job gets a slot; it calls run or release
	done  func()  // called when the work is done and the slot is free

	state    jobState
	usesSlot bool    // the job was enqueued for a slot
	finishAt float64 // attained service at which the job is done
	sequence uint64  // order in which jobs began to run
	index    int     // index in the heap
}

// jobState is the state of a job.
type jobState uint8

const (
	jobIdle        jobState = iota // not at the processor, or done
	jobQueued                      // queued for a slot
	jobHoldingSlot                 // occupies a slot without work, while it waits for a fetch
	jobRunning                     // running on the cores
)

// processor shares its cores evenly among the running jobs, each of which gets at most one core.
// All running jobs have the same rate, so one count of attained service determines the order in which they end.
type processor struct {
	machine         machine.Machine
	capacity        *Capacity
	startedAt       Time
	slowStartWindow Time // 0 for a warm start

	jobs             jobHeap            // running jobs
	queue            []*job             // jobs that wait for a slot
	usedSlots        int                // slots in use
	attained         float64            // service per running job since the start of the processor, in µs
	advancedAt       Time               // when attained was last updated
	currentRate      float64            // service per job and µs since advancedAt
	sequence         uint64             // sequence of the job that began last
	timer            machine.Timer      // next end of a job, or next step of slow start
	slowFactor       float64            // slowdown by a fault; 1 for none
	congestionFactor float64            // slowdown by congestion; 1 for none
	halted           bool               // a fault has stopped all work
	tableOccupancy   float64            // fraction of the connection table that is full
	dispatching      bool               // dispatch is running; guards against reentry
	congestion       *congestionMonitor // nil without congestion
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

// capacityFraction returns the fraction of capacity that slow start has reached.
func (p *processor) capacityFraction() float64 {
	age := p.machine.Now() - p.startedAt
	if age >= p.slowStartWindow {
		return 1
	}
	return p.capacity.SlowStartMinCapacity + (1-p.capacity.SlowStartMinCapacity)*float64(age)/float64(p.slowStartWindow)
}

// availableRate returns the work per µs that the processor can do at present, without faults and congestion.
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

// pending returns the number of running and queued requests.
func (p *processor) pending() int { return len(p.queue) + p.usedSlots }

// jobRate returns the service per µs of each running job.
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

// change applies f, which changes an input of the rate, and recomputes the rate.
func (p *processor) change(f func()) {
	p.advance()
	f()
	p.scheduleTick()
}

// advance adds the service since the last call. The rate is constant between calls, or nearly constant during slow start.
func (p *processor) advance() {
	now := p.machine.Now()
	p.attained += float64(now-p.advancedAt) * p.currentRate
	p.advancedAt = now
}

// slowStartStep is the time for which the rate is treated as constant during slow start.
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

// roundingTolerance is the service, in µs, that may be missing at a job's end because of rounding in many additions.
const roundingTolerance = 0.01

// tick ends the jobs that are done and dispatches queued jobs.
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

// enqueue adds a job to the queue. It returns false if slots and queue are full.
func (p *processor) enqueue(j *job) bool {
	if p.usedSlots >= p.capacity.ConcurrentRequests && len(p.queue) >= p.capacity.Queue && !p.halted {
		return false
	}
	j.state, j.usesSlot = jobQueued, true
	p.change(func() { p.queue = append(p.queue, j) })
	p.dispatch()
	return true
}

// enqueueFirst puts a job that released its slot back at the front of the queue.
func (p *processor) enqueueFirst(j *job) {
	j.state = jobQueued
	p.change(func() { p.queue = append([]*job{j}, p.queue...) })
	p.dispatch()
}

// runWithoutSlot runs a job that needs no slot, such as a handshake.
func (p *processor) runWithoutSlot(j *job) { p.run(j) }

// run starts the work of a job that holds its slot or needs none.
func (p *processor) run(j *job) {
	p.change(func() {
		p.sequence++
		j.state, j.sequence, j.finishAt = jobRunning, p.sequence, p.attained+j.work
		heap.Push(&p.jobs, j)
	})
}

// release removes a job in any state and dispatches its slot.
func (p *processor) release(j *job) {
	if j.state == jobIdle {
		return
	}
	p.change(func() { p.remove(j) })
	p.dispatch()
}

// remove removes a job and frees its slot.
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
		// After stop no slot is in use, but a job from before the stop may still be removed.
		if j.usesSlot && p.usedSlots > 0 {
			p.usedSlots--
		}
	}
	j.state = jobIdle
}

// dispatch assigns free slots to queued jobs.
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

// stop stops the processor when its process ends.
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

package sim

import "net/netip"

// Kind tells what an event is.
type Kind uint8

const (
	Script          Kind = iota // a script's turn (World.At)
	TimerFired                  // a timer of a process
	Posted                      // a Post of a process
	WorkDone                    // the end of a Work
	Signalled                   // a signal
	SynArrived                  // a dial reaches the other host
	SynAckArrived               // its acceptance is back
	RefusalArrived              // its refusal is back
	DialEnded                   // a dial has its result: up, timed out or out of descriptors
	OpenArrived                 // a connection reaches its listener
	BytesArrived                // bytes reach the other side
	EndArrived                  // the end of one side's sending does
	ResetArrived                // a reset does
	CreditArrived               // room in the other side's window does
	AcceptQueued                // a listener takes connections from its queue
	ReadableQueued              // a handler is told of what has come before
	WritableQueued              // a handler is told that it can write on
	DatagramArrived             // a datagram reaches the other host
	DatagramQueued              // a process takes in one that has waited
	HostResumed                 // a stalled host goes on
)

var kindNames = [...]string{
	"script", "timer", "post", "work done", "signal", "syn", "syn-ack", "refusal", "dial ends", "open", "bytes",
	"end", "reset", "credit", "accepting", "notice", "room", "datagram", "datagram read", "resumes",
}

func (k Kind) String() string { return kindNames[k] }

// event is something that happens at an instant. Which fields are used depends on the kind.
type event struct {
	at       Time
	id       uint64 // new with each use of the struct
	lane     uint64 // events of one lane keep their order
	kind     Kind
	stopped  bool // taken back
	heldBack bool // was held by a cut
	forced   bool // ResetArrived: also where the connection is forgotten

	target   *Process // the process that it is for; nil where the kernel or a script handles it
	host     *Host
	conn     *Conn // the end that it reaches
	dial     *dial
	listener *listener
	packets  *packetConn
	fn       func()
	err      error
	n        int
	sentAt   Time // BytesArrived: when its first byte was written
	heldAt   Time
	link     *Link
	to       netip.AddrPort
	from     string
	data     []byte
}

// crossesLink reports whether the event is a part of a connection that travels over a link.
func (ev *event) crossesLink() bool { return ev.kind >= OpenArrived && ev.kind <= CreditArrived }

// event takes one from the pool.
func (w *World) event(k Kind) *event {
	w.lastID++
	if n := len(w.free); n > 0 {
		ev := w.free[n-1]
		w.free = w.free[:n-1]
		ev.id, ev.kind = w.lastID, k
		return ev
	}
	return &event{id: w.lastID, kind: k}
}

// release gives an event back to the pool; it holds nothing from then on.
func (w *World) release(ev *event) {
	data := ev.data
	if cap(data) > 4096 || cap(data) > 0 && len(w.free) > 4096 {
		data = nil // The danger: a pool that keeps the largest of everything that ever was.
	}
	*ev = event{data: data[:0]}
	w.free = append(w.free, ev)
}

// orderBits of an order number are the event's place among all; those above are drawn where ties are shuffled.
const orderBits = 40

// schedule has the event carried out at t, or in a later turn of this instant where t has passed.
func (w *World) schedule(ev *event, t Time, lane uint64) {
	ev.at = max(t, w.now)
	ev.lane = lane
	w.lastOrder++
	ord := w.lastOrder
	if w.ShuffleTies {
		draw := mix(mix(w.seed, uint64(ev.at)), lane)
		ord = draw<<orderBits | ord&(1<<orderBits-1)
	}
	w.queue.push(queueEntry{ev.at, ord, ev})
}

// timer takes an event back.
type timer struct {
	world *World
	event *event
	id    uint64 // The danger: the event may have been carried out and serve another purpose by now.
}

// Stop is for the timers of processes and scripts.
func (t *timer) Stop() {
	if p := t.cancel(); p != nil && !p.dead {
		p.timers--
	}
}

// cancel takes the event back and tells whose it was.
func (t *timer) cancel() *Process {
	ev := t.event
	t.event = nil
	if ev == nil || ev.id != t.id {
		return nil
	}
	p := ev.target
	t.world.stop(ev)
	return p
}

// stop takes an event in the heap back. It is dropped there in its time, or when many are.
func (w *World) stop(ev *event) {
	ev.stopped = true
	ev.id = 0
	ev.fn, ev.target, ev.dial, ev.conn = nil, nil, nil, nil
	w.stoppedEvents++
	if w.stoppedEvents > 1024 && w.stoppedEvents > len(w.queue)/2 {
		w.sweep()
	}
}

// drop is for an event that was taken back and has come up.
func (w *World) drop(ev *event) {
	w.stoppedEvents = max(0, w.stoppedEvents-1)
	w.release(ev)
}

// sweep clears the heap of events that were taken back. The danger: deadlines far off, each
// taken back soon, would fill the heap.
func (w *World) sweep() {
	kept := w.queue[:0]
	for _, e := range w.queue {
		if e.event.stopped {
			w.release(e.event)
		} else {
			kept = append(kept, e)
		}
	}
	clear(w.queue[len(kept):])
	w.queue = kept
	for i := len(kept)/4 + 1; i >= 0; i-- {
		w.queue.down(i)
	}
	w.stoppedEvents = 0
}

// queueEntry is an event's place in the heap, beside it for speed.
type queueEntry struct {
	at    Time
	order uint64
	event *event
}

func (e *queueEntry) before(f *queueEntry) bool {
	return e.at < f.at || e.at == f.at && e.order < f.order
}

// eventQueue is a heap in which each entry has four children.
type eventQueue []queueEntry

func (h *eventQueue) push(e queueEntry) {
	s := append(*h, e)
	*h = s
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&s[up]) {
			break
		}
		s[i] = s[up]
		i = up
	}
	s[i] = e
}

func (h *eventQueue) pop() {
	s := *h
	n := len(s) - 1
	s[0] = s[n]
	s[n] = queueEntry{}
	*h = s[:n]
	h.down(0)
}

func (h *eventQueue) down(i int) {
	s := *h
	n := len(s)
	if i >= n {
		return
	}
	e := s[i]
	for {
		first := 4*i + 1
		if first >= n {
			break
		}
		least := first
		for c := first + 1; c < min(first+4, n); c++ {
			if s[c].before(&s[least]) {
				least = c
			}
		}
		if !s[least].before(&e) {
			break
		}
		s[i] = s[least]
		i = least
	}
	s[i] = e
}

// process is the one that the event reaches; nil for one of a script or a host.
func (ev *event) process() *Process {
	switch {
	case ev.target != nil:
		return ev.target
	case ev.conn != nil:
		return ev.conn.process
	case ev.dial != nil:
		return ev.dial.process
	case ev.listener != nil:
		return ev.listener.process
	case ev.packets != nil:
		return ev.packets.process
	}
	return nil
}

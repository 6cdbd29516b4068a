package sim

import "net/netip"

// Kind says what an event is.
type Kind uint8

// Kinds of events.
const (
	Script          Kind = iota // a function of World.At
	TimerFired                  // a timer of a process
	Posted                      // a Post of a process
	WorkDone                    // the end of a Work
	Signalled                   // a signal
	SynArrived                  // a dial reaches the other host
	SynAckArrived               // its acceptance is back
	RefusalArrived              // its refusal is back
	DialEnded                   // a dial has its result
	OpenArrived                 // a connection reaches its listener
	BytesArrived                // bytes reach the other side
	EndArrived                  // the end of one side's sending reaches the other side
	ResetArrived                // a reset reaches the other side
	CreditArrived               // space in the window of the other side is reported to the writer
	AcceptQueued                // a listener accepts from its queue
	ReadableQueued              // a handler is called for what has arrived before
	WritableQueued              // a handler is called because it can write again
	DatagramArrived             // a datagram reaches the other host
	DatagramQueued              // a process receives one that was queued
	HostResumed                 // a stalled host runs again
)

var kindNames = [...]string{
	"script", "timer", "post", "work done", "signal", "syn", "syn-ack", "refusal", "dial ends", "open", "bytes",
	"end", "reset", "credit", "accepting", "notice", "room", "datagram", "datagram read", "resumes",
}

// String returns the kind in the words of a timeline.
func (k Kind) String() string { return kindNames[k] }

// event is something that happens at an instant. Which fields are used depends on the kind.
type event struct {
	at       Time
	id       uint64 // new with each use of the struct
	lane     uint64 // events of one lane keep their order
	kind     Kind
	stopped  bool // it must not happen
	heldBack bool // a cut has held it back
	forced   bool // ResetArrived: also on a forgotten connection

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

// event takes an event from the pool.
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

// release returns an event to the pool; it refers to nothing from then on.
func (w *World) release(ev *event) {
	data := ev.data
	if cap(data) > 4096 || cap(data) > 0 && len(w.free) > 4096 {
		data = nil // the pool must not retain the largest buffers of the whole run
	}
	*ev = event{data: data[:0]}
	w.free = append(w.free, ev)
}

// orderBits of an order number are the event's number; the bits above are drawn where ties are shuffled.
const orderBits = 40

// schedule has the event happen at t, or in a later turn of this instant where t has passed.
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

// timer can stop a scheduled event.
type timer struct {
	world *World
	event *event
	id    uint64 // of the event when it was scheduled: by now the struct may be in use for another one
}

// Stop implements machine.Timer.
func (t *timer) Stop() {
	if p := t.cancel(); p != nil && !p.dead {
		p.timers--
	}
}

// cancel stops the event and returns the process that it was for, nil for none.
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

// stop cancels a queued event. It is dropped when it is due, or by sweep when there are many.
func (w *World) stop(ev *event) {
	ev.stopped = true
	ev.id = 0
	ev.fn, ev.target, ev.dial, ev.conn = nil, nil, nil, nil
	w.stoppedEvents++
	if w.stoppedEvents > 1024 && w.stoppedEvents > len(w.queue)/2 {
		w.sweep()
	}
}

// drop releases a stopped event that was due.
func (w *World) drop(ev *event) {
	w.stoppedEvents = max(0, w.stoppedEvents-1)
	w.release(ev)
}

// sweep removes stopped events from the queue, which far deadlines that are stopped soon would fill otherwise.
func (w *World) sweep() {
	remaining := w.queue[:0]
	for _, e := range w.queue {
		if e.event.stopped {
			w.release(e.event)
		} else {
			remaining = append(remaining, e)
		}
	}
	clear(w.queue[len(remaining):])
	w.queue = remaining
	for i := len(remaining)/4 + 1; i >= 0; i-- {
		w.queue.down(i)
	}
	w.stoppedEvents = 0
}

// queueEntry is an event's place in the queue; time and order stand beside the event for speed.
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
		smallest := first
		for c := first + 1; c < min(first+4, n); c++ {
			if s[c].before(&s[smallest]) {
				smallest = c
			}
		}
		if !s[smallest].before(&e) {
			break
		}
		s[i] = s[smallest]
		i = smallest
	}
	s[i] = e
}

// process is the process that the event reaches, nil for an event of a script or a host.
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

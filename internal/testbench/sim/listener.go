package sim

import (
	"net/netip"

	"starlingwinch/internal/machine"
)

// listener takes connections from its queue, which the kernel fills.
type listener struct {
	p      *Process
	addr   netip.AddrPort
	accept func(machine.Conn) machine.Handler
	queue  []*Conn // up, and not taken in; handshakes under way may carry it past the backlog
	lane   uint64
	queued bool // an Accepting is on its way
	paused bool
	closed bool
	done   func() // to be called once the queue is empty; nil where it is not to end
}

func (p *Process) Listen(addr string, accept func(machine.Conn) machine.Handler) (machine.Listener, error) {
	p.enter()
	if p.full() {
		return nil, machine.ErrDescriptors
	}
	h := p.host
	at, err := h.bind(addr, func(a netip.AddrPort) bool { return h.listeners[a] != nil })
	if err != nil {
		return nil, err
	}
	l := &listener{p: p, addr: at, accept: accept, lane: p.w.lane()}
	p.descriptors++
	p.listeners = append(p.listeners, l)
	h.listeners[at] = l
	return l, nil
}

func (h *Host) listenerAt(at netip.AddrPort) *listener {
	if l := h.listeners[at]; l != nil {
		return l
	}
	return h.listeners[netip.AddrPortFrom(anyAddr(at.Addr()), at.Port())]
}

func (l *listener) Addr() string { return l.addr.String() }

func (l *listener) Pause() {
	l.p.enter()
	l.paused = true
}

func (l *listener) Resume() {
	l.p.enter()
	l.paused = false
	l.takeLater()
}

func (l *listener) Finish(done func()) {
	l.p.enter()
	if l.closed || l.done != nil {
		return
	}
	l.done = done
	l.p.Post(l.finish)
}

// finish takes in what waits, and ends it once nothing does.
func (l *listener) finish() {
	if l.closed || l.done == nil {
		return
	}
	if l.take(); len(l.queue) == 0 {
		done := l.done
		l.Close()
		done()
	}
}

func (l *listener) Close() {
	if l.closed {
		return
	}
	p := l.p
	p.enter()
	l.shut()
	p.listeners = remove(p.listeners, l)
	p.giveBack()
}

// shut closes it and resets the connections that wait.
func (l *listener) shut() {
	l.closed = true
	delete(l.p.host.listeners, l.addr)
	for _, c := range l.queue {
		c.abandon()
	}
	l.queue = nil
}

// takeLater has connections taken in by a later turn.
func (l *listener) takeLater() {
	if l.queued || l.closed || len(l.queue) == 0 {
		return
	}
	l.queued = true
	ev := l.p.w.event(Accepting)
	ev.proc, ev.listener = l.p, l
	l.p.w.schedule(ev, l.p.w.now, l.lane)
}

// take takes connections in, as far as there are descriptors.
func (l *listener) take() {
	p := l.p
	for len(l.queue) > 0 && !l.paused && !p.full() {
		c := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		p.descriptors++
		c.belong(p)
		c.start(l.accept(c))
	}
	if len(l.queue) == 0 && l.done != nil {
		l.p.Post(l.finish)
	}
}

// openCame has a connection come up on the listener's side.
func (c *Conn) openCame() {
	if c.host.gone && c.host != c.peer.host {
		return
	}
	l := c.host.listenerAt(c.at)
	if l == nil || c.host.resetNew {
		c.abandon()
		return
	}
	c.opened = true
	l.queue = append(l.queue, c)
	if c.host.stalled() || l.queued {
		l.takeLater()
		return
	}
	l.take()
}

package sim

import (
	"net/netip"

	"starlingwinch/internal/machine"
)

// listener is a machine.Listener. The kernel fills its queue.
type listener struct {
	process      *Process
	addr         netip.AddrPort
	accept       func(machine.Conn) machine.Handler
	queue        []*Conn // established and not accepted; handshakes under way may carry it past the backlog
	lane         uint64
	acceptQueued bool // an AcceptQueued event is scheduled
	paused       bool
	closed       bool
	done         func() // called once the queue is empty; nil before Finish
}

// Listen implements machine.Machine.
func (p *Process) Listen(addr string, accept func(machine.Conn) machine.Handler) (machine.Listener, error) {
	p.enter()
	if p.outOfDescriptors() {
		return nil, machine.ErrDescriptors
	}
	h := p.host
	at, err := h.bind(addr, func(a netip.AddrPort) bool { return h.listeners[a] != nil })
	if err != nil {
		return nil, err
	}
	l := &listener{process: p, addr: at, accept: accept, lane: p.world.lane()}
	p.descriptors++
	p.listeners = append(p.listeners, l)
	h.listeners[at] = l
	return l, nil
}

// listenerAt is the listener of an address, or that of all addresses with its port; nil for none.
func (h *Host) listenerAt(at netip.AddrPort) *listener {
	if l := h.listeners[at]; l != nil {
		return l
	}
	return h.listeners[netip.AddrPortFrom(anyAddr(at.Addr()), at.Port())]
}

// Addr implements machine.Listener.
func (l *listener) Addr() string { return l.addr.String() }

// Pause implements machine.Listener.
func (l *listener) Pause() {
	l.process.enter()
	l.paused = true
}

// Resume implements machine.Listener.
func (l *listener) Resume() {
	l.process.enter()
	l.paused = false
	l.queueAccept()
}

// Finish implements machine.Listener.
func (l *listener) Finish(done func()) {
	l.process.enter()
	if l.closed || l.done != nil {
		return
	}
	l.done = done
	l.process.Post(l.finish)
}

// finish accepts the queued connections, and closes the listener once there are none.
func (l *listener) finish() {
	if l.closed || l.done == nil {
		return
	}
	if l.acceptAll(); len(l.queue) == 0 {
		done := l.done
		l.Close()
		done()
	}
}

// Close implements machine.Listener.
func (l *listener) Close() {
	if l.closed {
		return
	}
	p := l.process
	p.enter()
	l.discard()
	p.listeners = remove(p.listeners, l)
	p.releaseDescriptor()
}

// discard closes the listener and resets the queued connections.
func (l *listener) discard() {
	l.closed = true
	delete(l.process.host.listeners, l.addr)
	for _, c := range l.queue {
		c.abandon()
	}
	l.queue = nil
}

// queueAccept has connections accepted in a later turn.
func (l *listener) queueAccept() {
	if l.acceptQueued || l.closed || len(l.queue) == 0 {
		return
	}
	l.acceptQueued = true
	ev := l.process.world.event(AcceptQueued)
	ev.target, ev.listener = l.process, l
	l.process.world.schedule(ev, l.process.world.now, l.lane)
}

// acceptAll accepts queued connections, as far as there are descriptors.
func (l *listener) acceptAll() {
	p := l.process
	for len(l.queue) > 0 && !l.paused && !p.outOfDescriptors() {
		c := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		p.descriptors++
		c.attach(p)
		c.start(l.accept(c))
	}
	if len(l.queue) == 0 && l.done != nil {
		l.process.Post(l.finish)
	}
}

// openArrived establishes a connection on the listener's side.
func (c *Conn) openArrived() {
	if c.host.vanished && c.host != c.peer.host {
		return
	}
	l := c.host.listenerAt(c.listenAddr)
	if l == nil || c.host.resetsAccepted {
		c.abandon()
		return
	}
	c.opened = true
	l.queue = append(l.queue, c)
	if c.host.stalled() || l.acceptQueued {
		l.queueAccept()
		return
	}
	l.acceptAll()
}

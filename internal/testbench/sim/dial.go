package sim

import (
	"fmt"
	"net/netip"

	"starlingwinch/internal/machine"
)

// dial is a connection that is being established. A lost handshake is tried again after 1, 3, 7 seconds and so on (RFC 6298),
// as long as the timeout allows.
type dial struct {
	process       *Process
	conn          *Conn // this end; nil where the address is bad
	done          func(machine.Conn, error) machine.Handler
	hasDescriptor bool // the process holds a descriptor for it
	finished      bool
	established   bool // the kernel has the connection; the process may not know yet
	blocked       bool // it waits for a resource of this host
	startedAt     Time
	deadline      Time
	retries       int
	timeout       timer
}

// Dial implements machine.Machine.
func (p *Process) Dial(addr string, timeout Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	p.enter()
	d := &dial{process: p, done: done, startedAt: p.world.now, deadline: p.world.now + timeout}
	p.dials = append(p.dials, d)
	if p.outOfDescriptors() {
		d.completeAt(machine.ErrDescriptors, p.world.now)
		return d
	}
	p.descriptors++
	d.hasDescriptor = true
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		d.completeAt(fmt.Errorf("sim: dial %q: %w", addr, err), p.world.now)
		return d
	}
	here := p.host
	port, _ := here.freePort(func(uint16) bool { return true })
	ip := here.ip
	if at.Addr().IsLoopback() {
		ip = at.Addr()
	}
	there := here.hostAt(at.Addr())
	d.conn = p.world.connect(here, there, netip.AddrPortFrom(ip, port), at)
	d.completeAt(machine.ErrTimeout, d.deadline)
	d.begin()
	return d
}

// begin sends the first part of the handshake, now or once the host has the resources for it.
func (d *dial) begin() {
	w := d.process.world
	if d.blocked = d.process.host.drawShortage(); d.blocked {
		d.timeout.event.err = machine.ErrShortage
		d.process.At(w.now+shortageRetryDelay, func() {
			if !d.finished {
				d.begin()
			}
		})
		return
	}
	d.timeout.event.err = machine.ErrTimeout
	if d.conn.peer.host != nil {
		d.sendSyn(w.now)
	}
}

// Blocked implements machine.Dialing.
func (d *dial) Blocked() bool { return d.blocked && !d.finished }

// Cancel implements machine.Dialing.
func (d *dial) Cancel() {
	if d.finished {
		return
	}
	d.process.enter()
	d.finish()
	if d.established {
		d.conn.abandon()
	}
	if d.hasDescriptor {
		d.process.releaseDescriptor()
	}
}

// finish ends the dial; no result follows.
func (d *dial) finish() {
	d.finished = true
	d.timeout.cancel()
	d.process.dials = remove(d.process.dials, d)
}

// completeAt schedules the result for an instant, in a later turn.
func (d *dial) completeAt(err error, at Time) {
	w := d.process.world
	ev := w.event(DialEnded)
	ev.target, ev.dial, ev.err = d.process, d, err
	w.schedule(ev, at, d.lane())
	d.timeout = timer{world: w, event: ev, id: ev.id}
}

// lane is that of the connection, or of the process where the address was bad.
func (d *dial) lane() uint64 {
	if d.conn == nil {
		return d.process.postLane
	}
	return d.conn.lane
}

// send has a part of the handshake arrive.
func (d *dial) send(k Kind, at Time) {
	ev := d.process.world.event(k)
	ev.dial = d
	d.process.world.schedule(ev, at, d.conn.lane)
}

// sendSyn sends the first part of a handshake at t.
func (d *dial) sendSyn(t Time) { d.send(SynArrived, t+d.conn.link.delay()) }

// retryHandshake sends the first part again after a handshake was lost, unless the timeout comes first.
func (d *dial) retryHandshake() {
	d.retries++
	wait := Second<<min(d.retries, 7) - Second
	t := max(d.startedAt+wait, d.process.world.now)
	if t < d.deadline {
		d.sendSyn(t)
	}
}

// synArrived handles the first part of the handshake on the other host.
func (d *dial) synArrived() {
	if d.finished || d.established {
		return
	}
	c, there := d.conn, d.conn.peer.host
	if c.host.unreachable(there) || c.link.cut || there.dropsDials {
		d.retryHandshake()
		return
	}
	l := there.listenerAt(c.listenAddr)
	switch {
	case l == nil || there.refusesDials:
		d.answer(RefusalArrived)
	case len(l.queue) < there.options.Backlog:
		d.answer(SynAckArrived)
	case there.options.RefuseFull:
		d.answer(RefusalArrived)
	default:
		d.retryHandshake()
	}
}

// answer sends the other host's answer back.
func (d *dial) answer(k Kind) { d.send(k, d.process.world.now+d.conn.peer.link.delay()) }

// answerArrived reports whether an answer got through and is still wanted.
func (d *dial) answerArrived() bool {
	if d.finished || d.established {
		return false
	}
	back := d.conn.peer
	if back.host.unreachable(d.conn.host) || back.link.cut {
		d.retryHandshake()
		return false
	}
	return true
}

// synAckArrived opens this end.
func (d *dial) synAckArrived() {
	if !d.answerArrived() {
		return
	}
	d.established = true
	d.conn.opened = true
	d.conn.send(OpenArrived)
	d.completeNow(nil)
}

// refusalArrived ends the dial with machine.ErrRefused.
func (d *dial) refusalArrived() {
	if d.answerArrived() {
		d.completeNow(machine.ErrRefused)
	}
}

// completeNow reports the result now, or once the process runs.
func (d *dial) completeNow(err error) {
	d.timeout.cancel()
	if d.process.host.stalled() {
		d.completeAt(err, d.process.world.now)
		return
	}
	d.complete(err)
}

// complete reports the result to the process.
func (d *dial) complete(err error) {
	if d.finished {
		return
	}
	d.finish()
	if err != nil {
		if d.hasDescriptor {
			d.process.releaseDescriptor()
		}
		d.done(nil, err)
		return
	}
	d.conn.attach(d.process)
	d.conn.start(d.done(d.conn, nil))
}

// hostOf is the host on which a part of the handshake happens.
func (d *dial) hostOf(k Kind) *Host {
	if k == SynArrived {
		return d.conn.peer.host
	}
	return d.process.host
}

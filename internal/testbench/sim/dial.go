package sim

import (
	"fmt"
	"net/netip"

	"starlingwinch/internal/machine"
)

// dialing is a connection that is coming up. A handshake that gets lost is tried again after 1, 3, 7 ... seconds
// (RFC 6298), as long as the timeout allows.
type dialing struct {
	p        *Process
	conn     *Conn // this end; nil where the address is bad
	done     func(machine.Conn, error) machine.Handler
	counted  bool // holds a descriptor
	over     bool
	up       bool // the kernel has it; the process may not know yet
	blocked  bool // it has not begun, for a lack on this host
	begun    Time
	deadline Time
	tries    int
	timeout  timer
}

func (p *Process) Dial(addr string, timeout Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	p.enter()
	d := &dialing{p: p, done: done, begun: p.w.now, deadline: p.w.now + timeout}
	p.dials = append(p.dials, d)
	if p.full() {
		d.endLater(machine.ErrDescriptors, p.w.now)
		return d
	}
	p.descriptors++
	d.counted = true
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		d.endLater(fmt.Errorf("sim: dial %q: %w", addr, err), p.w.now)
		return d
	}
	here := p.host
	port, _ := here.freePort(func(uint16) bool { return true })
	ip := here.ip
	if at.Addr().IsLoopback() {
		ip = at.Addr()
	}
	there := here.reach(at.Addr())
	d.conn = p.w.connect(here, there, netip.AddrPortFrom(ip, port), at)
	d.endLater(machine.ErrTimeout, d.deadline)
	d.begin()
	return d
}

// begin sends the first part of the handshake, now or once the host lacks nothing for it.
func (d *dialing) begin() {
	w := d.p.w
	if d.blocked = d.p.host.lacks(); d.blocked {
		d.timeout.ev.err = machine.ErrShortage
		d.p.At(w.now+lackPause, func() {
			if !d.over {
				d.begin()
			}
		})
		return
	}
	d.timeout.ev.err = machine.ErrTimeout
	if d.conn.peer.host != nil {
		d.knock(w.now)
	}
}

// Blocked implements machine.Dialing.
func (d *dialing) Blocked() bool { return d.blocked && !d.over }

// Cancel gives it up.
func (d *dialing) Cancel() {
	if d.over {
		return
	}
	d.p.enter()
	d.finish()
	if d.up {
		d.conn.abandon()
	}
	if d.counted {
		d.p.giveBack()
	}
}

// finish has nothing more come of it.
func (d *dialing) finish() {
	d.over = true
	d.timeout.take()
	d.p.dials = remove(d.p.dials, d)
}

// endLater has it end at an instant, in a later turn.
func (d *dialing) endLater(err error, at Time) {
	w := d.p.w
	ev := w.event(DialEnds)
	ev.proc, ev.dial, ev.err = d.p, d, err
	w.schedule(ev, at, d.lane())
	d.timeout = timer{w: w, ev: ev, id: ev.id}
}

func (d *dialing) lane() uint64 {
	if d.conn == nil {
		return d.p.postLane
	}
	return d.conn.lane
}

// send has a part of the handshake arrive.
func (d *dialing) send(k Kind, at Time) {
	ev := d.p.w.event(k)
	ev.dial = d
	d.p.w.schedule(ev, at, d.conn.lane)
}

// knock sends the first part of a handshake at t.
func (d *dialing) knock(t Time) { d.send(SynCame, t+d.conn.link.delay()) }

// again is for a handshake that got lost.
func (d *dialing) again() {
	d.tries++
	wait := Second<<min(d.tries, 7) - Second
	t := max(d.begun+wait, d.p.w.now)
	if t < d.deadline {
		d.knock(t)
	}
}

// synCame is on the other host.
func (d *dialing) synCame() {
	if d.over || d.up {
		return
	}
	c, there := d.conn, d.conn.peer.host
	if c.host.apart(there) || c.link.cut || there.swallow {
		d.again()
		return
	}
	l := there.listenerAt(c.at)
	switch {
	case l == nil || there.refuse:
		d.answer(RefusalCame)
	case len(l.queue) < there.opts.Backlog:
		d.answer(SynAckCame)
	case there.opts.RefuseFull:
		d.answer(RefusalCame)
	default:
		d.again()
	}
}

func (d *dialing) answer(k Kind) { d.send(k, d.p.w.now+d.conn.peer.link.delay()) }

// answered reports whether an answer got through and is still wanted.
func (d *dialing) answered() bool {
	if d.over || d.up {
		return false
	}
	back := d.conn.peer
	if back.host.apart(d.conn.host) || back.link.cut {
		d.again()
		return false
	}
	return true
}

func (d *dialing) synAckCame() {
	if !d.answered() {
		return
	}
	d.up = true
	d.conn.opened = true
	d.conn.send(OpenCame)
	d.result(nil)
}

func (d *dialing) refusalCame() {
	if d.answered() {
		d.result(machine.ErrRefused)
	}
}

// result ends it now, or once the process runs.
func (d *dialing) result(err error) {
	d.timeout.take()
	if d.p.host.stalled() {
		d.endLater(err, d.p.w.now)
		return
	}
	d.ends(err)
}

// ends tells the process how it ended.
func (d *dialing) ends(err error) {
	if d.over {
		return
	}
	d.finish()
	if err != nil {
		if d.counted {
			d.p.giveBack()
		}
		d.done(nil, err)
		return
	}
	d.conn.belong(d.p)
	d.conn.start(d.done(d.conn, nil))
}

// at is the host on which a part of the handshake happens.
func (d *dialing) at(k Kind) *Host {
	if k == SynCame {
		return d.conn.peer.host
	}
	return d.p.host
}

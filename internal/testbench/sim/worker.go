package sim

import (
	"fmt"
	"net/netip"

	"starlingwinch/internal/machine"
)

// maxSpawnDuration is the longest time from a Spawn until the worker is up; the shortest is half of it.
const maxSpawnDuration = 6 * Millisecond

// worker is a virtual process beside a host's one: its handler, and the two ends of a connection within the host.
type worker struct {
	process        *Process
	done           func(machine.Conn, error) machine.Handler // nil once it was called or must not be
	hasDescriptors bool                                      // the process holds two descriptors for connections to come
	near, far      *Conn                                     // nil until it is up
}

// Spawn has the host's Worker play the worker.
func (p *Process) Spawn(spec machine.Worker, done func(machine.Conn, error) machine.Handler) machine.Process {
	p.enter()
	k := &worker{process: p, done: done}
	ev := p.world.event(WorkDone)
	ev.target = p
	switch play := p.host.Worker; {
	case play == nil:
		ev.fn = func() { k.fail(machine.ErrNoWorker) }
	case p.descriptors+2 > p.host.options.Descriptors:
		ev.fn = func() { k.fail(machine.ErrDescriptors) }
	default:
		p.descriptors += 2
		k.hasDescriptors = true
		args := append([]string(nil), spec.Args...)
		ev.fn = func() { k.up(play, args) }
	}
	p.world.schedule(ev, p.world.now+maxSpawnDuration/2+p.host.work.Int64N(maxSpawnDuration/2), p.world.lane())
	return k
}

// fail reports that the worker could not start.
func (k *worker) fail(err error) {
	if done := k.done; done != nil {
		k.done = nil
		done(nil, fmt.Errorf("spawn: %w", err))
	}
}

// up connects the worker and starts the handlers of both ends.
func (k *worker) up(play func([]string, machine.Conn) machine.Handler, args []string) {
	done := k.done
	if done == nil {
		return
	}
	k.done, k.hasDescriptors = nil, false
	h := k.process.host
	nowhere := netip.AddrPortFrom(h.ip, 0)
	k.near = k.process.world.connect(h, h, nowhere, nowhere)
	k.far = k.near.peer
	for _, c := range []*Conn{k.near, k.far} {
		c.opened = true
		c.attach(k.process)
	}
	if handler := done(k.near, nil); handler != nil {
		k.near.start(handler)
	} else {
		k.Kill()
	}
	if k.far.closed {
		return
	}
	if handler := play(args, k.far); handler != nil {
		k.far.start(handler)
	} else {
		k.far.Close()
	}
}

// Kill implements machine.Process.
func (k *worker) Kill() {
	k.process.enter()
	switch {
	case k.near != nil:
		k.near.Close()
		k.far.Close()
	case k.hasDescriptors:
		k.hasDescriptors = false
		k.process.releaseDescriptor()
		k.process.releaseDescriptor()
	}
	k.done = nil
}

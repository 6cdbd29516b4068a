package machine

import (
	"math"
	"os"
	"syscall"
)

// What a descriptor can be watched for. Connections are told of by edges, for which one call to the
// kernel in a connection's life is enough; all else by levels, so that what a turn leaves comes back.
const (
	eventIn   = syscall.EPOLLIN
	eventOut  = syscall.EPOLLOUT
	eventOver = syscall.EPOLLERR | syscall.EPOLLHUP // the kernel reports these unasked
	eventEnd  = syscall.EPOLLRDHUP
	eventEdge = 1 << 31 // EPOLLET, which package syscall has as a negative number

	onEdges = eventIn | eventOut | eventEnd | eventEdge
)

// eventsATurn is how many events one turn takes from the kernel; the others wait there.
const eventsATurn = 128

// A watcher is what owns a descriptor and is told of its events.
type watcher interface {
	event(mask uint32)
	// shut closes the descriptor, with no call to anyone. The poller does it when the machine stops.
	shut()
}

// A place is a watcher's mark in the poller. The kernel hands it back with each event.
type place struct {
	slot  int32
	birth int32
}

type slot struct {
	birth int32 // how often the slot was given away: events of former owners bear a smaller number
	w     watcher
}

// poller is the machine's epoll instance.
type poller struct {
	kernel *Kernel
	fd     int
	slots  []slot
	free   []int32
	events [eventsATurn]syscall.EpollEvent
	n      int // of events that the last fetch brought
}

func newPoller(k *Kernel) (*poller, error) {
	fd, err := k.EpollCreate()
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	return &poller{kernel: k, fd: fd}, nil
}

// seat gives w a place, before any descriptor is watched for it.
func (p *poller) seat(w watcher) place {
	if len(p.free) == 0 {
		p.slots = append(p.slots, slot{})
		p.free = append(p.free, int32(len(p.slots)-1))
	}
	i := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	s := &p.slots[i]
	s.birth++
	s.w = w
	return place{i, s.birth}
}

// pass gives w the place of another watcher.
func (p *poller) pass(at place, w watcher) { p.slots[at.slot].w = w }

// holds reports whether a place is still its first owner's, or was passed on by it.
func (p *poller) holds(at place) bool {
	s := &p.slots[at.slot]
	return s.birth == at.birth && s.w != nil
}

// leave frees a place: events that were fetched for it are told to nobody.
func (p *poller) leave(at place) {
	p.slots[at.slot].w = nil
	p.free = append(p.free, at.slot)
}

// watch and unwatch begin and end the kernel's interest in fd.
func (p *poller) watch(fd int, mask uint32, at place) error {
	ev := syscall.EpollEvent{Events: mask, Fd: at.slot, Pad: at.birth}
	return os.NewSyscallError("epoll_ctl", p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_ADD, fd, &ev))
}

func (p *poller) unwatch(fd int) {
	var ev syscall.EpollEvent
	p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_DEL, fd, &ev) // fails only where it was not watched
}

// owner is who is to be told of an event, if anyone.
//
// The danger: a handler closes a connection whose event was fetched in the same turn, and opens another
// that gets the same descriptor. The event must not reach the new one, which the kernel's number alone
// would not tell.
func (p *poller) owner(ev *syscall.EpollEvent) watcher {
	s := &p.slots[ev.Fd]
	if s.birth != ev.Pad {
		return nil
	}
	return s.w
}

// poll fetches what has happened, without waiting. As it can't block, it needs no word to the scheduler
// before and after.
func (p *poller) poll() {
	n, err := p.kernel.EpollPoll(p.fd, p.events[:])
	if err != nil {
		n = 0
	}
	p.n = n
}

// wait fetches what has happened, waiting for it for a time that is rounded up to a millisecond, or, below 0, for
// ever.
//
// It waits in the system call. With the epoll descriptor in the runtime's own poller the loop would
// wait as a parked goroutine; with one busy connection that took 14 µs of processor time a round trip
// instead of 11, and with 64 the same or more. The scheduler takes the processor away from a call
// that lasts, but only after up to 10 ms: see Real.turn.
func (p *poller) wait(most Time) {
	if p.poll(); p.n > 0 {
		return
	}
	ms := Time(-1)
	if most >= 0 {
		ms = min((most+999)/1000, math.MaxInt32)
	}
	n, err := p.kernel.EpollWait(p.fd, p.events[:], int(ms))
	if err != nil {
		n = 0 // EINTR: the loop comes back
	}
	p.n = n
}

// shut closes all that is watched, and the poller.
func (p *poller) shut() {
	for i := range p.slots {
		if w := p.slots[i].w; w != nil {
			w.shut()
		}
	}
	syscall.Close(p.fd)
	p.fd = -1
}

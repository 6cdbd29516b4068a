package machine

import (
	"math"
	"os"
	"syscall"
)

// Events of a descriptor. Connections are edge-triggered, which takes one epoll_ctl in a connection's life; listeners and
// datagram sockets are level-triggered, so that what a turn leaves is reported again.
const (
	eventIn            = syscall.EPOLLIN
	eventOut           = syscall.EPOLLOUT
	eventErrorOrHangup = syscall.EPOLLERR | syscall.EPOLLHUP // the kernel reports these unasked
	eventPeerClosed    = syscall.EPOLLRDHUP
	eventEdge          = 1 << 31 // EPOLLET, which package syscall has as a negative number

	connEvents = eventIn | eventOut | eventPeerClosed | eventEdge
)

// maxEventsPerTurn bounds the events of one turn; the others stay in the kernel.
const maxEventsPerTurn = 128

// A watcher owns a descriptor and is notified of its events.
type watcher interface {
	// event is called in the loop with the events of epoll(7).
	event(mask uint32)
	// closeDescriptor closes the descriptor without notifying anyone. The poller calls it when the machine stops.
	closeDescriptor()
}

// A slotRef refers to a watcher's slot in the poller. The kernel returns it with each event.
type slotRef struct {
	index      int32
	generation int32
}

type slot struct {
	generation int32 // counts the owners: events of former owners carry a smaller number
	watcher    watcher
}

// poller is the machine's epoll instance.
type poller struct {
	kernel *Kernel
	fd     int
	slots  []slot
	free   []int32
	events [maxEventsPerTurn]syscall.EpollEvent
	n      int // events of the last poll
}

func newPoller(k *Kernel) (*poller, error) {
	fd, err := k.EpollCreate()
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	return &poller{kernel: k, fd: fd}, nil
}

// allocate reserves a slot for w, before any descriptor is watched for it.
func (p *poller) allocate(w watcher) slotRef {
	if len(p.free) == 0 {
		p.slots = append(p.slots, slot{})
		p.free = append(p.free, int32(len(p.slots)-1))
	}
	i := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	s := &p.slots[i]
	s.generation++
	s.watcher = w
	return slotRef{i, s.generation}
}

// transfer gives w the slot of another watcher.
func (p *poller) transfer(at slotRef, w watcher) { p.slots[at.index].watcher = w }

// isCurrent reports whether a slot is still in use under the same generation.
func (p *poller) isCurrent(at slotRef) bool {
	s := &p.slots[at.index]
	return s.generation == at.generation && s.watcher != nil
}

// release frees a slot: events already polled for it are dropped.
func (p *poller) release(at slotRef) {
	p.slots[at.index].watcher = nil
	p.free = append(p.free, at.index)
}

// watch registers fd for the events of mask.
func (p *poller) watch(fd int, mask uint32, at slotRef) error {
	ev := syscall.EpollEvent{Events: mask, Fd: at.index, Pad: at.generation}
	return os.NewSyscallError("epoll_ctl", p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_ADD, fd, &ev))
}

// unwatch removes fd; it is not an error where fd was not watched.
func (p *poller) unwatch(fd int) {
	var ev syscall.EpollEvent
	p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_DEL, fd, &ev) // fails only where it was not watched
}

// owner returns the watcher that an event is for, or nil. A handler may close a connection whose event was polled in the same
// turn and open another that gets the same descriptor number: the generation tells the two apart.
func (p *poller) owner(ev *syscall.EpollEvent) watcher {
	s := &p.slots[ev.Fd]
	if s.generation != ev.Pad {
		return nil
	}
	return s.watcher
}

// poll fetches the events that are there, without blocking.
func (p *poller) poll() {
	n, err := p.kernel.EpollPoll(p.fd, p.events[:])
	if err != nil {
		n = 0
	}
	p.n = n
}

// wait fetches events, and blocks for up to a span that is rounded up to a millisecond, or, below 0, until there is one.
//
// It blocks in the system call rather than in the runtime's own poller, which costs more processor time a round trip
// (docs/design/machine.md). The scheduler takes the processor away from a blocked call only after up to 10 ms: see Real.turn.
func (p *poller) wait(limit Time) {
	if p.poll(); p.n > 0 {
		return
	}
	ms := Time(-1)
	if limit >= 0 {
		ms = min((limit+999)/1000, math.MaxInt32)
	}
	n, err := p.kernel.EpollWait(p.fd, p.events[:], int(ms))
	if err != nil {
		n = 0 // EINTR: the loop comes back
	}
	p.n = n
}

// close closes all that is watched, and the poller.
func (p *poller) close() {
	for i := range p.slots {
		if w := p.slots[i].watcher; w != nil {
			w.closeDescriptor()
		}
	}
	syscall.Close(p.fd)
	p.fd = -1
}

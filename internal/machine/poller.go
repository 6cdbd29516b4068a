package machine

import (
	"math"
	"os"
	"syscall"
)

// Events of a descriptor. Connections are edge-triggered, which needs only one epoll_ctl call per connection. Listeners and
// datagram sockets are level-triggered, so that input left by one turn is reported again.
const (
	eventIn            = syscall.EPOLLIN
	eventOut           = syscall.EPOLLOUT
	eventErrorOrHangup = syscall.EPOLLERR | syscall.EPOLLHUP // always reported by the kernel
	eventPeerClosed    = syscall.EPOLLRDHUP
	eventEdge          = 1 << 31 // EPOLLET, which package syscall defines as a negative number

	connEvents = eventIn | eventOut | eventPeerClosed | eventEdge
)

// maxEventsPerTurn limits the events fetched in one turn; further events stay in the kernel.
const maxEventsPerTurn = 128

// A watcher owns a descriptor and is notified of its events.
type watcher interface {
	// event is called in the loop with the events of epoll(7).
	event(mask uint32)
	// closeDescriptor closes the descriptor without notifying any user. The poller calls it when the machine stops.
	closeDescriptor()
}

// A slotRef refers to a watcher's slot in the poller. The kernel returns it with each event.
type slotRef struct {
	index      int32
	generation int32
}

type slot struct {
	generation int32 // number of owners so far: events of former owners carry a smaller number
	watcher    watcher
}

// poller is the machine's epoll instance.
type poller struct {
	kernel *Kernel
	fd     int
	slots  []slot
	free   []int32
	events [maxEventsPerTurn]syscall.EpollEvent
	n      int  // events of the last poll
	failed bool // the last poll without a wait returned an error, so that events may be pending
}

func newPoller(k *Kernel) (*poller, error) {
	fd, err := k.EpollCreate()
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	return &poller{kernel: k, fd: fd}, nil
}

// allocate reserves a slot for w. It must precede watch.
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

// transfer assigns the slot of another watcher to w.
func (p *poller) transfer(at slotRef, w watcher) { p.slots[at.index].watcher = w }

// isCurrent reports whether the slot still belongs to the owner of at.
func (p *poller) isCurrent(at slotRef) bool {
	s := &p.slots[at.index]
	return s.generation == at.generation && s.watcher != nil
}

// release frees a slot. Events already polled for the slot are dropped.
func (p *poller) release(at slotRef) {
	p.slots[at.index].watcher = nil
	p.free = append(p.free, at.index)
}

// watch registers fd for the events of mask.
func (p *poller) watch(fd int, mask uint32, at slotRef) error {
	ev := syscall.EpollEvent{Events: mask, Fd: at.index, Pad: at.generation}
	return os.NewSyscallError("epoll_ctl", p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_ADD, fd, &ev))
}

// unwatch stops watching fd. A descriptor that is not watched is not an error.
func (p *poller) unwatch(fd int) {
	var ev syscall.EpollEvent
	p.kernel.EpollCtl(p.fd, syscall.EPOLL_CTL_DEL, fd, &ev) // fails only if fd is not watched
}

// owner returns the watcher of an event, or nil if the watcher is gone. A handler may close a connection whose event was
// polled in the same turn and open another that gets the same descriptor number and slot. The generation distinguishes the two.
func (p *poller) owner(ev *syscall.EpollEvent) watcher {
	s := &p.slots[ev.Fd]
	if s.generation != ev.Pad {
		return nil
	}
	return s.watcher
}

// poll fetches the pending events without blocking.
func (p *poller) poll() {
	n, err := p.kernel.EpollPoll(p.fd, p.events[:])
	if p.failed = err != nil; p.failed {
		n = 0 // the loop polls again in its next turn
	}
	p.n = n
}

// isComplete reports whether the latest poll fetched all pending events.
func (p *poller) isComplete() bool { return !p.failed && p.n < len(p.events) }

// wait fetches events. It blocks for up to limit, rounded up to a millisecond, or until there is an event if limit is
// negative, and reports whether it blocked.
//
// The loop blocks in the system call because the Go runtime's poller costs more processor time per round trip
// (docs/design/machine.md). The scheduler may take up to 10 ms to reassign the processor of a blocked call: see Real.turn.
func (p *poller) wait(limit Time) (blocked bool) {
	if p.poll(); p.n > 0 || p.failed {
		return false
	}
	ms := Time(-1)
	if limit >= 0 {
		ms = min((limit+999)/1000, math.MaxInt32)
	}
	n, err := p.kernel.EpollWait(p.fd, p.events[:], int(ms))
	if err != nil {
		n = 0 // EINTR, which the kernel returns only without events: the loop polls again in its next turn
	}
	p.n = n
	return true
}

// close closes all watched descriptors and the poller.
func (p *poller) close() {
	for i := range p.slots {
		if w := p.slots[i].watcher; w != nil {
			w.closeDescriptor()
		}
	}
	syscall.Close(p.fd)
	p.fd = -1
}

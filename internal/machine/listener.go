package machine

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
)

const (
	backlog           = 4096   // the default of net.core.somaxconn, which caps it
	maxAcceptsPerTurn = 64     // leaves time for open connections
	acceptBackoff     = 10_000 // pause of accepting after descriptors ran out, in microseconds
)

// listener accepts connections at an address.
type listener struct {
	m           *Real
	fd          int // negative once closed
	slot        slotRef
	addr        netip.AddrPort
	accept      func(Conn) Handler
	queueSince  Time   // the connections in the queue arrived at this time or later
	emptied     bool   // the queue was empty after the latest event, and is watched since
	paused      bool   // by the caller of Pause
	waiting     *timer // ends a back-off; nil if there is none
	done        func() // set by Finish: called once the queue is empty
	acceptsLeft int    // number of connections that Finish may still accept
}

// Listen implements Machine. A listener at [::] accepts IPv4 connections too.
func (m *Real) Listen(addr string, accept func(Conn) Handler) (Listener, error) {
	l, err := m.listen(addr, accept)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", addr, contractListenError(err))
	}
	return l, nil
}

func (m *Real) listen(addr string, accept func(Conn) Handler) (*listener, error) {
	ap, err := parseAddress(addr)
	if err != nil {
		return nil, err
	}
	l := &listener{m: m, accept: accept}
	if err := m.retryShortage(func() error { return l.open(ap) }); err != nil {
		return nil, err
	}
	l.addr, l.queueSince = localAddr(l.fd), m.Now()
	l.slot = m.poll.allocate(l)
	l.watch()
	return l, nil
}

// open opens the socket.
func (l *listener) open(ap netip.AddrPort) error {
	fd, err := l.m.boundSocket(ap, syscall.SOCK_STREAM)
	if err != nil {
		return err
	}
	if err := l.m.kernel.Listen(fd, backlog); err != nil {
		syscall.Close(fd)
		return os.NewSyscallError("listen", err)
	}
	l.fd = fd
	return nil
}

// event implements watcher.
func (l *listener) event(uint32) {
	if l.emptied {
		l.emptied, l.queueSince = false, l.m.polls.since
	}
	for i := 0; i < maxAcceptsPerTurn && l.fd >= 0 && !l.paused; i++ {
		if l.done != nil && l.acceptsLeft == 0 {
			l.finish()
			return
		}
		if !l.m.hasConnCapacity() {
			l.backOff()
			return
		}
		fd, sa, err := l.m.kernel.Accept(l.fd)
		switch err {
		case nil:
			l.acceptsLeft--
			l.admit(fd, fromSockaddr(sa))
		case syscall.EAGAIN:
			l.emptied = true
			if l.done != nil {
				l.finish()
			}
			return
		case syscall.EINTR, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM:
			// This connection is gone; others may wait.
		default:
			l.backOff()
			return
		}
	}
	l.checkQueue()
}

func (l *listener) admit(fd int, remote netip.AddrPort) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	c := &conn{m: l.m, fd: fd, local: localAddr(fd), remote: remote, input: inputAge{since: l.queueSince}}
	var err error
	if c.slot, err = l.m.attach(fd, connEvents, c); err != nil {
		syscall.Close(fd)
		return
	}
	l.m.conns++
	l.m.readClock()
	c.attachHandler(l.accept(c))
}

// backOff stops accepting for acceptBackoff. While there are no descriptors, the kernel keeps reporting the connection in its
// queue, so that an immediate retry would make the loop spin.
func (l *listener) backOff() {
	l.unwatch()
	l.waiting = l.m.at(l.m.Now()+acceptBackoff, func() {
		l.waiting = nil
		l.watch()
	})
}

// unwatch stops watching the queue. Connections that arrive from now on are reported late.
func (l *listener) unwatch() {
	if l.emptied {
		l.emptied, l.queueSince = false, l.m.polls.since
	}
	l.m.poll.unwatch(l.fd)
}

func (l *listener) watch() {
	if l.paused || l.waiting != nil {
		return
	}
	if err := l.m.poll.watch(l.fd, eventIn, l.slot); err != nil {
		l.backOff() // the kernel has no memory to watch the socket at the moment
		return
	}
	l.checkQueue()
}

// Addr implements Listener.
func (l *listener) Addr() string { return l.addr.String() }

// Pause implements Listener.
func (l *listener) Pause() {
	if l.fd < 0 || l.paused {
		return
	}
	l.paused = true
	l.unwatch()
}

// Resume implements Listener.
func (l *listener) Resume() {
	if l.fd < 0 || !l.paused {
		return
	}
	l.paused = false
	l.watch()
}

// Finish implements Listener. Closing the socket resets the connections in the kernel's queue, whose clients may already have
// sent a request.
func (l *listener) Finish(done func()) {
	if l.fd < 0 || l.done != nil {
		return
	}
	l.done, l.acceptsLeft = done, backlog
	l.checkQueue()
}

// checkQueue schedules an accept for Finish, since an empty queue causes no event.
func (l *listener) checkQueue() {
	if l.done != nil && !l.paused && l.waiting == nil {
		l.m.Post(func() { l.event(eventIn) })
	}
}

// finish closes a listener whose queue is empty.
func (l *listener) finish() {
	done := l.done
	l.Close()
	l.m.Post(done)
}

// Close implements Listener.
func (l *listener) Close() {
	if l.fd < 0 {
		return
	}
	if l.waiting != nil {
		l.waiting.Stop()
	}
	// Closing the descriptor does not remove the socket from epoll while another process shares the socket: a child process that is
	// being started does so until it executes its program.
	l.m.poll.unwatch(l.fd)
	l.m.poll.release(l.slot)
	l.closeDescriptor()
}

// closeDescriptor implements watcher.
func (l *listener) closeDescriptor() {
	syscall.Close(l.fd)
	l.fd = -1
}

package machine

import (
	"fmt"
	"net/netip"
	"syscall"
)

// dialing is a connection that is being established.
type dialing struct {
	m             *Real
	addr          string
	remote        netip.AddrPort
	fd            int // negative while there is no socket
	slot          slotRef
	deadlineTimer *timer // ends connecting, or reports an error of the first connect
	retryTimer    *timer // makes the next connect after a shortage; nil once connecting has begun
	done          func(Conn, error) Handler
}

// Dial implements Machine.
func (m *Real) Dial(addr string, timeout Time, done func(Conn, error) Handler) Dialing {
	d := &dialing{m: m, addr: addr, fd: -1, done: done}
	deadline := m.Now() + max(timeout, 0)
	err := d.connect()
	if err != nil && !isDialShortage(err) {
		d.deadlineTimer = m.at(m.Now(), func() { d.fail(contractError("dial", err)) })
		return d
	}
	d.deadlineTimer = m.at(deadline, func() {
		if d.Blocked() {
			d.fail(ErrShortage)
		} else {
			d.fail(ErrTimeout)
		}
	})
	if err != nil {
		d.retryLater()
	}
	return d
}

// retryLater connects again after shortageRetryDelay, because a shortage on this machine says nothing about the address.
func (d *dialing) retryLater() {
	d.retryTimer = d.m.at(d.m.Now()+shortageRetryDelay, func() {
		d.retryTimer = nil
		switch err := d.connect(); {
		case err == nil:
		case isDialShortage(err):
			d.retryLater()
		default:
			d.fail(contractError("dial", err))
		}
	})
}

// Blocked implements Dialing.
func (d *dialing) Blocked() bool { return d.retryTimer != nil }

// connect opens the socket and starts connecting. It returns an error of the kernel or one of this package.
func (d *dialing) connect() error {
	var err error
	if d.remote, err = parseAddress(d.addr); err != nil {
		return err
	}
	if !d.m.hasConnCapacity() {
		return ErrDescriptors
	}
	fd, err := d.m.socket(d.remote, syscall.SOCK_STREAM)
	if err != nil {
		return err
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	err = d.m.kernel.Connect(fd, toSockaddr(d.remote))
	if err != nil && err != syscall.EINPROGRESS && err != syscall.EINTR {
		syscall.Close(fd)
		return err
	}
	// The socket is watched only after connect: epoll reports a hang-up for a socket that has not begun to connect.
	if d.slot, err = d.m.attach(fd, connEvents, d); err != nil {
		syscall.Close(fd)
		return err
	}
	d.fd = fd
	d.m.conns++
	return nil
}

// event implements watcher. The connection is established or has failed.
func (d *dialing) event(mask uint32) {
	if mask&(eventOut|eventErrorOrHangup) == 0 {
		return
	}
	errno, err := syscall.GetsockoptInt(d.fd, syscall.SOL_SOCKET, syscall.SO_ERROR)
	if err != nil {
		d.fail(contractError("getsockopt", err))
		return
	}
	if errno != 0 {
		d.fail(contractError("connect", syscall.Errno(errno)))
		return
	}
	local := localAddr(d.fd)
	// The kernel may choose the destination port as the local port if the destination has no listener. TCP then connects the
	// socket to itself (RFC 9293, simultaneous open).
	if local == d.remote {
		d.fail(ErrRefused)
		return
	}

	c := &conn{m: d.m, fd: d.fd, slot: d.slot, local: local, remote: d.remote, input: inputAge{since: d.m.polls.since}}
	d.m.poll.transfer(d.slot, c)
	d.fd = -1
	d.deadlineTimer.Stop()
	done := d.done
	d.done = nil
	c.attachHandler(done(c, nil))
	// Bytes or an end that arrived together with the connection cause no separate event.
	if in := mask & (eventIn | eventPeerClosed | eventErrorOrHangup); in != 0 && c.fd >= 0 {
		d.m.readClock()
		c.event(in)
	}
}

// fail reports that no connection was established.
func (d *dialing) fail(err error) {
	done := d.done
	d.Cancel()
	done(nil, fmt.Errorf("dial %s: %w", d.addr, err))
}

// Cancel implements Dialing. It does nothing after the outcome was reported.
func (d *dialing) Cancel() {
	d.done = nil
	d.deadlineTimer.Stop()
	if d.retryTimer != nil {
		d.retryTimer.Stop()
		d.retryTimer = nil
	}
	if d.fd >= 0 {
		d.m.poll.release(d.slot)
		d.m.conns--
		d.closeDescriptor()
	}
}

// closeDescriptor implements watcher.
func (d *dialing) closeDescriptor() {
	syscall.Close(d.fd)
	d.fd = -1
}

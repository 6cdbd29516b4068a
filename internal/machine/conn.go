package machine

import (
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"
)

// conn is a connection that is up, over TCP or to a worker process.
type conn struct {
	m       *Real
	fd      int // below 0 once it is closed
	slot    slotRef
	handler Handler
	local   netip.AddrPort
	remote  netip.AddrPort

	drained       bool // a read found nothing more, and no event has come since
	ended         bool // the kernel reported the end or an error: there may be no more events
	failed        bool // the kernel reported an error
	writeBlocked  bool // a Write took less than it was given; Writable is owed
	broken        bool // a call returned an error: the connection is unusable
	notifyPending bool // the handler will be notified again after a shortage of the kernel
	writeClosed   bool // CloseWrite was called
}

// event implements watcher.
func (c *conn) event(mask uint32) {
	blocked := c.writeBlocked // before Readable: what that writes gets an event of its own
	if mask&(eventIn|eventPeerClosed|eventErrorOrHangup) != 0 {
		c.drained = false
		c.noteEnd(mask)
		c.handler.Readable()
	}
	if blocked && c.fd >= 0 && mask&(eventOut|eventErrorOrHangup) != 0 {
		c.handler.Writable()
	}
}

// noteEnd records what an event says about the connection's end.
func (c *conn) noteEnd(mask uint32) {
	c.ended = c.ended || mask&(eventPeerClosed|eventErrorOrHangup) != 0
	c.failed = c.failed || mask&syscall.EPOLLERR != 0
}

// Read implements Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.fd < 0 {
		return 0, ErrClosed
	}
	if len(b) == 0 {
		return 0, nil
	}
	// Events are edge-triggered, so that only a read that found nothing may stop the reading: a short read need not be the
	// last one. The end may have come with the event of the bytes, and has no other event then.
	if c.drained && !c.ended {
		return 0, ErrWait
	}
	n, err := c.m.recv(c.fd, b, 0)
	switch {
	case err == syscall.EAGAIN:
		c.drained = true
		return 0, ErrWait
	case isShortage(err):
		c.notifyLater()
		return 0, ErrWait
	case err != nil:
		return 0, c.markBroken(err)
	case n == 0 && c.broken:
		// The kernel reports an error once. After a Write took it, a read finds what looks like an orderly end.
		return 0, ErrReset
	case n == 0:
		return 0, io.EOF
	}
	c.drained = false
	return n, nil
}

// Write implements Conn.
func (c *conn) Write(b []byte) (int, error) {
	switch {
	case c.fd < 0 || c.writeClosed:
		return 0, ErrClosed
	case c.broken:
		return 0, ErrReset
	}
	c.writeBlocked = false
	sent := 0
	// Only after EAGAIN does the kernel owe an event.
	for sent < len(b) {
		n, err := c.m.send(c.fd, b[sent:])
		if err == syscall.EAGAIN {
			c.writeBlocked = true
			break
		}
		if isShortage(err) {
			c.writeBlocked = true
			c.notifyLater()
			break
		}
		if err != nil {
			return sent, c.markBroken(err)
		}
		sent += n
	}
	return sent, nil
}

// notifyLater notifies the handler again after shortageRetryDelay: the kernel had no memory for a call, and sends no event
// once it has.
func (c *conn) notifyLater() {
	if c.notifyPending {
		return
	}
	c.notifyPending = true
	c.m.at(c.m.Now()+shortageRetryDelay, func() {
		c.notifyPending = false
		if c.fd >= 0 {
			c.event(eventIn | eventOut)
		}
	})
}

// markBroken marks the connection unusable, whatever the cause, and returns the contract's error.
func (c *conn) markBroken(err error) error {
	c.broken = true
	if err == syscall.ECONNRESET || err == syscall.EPIPE {
		return ErrReset
	}
	return fmt.Errorf("%w: %v", ErrReset, err)
}

// Quiet implements Conn.
func (c *conn) Quiet() bool {
	if c.fd < 0 || c.broken {
		return false
	}
	_, err := c.m.recv(c.fd, c.m.peekBuffer[:], syscall.MSG_PEEK)
	if err == syscall.EAGAIN {
		return true
	}
	// What was seen here may have come after the last event: a Read must not take the connection for drained any more.
	c.drained = false
	if err != nil && !isShortage(err) {
		// Peeking took the error off the socket, and the next read would find what looks like an orderly end.
		c.markBroken(err)
	}
	return false
}

// staleAfter is the age from which a turn's events no longer prove that a connection is open.
const staleAfter = 5 * time.Millisecond

// End implements Conn. The other side may leave while a turn is delayed, so that the kernel is asked again where the turn's
// events are stale.
func (c *conn) End() error {
	if c.fd >= 0 && !c.ended && !c.broken && time.Since(c.m.polledAt) > staleAfter {
		c.checkEnd()
	}
	switch {
	case c.broken || c.failed:
		return ErrReset
	case c.ended:
		return io.EOF
	}
	return nil
}

// checkEnd asks the kernel whether the connection has ended. It reads nothing, and the event of the end still comes.
func (c *conn) checkEnd() {
	const ends = syscall.EPOLLRDHUP | syscall.EPOLLERR | syscall.EPOLLHUP // poll's numbers are the same
	if happened, err := c.m.kernel.Poll(c.fd, syscall.EPOLLRDHUP); err == nil {
		c.noteEnd(uint32(happened) & ends)
	}
}

// CloseWrite implements Conn.
func (c *conn) CloseWrite() error {
	if c.fd < 0 {
		return ErrClosed
	}
	c.writeClosed = true
	if err := syscall.Shutdown(c.fd, syscall.SHUT_WR); err != nil {
		return c.markBroken(err)
	}
	return nil
}

// Close implements Conn.
func (c *conn) Close() {
	if c.fd < 0 {
		return
	}
	c.m.poll.release(c.slot)
	c.m.conns--
	c.closeDescriptor()
}

// closeDescriptor implements watcher. The kernel's interest ends with the descriptor, of which there is no copy.
func (c *conn) closeDescriptor() {
	syscall.Close(c.fd)
	c.fd = -1
	c.handler = nil
}

// Local implements Conn.
func (c *conn) Local() string { return c.local.String() }

// Remote implements Conn.
func (c *conn) Remote() string { return c.remote.String() }

// attachHandler gives the connection its handler. One without a handler would be open for ever.
func (c *conn) attachHandler(h Handler) {
	if h == nil {
		c.Close()
		return
	}
	if c.fd >= 0 {
		c.handler = h
	}
}

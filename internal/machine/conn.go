package machine

import (
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"
)

// conn is an established connection, over TCP or to a worker process.
type conn struct {
	m       *Real
	fd      int // negative once closed
	slot    slotRef
	handler Handler
	local   netip.AddrPort
	remote  netip.AddrPort

	input inputAge // of the unread input

	drained       bool // a read found nothing more, and no event has arrived since
	ended         bool // the kernel reported the end or an error: no further event may follow
	failed        bool // the kernel reported an error
	writeBlocked  bool // the last Write was short; the handler must be notified by Writable
	broken        bool // a call returned an error: the connection is unusable
	notifyPending bool // a timer will notify the handler again after a shortage in the kernel
	writeClosed   bool // CloseWrite was called
}

// event implements watcher.
func (c *conn) event(mask uint32) {
	blocked := c.writeBlocked // read before the call of Readable: a write in that call gets its own event
	if mask&(eventIn|eventPeerClosed|eventErrorOrHangup) != 0 {
		c.markUndrained()
		c.noteEnd(mask)
		c.handler.Readable()
	}
	if blocked && c.fd >= 0 && mask&(eventOut|eventErrorOrHangup) != 0 {
		c.handler.Writable()
	}
}

// noteEnd records the end or the error that an event reports.
func (c *conn) noteEnd(mask uint32) {
	c.ended = c.ended || mask&(eventPeerClosed|eventErrorOrHangup) != 0
	c.failed = c.failed || mask&syscall.EPOLLERR != 0
}

// markUndrained records that there may be input after a read that found nothing.
func (c *conn) markUndrained() {
	if c.drained {
		c.drained, c.input.since, c.input.markLeft = false, c.m.polls.since, 0
	}
}

// Read implements Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.fd < 0 {
		return 0, ErrClosed
	}
	if len(b) == 0 {
		return 0, nil
	}
	// Events are edge-triggered, so that reading may only stop after a read that found nothing: more bytes may follow a short
	// read. The end may have been reported in the same event as the bytes and then causes no other event.
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
		// The kernel reports an error only once. If a Write received the error, a read finds what looks like an orderly end.
		return 0, ErrReset
	case n == 0:
		return 0, io.EOF
	}
	c.markUndrained()
	c.input.read(n, c.m.Now(), c)
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
	// The kernel sends an event for writing only after EAGAIN.
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

// notifyLater notifies the handler again after shortageRetryDelay. A call failed because the kernel had no memory, and the
// kernel sends no event when memory is available again.
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

// markBroken marks the connection unusable for any cause and returns an error that wraps ErrReset.
func (c *conn) markBroken(err error) error {
	c.broken = true
	if err == syscall.ECONNRESET || err == syscall.EPIPE {
		return ErrReset
	}
	return fmt.Errorf("%w: %v", ErrReset, err)
}

// HasNothingUnread implements Conn.
func (c *conn) HasNothingUnread() bool {
	if c.fd < 0 || c.broken {
		return false
	}
	_, err := c.m.recv(c.fd, c.m.peekBuffer[:], syscall.MSG_PEEK)
	if err == syscall.EAGAIN {
		return true
	}
	// The input found here may have arrived after the last event, so that Read must no longer treat the connection as drained.
	c.markUndrained()
	if err != nil && !isShortage(err) {
		// Peeking cleared the error of the socket: the next read would find what looks like an orderly end.
		c.markBroken(err)
	}
	return false
}

// staleAfter is the age above which a turn's events no longer prove that a connection is open.
const staleAfter = 5 * time.Millisecond

// EndError implements Conn. The peer may close the connection while a turn is delayed, so that EndError queries the kernel if the
// turn's events are stale.
func (c *conn) EndError() error {
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

// checkEnd queries the kernel for the connection's end. It reads nothing, and the event for the end still follows.
func (c *conn) checkEnd() {
	const ends = syscall.EPOLLRDHUP | syscall.EPOLLERR | syscall.EPOLLHUP // poll(2) uses the same values
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

// Abort implements Conn.
func (c *conn) Abort() {
	if c.HasUndelivered() {
		// Without a time to linger, the kernel drops the bytes and resets the connection.
		_ = syscall.SetsockoptLinger(c.fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.Close()
}

// HasUndelivered implements Conn.
func (c *conn) HasUndelivered() bool {
	if c.fd < 0 {
		return false
	}
	n, err := c.m.kernel.Undelivered(c.fd)
	return err == nil && n > 0
}

// closeDescriptor implements watcher. Closing the descriptor also removes it from epoll, since no copy of it exists.
func (c *conn) closeDescriptor() {
	syscall.Close(c.fd)
	c.fd = -1
	c.handler = nil
}

// Local implements Conn.
func (c *conn) Local() string { return c.local.String() }

// Remote implements Conn.
func (c *conn) Remote() string { return c.remote.String() }

// attachHandler sets the connection's handler. It closes a connection without a handler, which would otherwise stay open for ever.
func (c *conn) attachHandler(h Handler) {
	if h == nil {
		c.Close()
		return
	}
	if c.fd >= 0 {
		c.handler = h
	}
}

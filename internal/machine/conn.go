package machine

import (
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"
)

// conn is a connection that is up.
type conn struct {
	m      *Real
	fd     int // below 0 once it is closed
	at     place
	h      Handler
	local  netip.AddrPort
	remote netip.AddrPort

	empty   bool // a read has found nothing more, and no event has come since
	over    bool // the kernel has told of the end, or of an error: from here on there may be no more events
	failed  bool // ... and it was an error
	held    bool // a Write took less than it was given
	broken  bool // an error was seen
	again   bool // the kernel lacked something: the handler is told once more in a moment
	noWrite bool // CloseWrite was called
}

// event implements watcher.
func (c *conn) event(mask uint32) {
	held := c.held // as it was before: what Readable writes gets an event of its own
	if mask&(eventIn|eventEnd|eventOver) != 0 {
		c.empty = false
		c.note(mask)
		c.h.Readable()
	}
	if held && c.fd >= 0 && mask&(eventOut|eventOver) != 0 {
		c.h.Writable()
	}
}

// note takes in what an event says of the connection's end.
func (c *conn) note(mask uint32) {
	c.over = c.over || mask&(eventEnd|eventOver) != 0
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
	// The kernel tells of what comes once: only a read that found nothing may end the reading. A read may take less than
	// has come for reasons of the kernel's own; taken for the last one, it leaves the rest unread until more comes.
	// The end may have come with the event that told of the bytes; then there is no other.
	if c.empty && !c.over {
		return 0, ErrWait
	}
	n, err := c.m.recv(c.fd, b, 0)
	switch {
	case err == syscall.EAGAIN:
		c.empty = true
		return 0, ErrWait
	case isLack(err):
		c.tellAgain()
		return 0, ErrWait
	case err != nil:
		return 0, c.breakOff(err)
	case n == 0 && c.broken:
		// The danger: the kernel tells an error once. Where a Write got it, the read after it finds an
		// end that looks as if the other side had meant it.
		return 0, ErrReset
	case n == 0:
		return 0, io.EOF
	}
	c.empty = false
	return n, nil
}

// Write implements Conn.
func (c *conn) Write(b []byte) (int, error) {
	switch {
	case c.fd < 0 || c.noWrite:
		return 0, ErrClosed
	case c.broken:
		return 0, ErrReset
	}
	c.held = false
	sent := 0
	// Up to EAGAIN: only after that the kernel owes an event.
	for sent < len(b) {
		n, err := c.m.send(c.fd, b[sent:])
		if err == syscall.EAGAIN {
			c.held = true
			break
		}
		if isLack(err) {
			c.held = true
			c.tellAgain()
			break
		}
		if err != nil {
			return sent, c.breakOff(err)
		}
		sent += n
	}
	return sent, nil
}

// tellAgain has the handler come back in a moment: the kernel had no memory for a call, and tells of no event where it
// has some again.
func (c *conn) tellAgain() {
	if c.again {
		return
	}
	c.again = true
	c.m.at(c.m.Now()+lackPause, func() {
		c.again = false
		if c.fd >= 0 {
			c.event(eventIn | eventOut)
		}
	})
}

// breakOff is what an error of the kernel means to the connection: that it is broken, whatever the cause.
func (c *conn) breakOff(err error) error {
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
	_, err := c.m.recv(c.fd, c.m.peek[:], syscall.MSG_PEEK)
	if err == syscall.EAGAIN {
		return true
	}
	// The danger: what was seen here may have come after the last event that was told. A Read that still
	// held the connection for empty would contradict this answer.
	c.empty = false
	if err != nil && !isLack(err) {
		// The danger: this look has taken the error off the socket, and the next read would find an end.
		c.breakOff(err)
	}
	return false
}

// staleAfter is how old the events of a turn may be for what they tell of a connection's end.
const staleAfter = 5 * time.Millisecond

// End implements Conn. A turn may be held up, by its own work or by the machine, and the other side leaves meanwhile: where
// the turn's events are old, the kernel is asked again.
func (c *conn) End() error {
	if c.fd >= 0 && !c.over && !c.broken && time.Since(c.m.polled) > staleAfter {
		c.lookForEnd()
	}
	switch {
	case c.broken || c.failed:
		return ErrReset
	case c.over:
		return io.EOF
	}
	return nil
}

// lookForEnd asks the kernel whether the connection has ended. It takes nothing out, and an event still tells of it.
func (c *conn) lookForEnd() {
	const ends = syscall.EPOLLRDHUP | syscall.EPOLLERR | syscall.EPOLLHUP // poll's numbers are the same
	if happened, err := c.m.kernel.Poll(c.fd, syscall.EPOLLRDHUP); err == nil {
		c.note(uint32(happened) & ends)
	}
}

// CloseWrite implements Conn.
func (c *conn) CloseWrite() error {
	if c.fd < 0 {
		return ErrClosed
	}
	c.noWrite = true
	if err := syscall.Shutdown(c.fd, syscall.SHUT_WR); err != nil {
		return c.breakOff(err)
	}
	return nil
}

// Close implements Conn.
func (c *conn) Close() {
	if c.fd < 0 {
		return
	}
	c.m.poll.leave(c.at)
	c.m.conns--
	c.shut()
}

// shut implements watcher. The kernel's interest ends with the descriptor, of which there is no copy.
func (c *conn) shut() {
	syscall.Close(c.fd)
	c.fd = -1
	c.h = nil
}

// Local and Remote implement Conn.
func (c *conn) Local() string  { return c.local.String() }
func (c *conn) Remote() string { return c.remote.String() }

// begin gives the connection its handler. One without a handler would be open for ever.
func (c *conn) begin(h Handler) {
	if h == nil {
		c.Close()
		return
	}
	if c.fd >= 0 {
		c.h = h
	}
}

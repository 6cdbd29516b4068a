package machine

import (
	"io"
	"sync"
)

// insideBufferBytes limits the bytes buffered in each direction of a connection to a worker inside this process.
const insideBufferBytes = 256 << 10

// insideConn is the loop's end of a connection to a worker that runs in a goroutine of this process. Compared with a socket,
// it saves four system calls and two wake-ups per round trip.
type insideConn struct {
	m            *Real
	handler      Handler // nil after Close
	writeBlocked bool    // the last Write was short
	notifyFunc   func()  // the method value notify, allocated once

	mu           sync.Mutex
	wake         sync.Cond // the worker waits for bytes in out or for space in in
	out, in      []byte
	posted       bool // a call of notify has been posted
	workerClosed bool // the worker closed its end
	closed       bool // the loop closed its end
	writeClosed  bool // CloseWrite was called
}

func newInsideConn(m *Real) *insideConn {
	c := &insideConn{m: m, handler: noHandler{}}
	c.wake.L = &c.mu
	c.notifyFunc = c.notify
	return c
}

// postNotify posts a call of notify to the loop. The caller holds mu.
func (c *insideConn) postNotify() {
	if !c.posted && !c.closed {
		c.posted = true
		c.m.Post(c.notifyFunc)
	}
}

// notify runs in the loop after the worker wrote, closed or read from a full buffer. After a short Write, it reports Writable only if
// the buffer of unread bytes for the worker is less than half full.
func (c *insideConn) notify() {
	c.mu.Lock()
	c.posted = false
	readable := len(c.in) > 0 || c.workerClosed
	writable := c.writeBlocked && len(c.out) < insideBufferBytes/2
	c.mu.Unlock()
	if readable && c.handler != nil {
		c.handler.Readable()
	}
	if writable && c.writeBlocked && c.handler != nil {
		c.writeBlocked = false
		c.handler.Writable()
	}
}

// Read implements Conn.
func (c *insideConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, ErrClosed
	case len(b) == 0:
		return 0, nil
	case len(c.in) > 0:
		full := len(c.in) >= insideBufferBytes
		n := copy(b, c.in)
		c.in = c.in[:copy(c.in, c.in[n:])]
		if full {
			c.wake.Broadcast()
		}
		return n, nil
	case c.workerClosed:
		return 0, io.EOF
	}
	return 0, ErrWait
}

// Write implements Conn.
func (c *insideConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.writeClosed:
		return 0, ErrClosed
	case c.workerClosed:
		return 0, ErrReset
	}
	n := min(len(b), max(0, insideBufferBytes-len(c.out)))
	c.out = append(c.out, b[:n]...)
	c.writeBlocked = n < len(b)
	if n > 0 {
		c.wake.Broadcast()
		c.m.wokeGoroutine.Store(true)
	}
	return n, nil
}

// Arrival implements Conn. Bytes of a worker have no deadline.
func (c *insideConn) Arrival() (first, last Time) { return c.m.Now(), c.m.Now() }

// Abort implements Conn. The worker may still read the bytes written.
func (c *insideConn) Abort() { c.Close() }

// HasUndelivered implements Conn. Bytes reach a worker inside this process at once.
func (c *insideConn) HasUndelivered() bool { return false }

// HasNothingUnread implements Conn.
func (c *insideConn) HasNothingUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.workerClosed && len(c.in) == 0
}

// EndError implements Conn.
func (c *insideConn) EndError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workerClosed {
		return io.EOF
	}
	return nil
}

// CloseWrite implements Conn.
func (c *insideConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	c.writeClosed = true
	c.wake.Broadcast()
	return nil
}

// Close implements Conn.
func (c *insideConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.handler = nil
	c.in, c.out = nil, nil
	c.wake.Broadcast()
}

// Local implements Conn.
func (c *insideConn) Local() string { return "" }

// Remote implements Conn.
func (c *insideConn) Remote() string { return "" }

// insideEnd is the worker's end of the connection. Its methods block.
type insideEnd struct{ c *insideConn }

// Read implements io.Reader.
func (e insideEnd) Read(b []byte) (int, error) {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) == 0 {
		if c.closed || c.writeClosed || c.workerClosed {
			return 0, io.EOF
		}
		c.wake.Wait()
	}
	full := len(c.out) >= insideBufferBytes
	n := copy(b, c.out)
	c.out = c.out[:copy(c.out, c.out[n:])]
	if full {
		c.postNotify()
	}
	return n, nil
}

// Write implements io.Writer.
func (e insideEnd) Write(b []byte) (int, error) {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for written < len(b) {
		if c.closed || c.workerClosed {
			return written, io.ErrClosedPipe
		}
		n := min(len(b)-written, insideBufferBytes-len(c.in))
		if n == 0 {
			c.wake.Wait()
			continue
		}
		c.in = append(c.in, b[written:written+n]...)
		written += n
		c.postNotify()
	}
	return written, nil
}

// Close implements io.Closer.
func (e insideEnd) Close() error {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workerClosed = true
	c.postNotify()
	return nil
}

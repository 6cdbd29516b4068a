package machine

import (
	"io"
	"sync"
)

// insideRoom is how many bytes wait in each direction of a connection to a worker inside this process.
const insideRoom = 256 << 10

// insideConn is the loop's end of a connection to a worker that is a goroutine of this process. There is no kernel
// between the two: a round trip costs two hand-overs, where a socket costs four calls and two wake-ups.
type insideConn struct {
	m      *Real
	h      Handler // nil after Close
	held   bool    // a Write took less than it was given
	tellIt func()  // tell, once and for all

	mu      sync.Mutex
	wake    sync.Cond // the worker waits for out
	out, in []byte
	posted  bool // a call of tell is to come
	ended   bool // the worker has closed its end
	closed  bool // the loop has
	noWrite bool // the loop sends nothing more
}

func newInsideConn(m *Real) *insideConn {
	c := &insideConn{m: m, h: nobody{}}
	c.wake.L = &c.mu
	c.tellIt = c.tell
	return c
}

// notice has the loop look at the connection.
func (c *insideConn) notice() {
	if !c.posted && !c.closed {
		c.posted = true
		c.m.Post(c.tellIt)
	}
}

// tell is called in the loop where something has come, or there is room again.
func (c *insideConn) tell() {
	c.mu.Lock()
	c.posted = false
	readable := len(c.in) > 0 || c.ended
	writable := c.held && len(c.out) < insideRoom/2
	c.mu.Unlock()
	if readable && c.h != nil {
		c.h.Readable()
	}
	if writable && c.held && c.h != nil {
		c.held = false
		c.h.Writable()
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
		full := len(c.in) >= insideRoom
		n := copy(b, c.in)
		c.in = c.in[:copy(c.in, c.in[n:])]
		if full {
			c.wake.Broadcast()
		}
		return n, nil
	case c.ended:
		return 0, io.EOF
	}
	return 0, ErrWait
}

// Write implements Conn.
func (c *insideConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed || c.noWrite:
		return 0, ErrClosed
	case c.ended:
		return 0, ErrReset
	}
	n := min(len(b), max(0, insideRoom-len(c.out)))
	c.out = append(c.out, b[:n]...)
	c.held = n < len(b)
	if n > 0 {
		c.wake.Broadcast()
		c.m.roused.Store(true)
	}
	return n, nil
}

// Quiet implements Conn.
func (c *insideConn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.ended && len(c.in) == 0
}

// End implements Conn.
func (c *insideConn) End() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
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
	c.noWrite = true
	c.wake.Broadcast()
	return nil
}

// Close implements Conn.
func (c *insideConn) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.h = nil
	c.in, c.out = nil, nil
	c.wake.Broadcast()
}

// Local and Remote implement Conn.
func (c *insideConn) Local() string  { return "" }
func (c *insideConn) Remote() string { return "" }

// insideEnd is the worker's end. Its reads wait.
type insideEnd struct{ c *insideConn }

func (e insideEnd) Read(b []byte) (int, error) {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.out) == 0 {
		if c.closed || c.noWrite || c.ended {
			return 0, io.EOF
		}
		c.wake.Wait()
	}
	full := len(c.out) >= insideRoom
	n := copy(b, c.out)
	c.out = c.out[:copy(c.out, c.out[n:])]
	if full {
		c.notice()
	}
	return n, nil
}

func (e insideEnd) Write(b []byte) (int, error) {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	put := 0
	for put < len(b) {
		if c.closed || c.ended {
			return put, io.ErrClosedPipe
		}
		n := min(len(b)-put, insideRoom-len(c.in))
		if n == 0 {
			c.wake.Wait()
			continue
		}
		c.in = append(c.in, b[put:put+n]...)
		put += n
		c.notice()
	}
	return put, nil
}

func (e insideEnd) Close() error {
	c := e.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.notice()
	return nil
}

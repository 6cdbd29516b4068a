package machine

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// eventTimeout bounds each wait for an event that must occur. It does not affect the result on a correct machine.
const eventTimeout = 20 * time.Second

// await receives the next value from ch and fails the test if none arrives in time.
func await[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(eventTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// loopRig is a machine whose event loop runs in a separate goroutine until the test ends.
type loopRig struct {
	t *testing.T
	*Real
	ended chan struct{}
}

func startLoop(t *testing.T, opts Options) *loopRig {
	t.Helper()
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	m, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	r := &loopRig{t, m, make(chan struct{})}
	go func() {
		m.Run()
		close(r.ended)
	}()
	t.Cleanup(r.stopAndWait)
	return r
}

func (r *loopRig) stopAndWait() {
	r.Stop()
	await(r.t, "Run to return", r.ended)
}

// runInLoop runs f in the event loop and waits for it to return.
func (r *loopRig) runInLoop(f func()) {
	r.t.Helper()
	done := make(chan struct{})
	r.Post(func() {
		defer close(done)
		f()
	})
	await(r.t, "a posted function to return", done)
}

// waitTurns waits until the event loop has run three functions that were posted one after another.
func (r *loopRig) waitTurns() {
	r.t.Helper()
	for range 3 {
		r.runInLoop(func() {})
	}
}

// listen opens a listener at a free port, which passes its connections to accept, and returns its address.
func (r *loopRig) listen(accept func(Conn) Handler) (addr string, l Listener) {
	r.t.Helper()
	r.runInLoop(func() {
		var err error
		if l, err = r.Listen("127.0.0.1:0", accept); err != nil {
			r.t.Error(err)
			return
		}
		addr = l.Addr()
	})
	if r.t.Failed() {
		r.t.FailNow()
	}
	return addr, l
}

// pair returns a connection that the machine accepted, with the given handler, and the client's end of it.
func (r *loopRig) pair(h Handler) (Conn, *net.TCPConn) {
	r.t.Helper()
	accepted := make(chan Conn, 1)
	addr, l := r.listen(func(c Conn) Handler {
		accepted <- c
		return h
	})
	other := r.connect(addr)
	c := await(r.t, "the accepted connection", accepted)
	r.runInLoop(l.Close)
	return c, other
}

func (r *loopRig) connect(addr string) *net.TCPConn {
	r.t.Helper()
	c, err := net.DialTimeout("tcp", addr, eventTimeout)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(eventTimeout))
	return c.(*net.TCPConn)
}

// funcHandler is a Handler that calls the given functions; a nil function does nothing.
type funcHandler struct{ readable, writable func() }

func (h *funcHandler) Readable() {
	if h.readable != nil {
		h.readable()
	}
}

func (h *funcHandler) Writable() {
	if h.writable != nil {
		h.writable()
	}
}

// drain reads all received bytes and returns them with the error that ended the reading.
func drain(c Conn) (got []byte, err error) {
	var b [4096]byte
	for {
		n, err := c.Read(b[:])
		got = append(got, b[:n]...)
		if err != nil {
			return got, err
		}
	}
}

// waitUntilReadable waits until every connection has something to read. It blocks the event loop, so that the wait ends in the same turn.
func waitUntilReadable(t testing.TB, conns ...Conn) {
	for end := time.Now().Add(eventTimeout); ; {
		n := 0
		for _, c := range conns {
			if !c.HasNothingUnread() {
				n++
			}
		}
		if n == len(conns) {
			return
		}
		if time.Now().After(end) {
			t.Error("timed out waiting for readable connections")
			return
		}
	}
}

// fullBacklogAddress returns the address of a listener that accepts nothing and whose backlog is full, so that a dial to it never completes.
func fullBacklogAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	addr := localAddr(fd).String()
	for range 10 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return addr
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the backlog of the listener did not fill up after 10 connections")
	return ""
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// loopbackAddresses returns a loopback address with port 0 for each address family that the host supports.
func loopbackAddresses() []string {
	all := []string{"127.0.0.1:0"}
	if l, err := net.Listen("tcp", "[::1]:0"); err == nil {
		l.Close()
		all = append(all, "[::1]:0")
	}
	return all
}

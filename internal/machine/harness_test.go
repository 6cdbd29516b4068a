package machine

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// patience is how long a test waits for what must come. It decides no verdict of a sound machine.
const patience = 20 * time.Second

// await takes the next value, which must come.
func await[T any](t testing.TB, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// rig is a machine whose loop runs in a goroutine of its own until the test's end.
type rig struct {
	t *testing.T
	*Real
	ended chan struct{}
}

func newRig(t *testing.T, opts Options) *rig {
	t.Helper()
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	m, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t, m, make(chan struct{})}
	go func() {
		m.Run()
		close(r.ended)
	}()
	t.Cleanup(r.end)
	return r
}

func (r *rig) end() {
	r.Stop()
	await(r.t, "the end of Run", r.ended)
}

// do calls f in the loop and waits for its end.
func (r *rig) do(f func()) {
	r.t.Helper()
	done := make(chan struct{})
	r.Post(func() {
		defer close(done)
		f()
	})
	await(r.t, "a posted function", done)
}

// pass lets the loop make a few whole turns.
func (r *rig) pass() {
	r.t.Helper()
	for range 3 {
		r.do(func() {})
	}
}

// listen has accept called with the connections that come in at a free port, and returns the address.
func (r *rig) listen(accept func(Conn) Handler) (addr string, l Listener) {
	r.t.Helper()
	r.do(func() {
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

// pair is a connection that the machine took in, with the given handler, and its other end.
func (r *rig) pair(h Handler) (Conn, *net.TCPConn) {
	r.t.Helper()
	in := make(chan Conn, 1)
	addr, l := r.listen(func(c Conn) Handler {
		in <- c
		return h
	})
	other := r.connect(addr)
	c := await(r.t, "the connection", in)
	r.do(l.Close)
	return c, other
}

func (r *rig) connect(addr string) *net.TCPConn {
	r.t.Helper()
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c.(*net.TCPConn)
}

// hooks is a Handler made of functions; nil ones do nothing.
type hooks struct{ readable, writable func() }

func (h *hooks) Readable() {
	if h.readable != nil {
		h.readable()
	}
}

func (h *hooks) Writable() {
	if h.writable != nil {
		h.writable()
	}
}

// drain reads all that has come.
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

// unquiet waits, in the loop and thus within one turn, until something waits to be read.
func unquiet(t testing.TB, conns ...Conn) {
	for end := time.Now().Add(patience); ; {
		n := 0
		for _, c := range conns {
			if !c.Quiet() {
				n++
			}
		}
		if n == len(conns) {
			return
		}
		if time.Now().After(end) {
			t.Error("nothing came to be read")
			return
		}
	}
}

// fullAddress is where no connection comes up: its listener takes none in and its queue is full.
func fullAddress(t *testing.T) string {
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
	t.Fatal("the queue of a listener never got full")
	return ""
}

// closedAddress is where nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	return l.Addr().String()
}

// loopbacks is a free port of each family that this machine has.
func loopbacks() []string {
	all := []string{"127.0.0.1:0"}
	if l, err := net.Listen("tcp", "[::1]:0"); err == nil {
		l.Close()
		all = append(all, "[::1]:0")
	}
	return all
}

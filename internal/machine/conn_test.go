package machine

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// echo sends back what comes, in the order in which it came, and reads no more than it can send.
type echo struct {
	c     Conn
	buf   [16 << 10]byte
	rest  []byte
	ended bool
	short func() // told of each write that took less
}

func (e *echo) Readable() { e.work() }
func (e *echo) Writable() { e.work() }

func (e *echo) work() {
	for {
		n, err := e.c.Write(e.rest)
		if err != nil {
			e.c.Close()
			return
		}
		if e.rest = e.rest[n:]; len(e.rest) > 0 {
			e.short()
			return
		}
		if e.ended {
			e.c.Close()
			return
		}
		n, err = e.c.Read(e.buf[:])
		switch {
		case err == ErrWait:
			return
		case err == io.EOF:
			e.ended = true
		case err != nil:
			e.c.Close()
			return
		}
		e.rest = e.buf[:n]
	}
}

func TestConnEchoesThroughShortWritesUntilHalfClose(t *testing.T) {
	r := newRig(t, Options{})
	var once sync.Once
	short := make(chan struct{})
	addr, _ := r.listen(func(c Conn) Handler {
		return &echo{c: c, short: func() { once.Do(func() { close(short) }) }}
	})

	const conns = 64
	var all sync.WaitGroup
	for i := range conns {
		c := r.connect(addr)
		c.SetReadBuffer(32 << 10)
		sent := make([]byte, 256<<10)
		if i == 0 {
			sent = make([]byte, 16<<20) // more than all buffers between hold
		}
		rand.New(rand.NewSource(int64(i))).Read(sent)
		all.Go(func() {
			if _, err := c.Write(sent); err != nil {
				t.Errorf("connection %d: %v", i, err)
			}
			c.CloseWrite()
		})
		all.Go(func() {
			if i == 0 {
				await(t, "a short write", short) // before anything is read
			}
			got, err := io.ReadAll(c)
			if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("connection %d: %d of %d bytes came back, or others: %v", i, len(got), len(sent), err)
			}
		})
	}
	all.Wait()
}

func TestShortWriteIsFollowedByWritable(t *testing.T) {
	r := newRig(t, Options{})
	rest := make([]byte, 16<<20) // more than all buffers between hold
	rand.New(rand.NewSource(1)).Read(rest)
	want := bytes.Clone(rest)
	h := &hooks{}
	c, other := r.pair(h) // the other side sends nothing, so that Readable is no help
	h.writable = func() {
		n, err := c.Write(rest)
		if err != nil {
			t.Error(err)
		}
		if rest = rest[n:]; len(rest) == 0 {
			c.Close()
		}
	}
	r.do(func() {
		h.writable()
		if len(rest) == 0 {
			t.Error("the machine took all at once: the test shows nothing")
		}
	})
	if got, err := io.ReadAll(other); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d of %d bytes came, or others: %v", len(got), len(want), err)
	}
}

func TestConnAddressesAndCloseWrite(t *testing.T) {
	for _, at := range loopbacks() {
		t.Run(at, func(t *testing.T) { halfClose(t, at) })
	}
}

func halfClose(t *testing.T, at string) {
	a, b := newRig(t, Options{}), newRig(t, Options{})
	type seen struct {
		local, remote string
		got           []byte
	}
	ends := make(chan seen, 2)
	var addr string
	b.do(func() {
		l, err := b.Listen(at, func(c Conn) Handler {
			var got []byte
			return &hooks{readable: func() {
				more, err := drain(c)
				got = append(got, more...)
				if err != io.EOF {
					return
				}
				if _, err := c.Write([]byte("pong")); err != nil { // the other direction is open still
					t.Error(err)
				}
				ends <- seen{c.Local(), c.Remote(), got}
				c.Close()
			}}
		})
		if err != nil {
			t.Error(err)
			return
		}
		addr = l.Addr()
	})
	a.do(func() {
		a.Dial(addr, 5_000_000, func(c Conn, err error) Handler {
			if err != nil {
				t.Error(err)
				return nil
			}
			if n, err := c.Write([]byte("ping")); n != 4 || err != nil {
				t.Error(n, err)
			}
			if err := c.CloseWrite(); err != nil {
				t.Error(err)
			}
			if _, err := c.Write([]byte("more")); err != ErrClosed {
				t.Errorf("a write after CloseWrite gives %v", err)
			}
			var got []byte
			return &hooks{readable: func() {
				more, err := drain(c)
				if got = append(got, more...); err == io.EOF {
					ends <- seen{c.Remote(), c.Local(), got}
				}
			}}
		})
	})
	first, second := await(t, "the first end", ends), await(t, "the second end", ends)
	if string(first.got) != "ping" || string(second.got) != "pong" {
		t.Errorf("%q and %q came", first.got, second.got)
	}
	if first.local != addr || first.local != second.local || first.remote != second.remote {
		t.Errorf("the addresses differ: %+v, %+v, listener %s", first, second, addr)
	}
}

func TestPeerResetFailsReadAndWrite(t *testing.T) {
	for _, writeFirst := range []bool{false, true} {
		r := newRig(t, Options{})
		told := make(chan struct{}, 8)
		c, other := r.pair(&hooks{readable: func() { told <- struct{}{} }})
		other.SetLinger(0)
		other.Close()
		await(t, "word of the reset", told)
		r.do(func() {
			if c.Quiet() {
				t.Error("a broken connection is quiet")
			}
		})
		r.do(func() {
			for i := range 4 {
				var err error
				if (i%2 == 0) == writeFirst {
					_, err = c.Write([]byte("x"))
				} else {
					_, err = c.Read(make([]byte, 1))
				}
				// The kernel tells it once, and that look was it: the machine keeps it.
				if !errors.Is(err, ErrReset) {
					t.Errorf("write first %v: call %d after a reset gives %v", writeFirst, i, err)
				}
			}
		})
	}
}

func TestQuietConsumesNothing(t *testing.T) {
	r := newRig(t, Options{})
	told := make(chan struct{}, 8)
	c, other := r.pair(&hooks{readable: func() { told <- struct{}{} }})
	r.do(func() {
		if !c.Quiet() {
			t.Error("a connection on which nothing came is not quiet")
		}
	})
	other.Write([]byte("abc"))
	await(t, "word of the bytes", told)
	r.do(func() {
		for range 2 { // the first look takes nothing out
			if c.Quiet() {
				t.Error("a connection is quiet although bytes wait in it")
			}
		}
		got, err := drain(c)
		if string(got) != "abc" || err != ErrWait {
			t.Errorf("%q, %v", got, err)
		}
		if !c.Quiet() {
			t.Error("a connection is not quiet although all was read")
		}
	})
	other.CloseWrite()
	await(t, "word of the end", told)
	r.do(func() {
		if c.Quiet() {
			t.Error("a connection that the other side has ended is quiet")
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("at the end Read gives %v", err)
		}
		c.Close()
		c.Close()
		if c.Quiet() {
			t.Error("a closed connection is quiet")
		}
		if _, err := c.Read(make([]byte, 1)); err != ErrClosed {
			t.Errorf("after Close Read gives %v", err)
		}
		if _, err := c.Write([]byte("x")); err != ErrClosed {
			t.Errorf("after Close Write gives %v", err)
		}
		if err := c.CloseWrite(); err != ErrClosed {
			t.Errorf("after Close CloseWrite gives %v", err)
		}
	})
}

// An end that arrives with the last bytes has no event of its own, as Read saves the call that would find it.
func TestEndIsReadAfterLastBytes(t *testing.T) {
	r := newRig(t, Options{})
	ended := make(chan string, 1)
	var c Conn
	var got []byte
	h := &hooks{readable: func() {
		more, err := drain(c)
		if got = append(got, more...); err == io.EOF {
			ended <- string(got)
		}
	}}
	c, other := r.pair(h)
	r.do(func() { // both come within one turn
		other.Write([]byte("last"))
		other.CloseWrite()
		unquiet(t, c)
	})
	if s := await(t, "the end", ended); s != "last" {
		t.Errorf("%q came", s)
	}
}

func TestClosedConnGetsNoEventOfSameTurn(t *testing.T) {
	r := newRig(t, Options{})
	var conns [2]Conn
	calls := 0
	one := func() {
		calls++
		conns[0].Close()
		conns[1].Close()
	}
	var others [2]*net.TCPConn
	for i := range conns {
		conns[i], others[i] = r.pair(&hooks{readable: one})
	}
	r.do(func() {
		for _, o := range others {
			o.Write([]byte("x"))
		}
		unquiet(t, conns[:]...)
	})
	r.pass()
	r.do(func() {
		if calls != 1 {
			t.Errorf("%d calls came, of which one could be told before the Close", calls)
		}
	})
}

func TestEventOfClosedConnDoesNotReachReusedDescriptor(t *testing.T) {
	r := newRig(t, Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns [2]Conn
	var fds []int
	calls, wrong := 0, 0
	up := make(chan Conn, 1)
	one := func() {
		calls++
		for _, c := range conns {
			fds = append(fds, c.(*conn).fd)
			c.Close()
		}
		r.Dial(l.Addr().String(), 5_000_000, func(c Conn, err error) Handler {
			if err != nil {
				t.Error(err)
				return nil
			}
			up <- c
			return &hooks{readable: func() { wrong++ }}
		})
	}
	var others [2]*net.TCPConn
	for i := range conns {
		conns[i], others[i] = r.pair(&hooks{readable: one})
	}
	r.do(func() {
		fill(t, conns[0].(*conn).fd, conns[1].(*conn).fd)
		for _, o := range others {
			o.Write([]byte("x"))
		}
		unquiet(t, conns[:]...)
	})
	c := await(t, "the new connection", up)
	r.pass()
	r.do(func() {
		if fd := c.(*conn).fd; fd != fds[0] && fd != fds[1] {
			t.Errorf("the new connection has descriptor %d, not one of %v: the test shows nothing", fd, fds)
		}
		if calls != 1 || wrong != 0 {
			t.Errorf("the closed ones were called %d times, the new one %d times", calls, wrong)
		}
	})
}

// fill takes all descriptors below the given ones that are free.
func fill(t *testing.T, fds ...int) {
	for {
		fd, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
		if err != nil {
			t.Error(err)
			return
		}
		if fd > slices.Max(fds) {
			syscall.Close(fd)
			return
		}
		t.Cleanup(func() { syscall.Close(fd) })
	}
}

// TestEndIsSeenWithinBlockedTurn: the process is held up in a turn, and the other side leaves meanwhile. The kernel told
// of nothing when the turn began.
func TestEndIsSeenWithinBlockedTurn(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, Options{})
			c, other := r.pair(&hooks{})
			r.do(func() {
				if err := c.End(); err != nil {
					t.Errorf("an open connection has ended: %v", err)
				}
				leave(other)
				for end := time.Now().Add(patience); c.End() == nil; {
					if time.Now().After(end) {
						t.Error("the end is not seen in this turn")
						return
					}
				}
			})
		})
	}
}

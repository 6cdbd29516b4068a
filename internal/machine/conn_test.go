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

// echo is a Handler that sends all received bytes back in order. It reads again only after it has sent all that it read before.
type echo struct {
	c            Conn
	buf          [16 << 10]byte
	unsent       []byte
	ended        bool
	onShortWrite func() // called after each short write
}

func (e *echo) Readable() { e.relay() }
func (e *echo) Writable() { e.relay() }

func (e *echo) relay() {
	for {
		n, err := e.c.Write(e.unsent)
		if err != nil {
			e.c.Close()
			return
		}
		if e.unsent = e.unsent[n:]; len(e.unsent) > 0 {
			e.onShortWrite()
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
		e.unsent = e.buf[:n]
	}
}

func TestConnEchoesThroughShortWritesUntilHalfClose(t *testing.T) {
	r := startLoop(t, Options{})
	var once sync.Once
	short := make(chan struct{})
	addr, _ := r.listen(func(c Conn) Handler {
		return &echo{c: c, onShortWrite: func() { once.Do(func() { close(short) }) }}
	})

	const conns = 64
	var all sync.WaitGroup
	for i := range conns {
		c := r.connect(addr)
		c.SetReadBuffer(32 << 10)
		sent := make([]byte, 256<<10)
		if i == 0 {
			sent = make([]byte, 16<<20) // more than the socket buffers on both sides hold
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
				await(t, "a short write", short) // must occur before the client reads anything
			}
			got, err := io.ReadAll(c)
			if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("connection %d: got %d bytes back, want the %d sent bytes unchanged: error %v", i, len(got), len(sent), err)
			}
		})
	}
	all.Wait()
}

func TestShortWriteIsFollowedByWritable(t *testing.T) {
	r := startLoop(t, Options{})
	rest := make([]byte, 16<<20) // more than the socket buffers on both sides hold
	rand.New(rand.NewSource(1)).Read(rest)
	want := bytes.Clone(rest)
	h := &funcHandler{}
	c, other := r.pair(h) // the peer sends nothing, so that only Writable can continue the write
	h.writable = func() {
		n, err := c.Write(rest)
		if err != nil {
			t.Error(err)
		}
		if rest = rest[n:]; len(rest) == 0 {
			c.Close()
		}
	}
	r.runInLoop(func() {
		h.writable()
		if len(rest) == 0 {
			t.Error("the first write took all bytes, want a short write")
		}
	})
	if got, err := io.ReadAll(other); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %d bytes, want the %d written bytes unchanged: error %v", len(got), len(want), err)
	}
}

func TestConnAddressesAndCloseWrite(t *testing.T) {
	for _, at := range loopbackAddresses() {
		t.Run(at, func(t *testing.T) { testHalfClose(t, at) })
	}
}

func testHalfClose(t *testing.T, at string) {
	a, b := startLoop(t, Options{}), startLoop(t, Options{})
	type connEnd struct {
		local, remote string
		got           []byte
	}
	ends := make(chan connEnd, 2)
	var addr string
	b.runInLoop(func() {
		l, err := b.Listen(at, func(c Conn) Handler {
			var got []byte
			return &funcHandler{readable: func() {
				more, err := drain(c)
				got = append(got, more...)
				if err != io.EOF {
					return
				}
				if _, err := c.Write([]byte("pong")); err != nil { // the peer closed only its own direction
					t.Error(err)
				}
				ends <- connEnd{c.Local(), c.Remote(), got}
				c.Close()
			}}
		})
		if err != nil {
			t.Error(err)
			return
		}
		addr = l.Addr()
	})
	a.runInLoop(func() {
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
				t.Errorf("Write after CloseWrite: got error %v, want ErrClosed", err)
			}
			var got []byte
			return &funcHandler{readable: func() {
				more, err := drain(c)
				if got = append(got, more...); err == io.EOF {
					ends <- connEnd{c.Remote(), c.Local(), got}
				}
			}}
		})
	})
	first, second := await(t, "the end of stream at the first side", ends), await(t, "the end of stream at the second side", ends)
	if string(first.got) != "ping" || string(second.got) != "pong" {
		t.Errorf("got %q and %q, want \"ping\" and \"pong\"", first.got, second.got)
	}
	if first.local != addr || first.local != second.local || first.remote != second.remote {
		t.Errorf("addresses do not match: first side %+v, second side %+v, listener %s", first, second, addr)
	}
}

func TestPeerResetFailsReadAndWrite(t *testing.T) {
	for _, writeFirst := range []bool{false, true} {
		r := startLoop(t, Options{})
		notified := make(chan struct{}, 8)
		c, other := r.pair(&funcHandler{readable: func() { notified <- struct{}{} }})
		other.SetLinger(0)
		other.Close()
		await(t, "the notification of the reset", notified)
		r.runInLoop(func() {
			if c.HasNothingUnread() {
				t.Error("HasNothingUnread on a reset connection: got true, want false")
			}
		})
		r.runInLoop(func() {
			for i := range 4 {
				var err error
				if (i%2 == 0) == writeFirst {
					_, err = c.Write([]byte("x"))
				} else {
					_, err = c.Read(make([]byte, 1))
				}
				// The kernel reports the reset once, to the call of HasNothingUnread above, so the machine must remember it.
				if !errors.Is(err, ErrReset) {
					t.Errorf("write first %v: call %d after a reset: got error %v, want ErrReset", writeFirst, i, err)
				}
			}
		})
	}
}

func TestQuietConsumesNothing(t *testing.T) {
	r := startLoop(t, Options{})
	notified := make(chan struct{}, 8)
	c, other := r.pair(&funcHandler{readable: func() { notified <- struct{}{} }})
	r.runInLoop(func() {
		if !c.HasNothingUnread() {
			t.Error("HasNothingUnread before any bytes arrived: got false, want true")
		}
	})
	other.Write([]byte("abc"))
	await(t, "the notification of the bytes", notified)
	r.runInLoop(func() {
		for range 2 { // the first call must not consume anything
			if c.HasNothingUnread() {
				t.Error("HasNothingUnread with unread bytes: got true, want false")
			}
		}
		got, err := drain(c)
		if string(got) != "abc" || err != ErrWait {
			t.Errorf("drain: got %q and error %v, want \"abc\" and ErrWait", got, err)
		}
		if !c.HasNothingUnread() {
			t.Error("HasNothingUnread after all bytes were read: got false, want true")
		}
	})
	other.CloseWrite()
	await(t, "the notification of the end of stream", notified)
	r.runInLoop(func() {
		if c.HasNothingUnread() {
			t.Error("HasNothingUnread after the peer closed its direction: got true, want false")
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("Read at the end of stream: got error %v, want io.EOF", err)
		}
		c.Close()
		c.Close()
		if c.HasNothingUnread() {
			t.Error("HasNothingUnread after Close: got true, want false")
		}
		if _, err := c.Read(make([]byte, 1)); err != ErrClosed {
			t.Errorf("Read after Close: got error %v, want ErrClosed", err)
		}
		if _, err := c.Write([]byte("x")); err != ErrClosed {
			t.Errorf("Write after Close: got error %v, want ErrClosed", err)
		}
		if err := c.CloseWrite(); err != ErrClosed {
			t.Errorf("CloseWrite after Close: got error %v, want ErrClosed", err)
		}
	})
}

// An end of stream that arrives together with the last bytes causes no separate event, and Read saves the system call that
// would detect it. The handler must see the end nevertheless.
func TestEndIsReadAfterLastBytes(t *testing.T) {
	r := startLoop(t, Options{})
	ended := make(chan string, 1)
	var c Conn
	var got []byte
	h := &funcHandler{readable: func() {
		more, err := drain(c)
		if got = append(got, more...); err == io.EOF {
			ended <- string(got)
		}
	}}
	c, other := r.pair(h)
	r.runInLoop(func() { // the bytes and the end of stream arrive within one turn
		other.Write([]byte("last"))
		other.CloseWrite()
		waitUntilReadable(t, c)
	})
	if s := await(t, "the end of stream", ended); s != "last" {
		t.Errorf("got %q, want \"last\"", s)
	}
}

func TestClosedConnGetsNoEventOfSameTurn(t *testing.T) {
	r := startLoop(t, Options{})
	var conns [2]Conn
	calls := 0
	closeBoth := func() {
		calls++
		conns[0].Close()
		conns[1].Close()
	}
	var others [2]*net.TCPConn
	for i := range conns {
		conns[i], others[i] = r.pair(&funcHandler{readable: closeBoth})
	}
	r.runInLoop(func() {
		for _, o := range others {
			o.Write([]byte("x"))
		}
		waitUntilReadable(t, conns[:]...)
	})
	r.waitTurns()
	r.runInLoop(func() {
		if calls != 1 {
			t.Errorf("got %d calls of Readable, want 1: the first call closes both connections", calls)
		}
	})
}

func TestEventOfClosedConnDoesNotReachReusedDescriptor(t *testing.T) {
	r := startLoop(t, Options{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var conns [2]Conn
	var fds []int
	calls, callsOfNew := 0, 0
	connected := make(chan Conn, 1)
	closeBoth := func() {
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
			connected <- c
			return &funcHandler{readable: func() { callsOfNew++ }}
		})
	}
	var others [2]*net.TCPConn
	for i := range conns {
		conns[i], others[i] = r.pair(&funcHandler{readable: closeBoth})
	}
	r.runInLoop(func() {
		occupyDescriptors(t, conns[0].(*conn).fd, conns[1].(*conn).fd)
		for _, o := range others {
			o.Write([]byte("x"))
		}
		waitUntilReadable(t, conns[:]...)
	})
	c := await(t, "the new connection", connected)
	r.waitTurns()
	r.runInLoop(func() {
		if fd := c.(*conn).fd; fd != fds[0] && fd != fds[1] {
			t.Errorf("the new connection has descriptor %d, want one of the closed descriptors %v", fd, fds)
		}
		if calls != 1 || callsOfNew != 0 {
			t.Errorf("got %d calls for the closed connections and %d for the new one, want 1 and 0", calls, callsOfNew)
		}
	})
}

// occupyDescriptors occupies every free descriptor below the highest of the given ones.
func occupyDescriptors(t *testing.T, fds ...int) {
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

// TestEndIsSeenWithinBlockedTurn guards against a connection that looks open because the peer closed it while a turn was
// blocked: the kernel reported no event for it at the beginning of the turn.
func TestEndIsSeenWithinBlockedTurn(t *testing.T) {
	for name, closePeer := range map[string]func(*net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := startLoop(t, Options{})
			c, other := r.pair(&funcHandler{})
			r.runInLoop(func() {
				if err := c.EndError(); err != nil {
					t.Errorf("EndError on an open connection: got %v, want nil", err)
				}
				closePeer(other)
				for end := time.Now().Add(eventTimeout); c.EndError() == nil; {
					if time.Now().After(end) {
						t.Error("End did not report the peer's close within the turn")
						return
					}
				}
			})
		})
	}
}

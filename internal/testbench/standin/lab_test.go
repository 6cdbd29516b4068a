package standin

import (
	"container/heap"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
)

// lab is a machine.Machine with a virtual clock, on which written bytes arrive in the next turn.
type lab struct {
	now       Time
	seq       int
	events    labEvents
	listeners map[string]*labListener
	port      int
}

type labEvent struct {
	at  Time
	seq int
	f   func()
}

func (e *labEvent) Stop() { e.f = nil }

type labEvents []*labEvent

func (h labEvents) Len() int      { return len(h) }
func (h labEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *labEvents) Push(x any)   { *h = append(*h, x.(*labEvent)) }
func (h labEvents) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h *labEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// maxEvents is the event limit that ends a test whose events never stop.
const maxEvents = 5_000_000

func newLab() *lab { return &lab{now: 1000 * Second, listeners: map[string]*labListener{}, port: 1000} }

// run processes all events up to d from now.
func (l *lab) run(t testing.TB, d Time) {
	t.Helper()
	until := l.now + d
	for n := 0; len(l.events) > 0 && l.events[0].at <= until; n++ {
		if n > maxEvents {
			t.Fatal("too many events: the lab does not come to rest")
		}
		e := heap.Pop(&l.events).(*labEvent)
		if e.f != nil {
			l.now = max(l.now, e.at)
			e.f()
		}
	}
	l.now = until
}

func (l *lab) Now() Time             { return l.now }
func (l *lab) Wall() Time            { return l.now }
func (l *lab) Entropy() uint64       { return 4 }
func (l *lab) ClockLag() Time        { return 0 }
func (l *lab) OnResume(Time, func()) {}
func (l *lab) At(t Time, f func()) machine.Timer {
	l.seq++
	e := &labEvent{max(t, l.now), l.seq, f}
	heap.Push(&l.events, e)
	return e
}
func (l *lab) Post(f func())       { l.At(l.now, f) }
func (l *lab) Work(f, done func()) { l.Post(func() { f(); done() }) }

func (l *lab) Listen(addr string, accept func(machine.Conn) machine.Handler) (machine.Listener, error) {
	host, port, _ := strings.Cut(addr, ":")
	if port == "0" {
		l.port++
		addr = host + ":" + strconv.Itoa(l.port)
	}
	if l.listeners[addr] != nil {
		return nil, errors.New("in use")
	}
	d := &labListener{l: l, addr: addr, accept: accept}
	l.listeners[addr] = d
	return d, nil
}

type labListener struct {
	l      *lab
	addr   string
	accept func(machine.Conn) machine.Handler
	paused bool
	queue  []*labConn
}

func (d *labListener) Addr() string { return d.addr }
func (d *labListener) Pause()       { d.paused = true }
func (d *labListener) Close()       { delete(d.l.listeners, d.addr) }
func (d *labListener) Resume() {
	d.paused = false
	for _, c := range d.queue {
		d.deliver(c)
	}
	d.queue = nil
}
func (d *labListener) Finish(done func()) {
	d.Resume()
	d.Close()
	d.l.Post(done)
}
func (d *labListener) deliver(c *labConn) {
	d.l.Post(func() {
		c.handler = d.accept(c)
		c.notifyReadable()
	})
}

func (l *lab) Dial(addr string, _ Time, done func(machine.Conn, error) machine.Handler) machine.Dialing {
	return l.At(l.now, func() {
		d := l.listeners[addr]
		if d == nil {
			done(nil, machine.ErrRefused)
			return
		}
		l.port++
		here := &labConn{l: l, local: "10.0.0.1:" + strconv.Itoa(l.port), remote: addr}
		there := &labConn{l: l, local: addr, remote: here.local, peer: here}
		here.peer = there
		if d.paused {
			d.queue = append(d.queue, there)
		} else {
			d.deliver(there)
		}
		here.handler = done(here, nil)
		here.notifyReadable()
	}).(*labEvent)
}

// Cancel makes the event of a pending dial a machine.Dialing.
func (e *labEvent) Cancel()       { e.f = nil }
func (e *labEvent) Blocked() bool { return false }

func (l *lab) ListenPacket(string, func(string, []byte)) (machine.PacketConn, error) {
	return nil, errors.New("the lab has no datagrams")
}
func (l *lab) Spawn(machine.Worker, func(machine.Conn, error) machine.Handler) machine.Process {
	panic("the lab has no workers")
}

func (l *lab) ReadFile(string, int64) ([]byte, error) { return nil, errors.New("the lab has no files") }

// OnDisk implements machine.Machine. No stand-in uses files.
func (l *lab) OnDisk(func(machine.Disk), func()) { panic("the lab has no disk") }
func (l *lab) OnSignal(func(machine.Signal))     {}
func (l *lab) Log(string)                        {}

// labBufferSize is the maximum of unread bytes on a connection.
const labBufferSize = 64 << 10

type labConn struct {
	l             *lab
	peer          *labConn
	handler       machine.Handler
	local, remote string
	in            []byte
	end, reset    bool // of the peer's sending
	closed        bool
	wantsWrite    bool
}

func (c *labConn) notifyReadable() {
	c.l.Post(func() {
		if !c.closed && c.handler != nil && (len(c.in) > 0 || c.end || c.reset) {
			c.handler.Readable()
		}
	})
}

func (c *labConn) Read(b []byte) (int, error) {
	switch {
	case c.closed:
		return 0, machine.ErrClosed
	case c.reset:
		return 0, machine.ErrReset
	case len(c.in) > 0:
		n := copy(b, c.in)
		c.in = c.in[n:]
		if p := c.peer; p.wantsWrite && !p.closed {
			p.wantsWrite = false
			c.l.Post(func() {
				if !p.closed {
					p.handler.Writable()
				}
			})
		}
		return n, nil
	case c.end:
		return 0, io.EOF
	}
	return 0, machine.ErrWait
}

func (c *labConn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, machine.ErrClosed
	}
	if c.reset || c.peer.closed {
		c.reset = true
		c.notifyReadable()
		return 0, machine.ErrReset
	}
	n := min(len(b), labBufferSize-len(c.peer.in))
	c.peer.in = append(c.peer.in, b[:n]...)
	c.wantsWrite = n < len(b)
	c.peer.notifyReadable()
	return n, nil
}

func (c *labConn) Arrival() (first, last machine.Time) { return c.l.now, c.l.now }
func (c *labConn) Abort()                              { c.Close() }
func (c *labConn) HasUndelivered() bool                { return false }
func (c *labConn) HasNothingUnread() bool              { return !c.closed && !c.end && !c.reset && len(c.in) == 0 }
func (c *labConn) EndError() error {
	switch {
	case c.reset:
		return machine.ErrReset
	case c.end:
		return io.EOF
	}
	return nil
}
func (c *labConn) CloseWrite() error {
	c.peer.end = true
	c.peer.notifyReadable()
	return nil
}
func (c *labConn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.peer.end = true
	c.peer.reset = c.peer.reset || len(c.in) > 0
	c.peer.notifyReadable()
}
func (c *labConn) Local() string  { return c.local }
func (c *labConn) Remote() string { return c.remote }

// peer is the test's end of a connection.
type peer struct {
	conn  machine.Conn
	got   []byte
	end   error // error that ended the connection
	err   error // dial error
	reads bool
}

func (l *lab) dial(t testing.TB, addr string) *peer {
	t.Helper()
	w := &peer{reads: true}
	l.Dial(addr, Second, func(c machine.Conn, err error) machine.Handler {
		w.conn, w.err = c, err
		return w
	})
	l.run(t, 0)
	return w
}

func (w *peer) Writable() {}
func (w *peer) Readable() {
	var b [4096]byte
	for w.reads && w.end == nil {
		n, err := w.conn.Read(b[:])
		w.got = append(w.got, b[:n]...)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		w.end = err
	}
}

func (w *peer) send(t testing.TB, text string) {
	t.Helper()
	if n, err := w.conn.Write([]byte(text)); n != len(text) {
		t.Fatalf("sent %d of %d bytes: %v", n, len(text), err)
	}
}

// take returns the bytes received since the last call.
func (w *peer) take() string {
	s := string(w.got)
	w.got = nil
	return s
}

// words returns a command encoded in RESP.
func words(args ...string) string {
	s := "*" + strconv.Itoa(len(args)) + "\r\n"
	for _, a := range args {
		s += "$" + strconv.Itoa(len(a)) + "\r\n" + a + "\r\n"
	}
	return s
}

func get(key, id string) string { return words("C.GET", key, id, "c=call-lookup,t=a,d=1200") }

func put(key, id, idem string) string {
	return words("C.SET", key, id, "c=add-contact,t=a,d=1200,k="+idem, "new")
}

// hit returns the reply to a read; how is hit, miss or pending.
func hit(key, id, how string) string { return served("v", key, id, how) }

func served(kind, key, id, how string) string {
	v := kind + ":" + id + ":" + key
	s := "*3\r\n$" + strconv.Itoa(len(v)) + "\r\n" + v + "\r\n"
	if how == "" {
		return s + "$-1\r\n$-1\r\n"
	}
	return s + "$" + strconv.Itoa(len(how)) + "\r\n" + how + "\r\n$-1\r\n"
}

func newTestRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

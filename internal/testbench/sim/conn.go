package sim

import (
	"io"
	"net/netip"

	"starlingwinch/internal/machine"
)

// Conn is one end of a connection: a machine.Conn that can also be reset.
//
// Each direction has a window. What one end has written and the other has not read counts against it,
// and room comes back as a credit, half a window at a time and a latency late.
type Conn struct {
	w       *World
	host    *Host
	p       *Process // nil until the process has it
	peer    *Conn
	link    *Link // to the peer
	id      uint64
	lane    uint64
	at      netip.AddrPort // of the listener
	local   string
	remote  string
	handler machine.Handler
	slot    int // in the process's list

	opened    bool // the kernel has it as open
	closed    bool
	ended     bool // the peer's end has come
	broken    bool // its reset has
	sentEnd   bool
	sentReset bool
	forgotten bool // what is between the hosts, or the other host, knows it no more
	silent    bool // and does not say so
	wantRoom  bool // a Write took less than it was given
	noticed   bool // a Notice is on its way

	in     []byte // come and not read, from head on
	head   int
	came   uint64 // bytes, in all
	marks  []mark // of the pieces that have come, the latest of them
	credit int    // that may be written
	freed  int    // read here, and not told to the peer yet

	last   *event // the last piece on its way, where more can join it
	lastAt Time   // nothing sent later arrives before this
	late   int    // pieces that a cut holds or has held, and that have not arrived
	lateAt Time   // when the last of them arrives, where no cut holds it
}

var _ machine.Conn = (*Conn)(nil)

// connect makes both ends of a connection, neither of which is open.
func (w *World) connect(from, to *Host, local, remote netip.AddrPort) *Conn {
	ends := new([2]Conn)
	a, b := &ends[0], &ends[1]
	w.conns += 2
	*a = Conn{
		w: w, host: from, peer: b, id: w.conns - 1, lane: w.lane(),
		at: remote, local: local.String(), remote: remote.String(),
	}
	*b = Conn{
		w: w, host: to, peer: a, id: w.conns, lane: w.lane(),
		at: remote, local: a.remote, remote: a.local,
	}
	if to != nil {
		a.link, b.link = from.linkTo(to), to.linkTo(from)
		a.credit, b.credit = to.opts.Window, from.opts.Window
	}
	return a
}

func (c *Conn) Local() string  { return c.local }
func (c *Conn) Remote() string { return c.remote }

func (c *Conn) Read(b []byte) (int, error) {
	if c.closed {
		c.enterClosed()
		return 0, machine.ErrClosed
	}
	c.p.enter()
	if len(b) == 0 {
		return 0, nil
	}
	if n := copy(b[:c.host.readSize(len(b))], c.in[c.head:]); n > 0 {
		c.head += n
		c.free(n)
		return n, nil
	}
	switch {
	case c.broken:
		return 0, machine.ErrReset
	case c.ended:
		return 0, io.EOF
	}
	return 0, machine.ErrWait
}

// free gives room back to the peer. The danger: with less than half a window told at a time, each
// read would be an event; with more, a peer that waits for room might wait for ever.
func (c *Conn) free(n int) {
	c.freed += n
	if c.freed < (c.host.opts.Window+1)/2 || c.ended || c.broken {
		return
	}
	if ev := c.send(CreditCame); ev != nil {
		ev.n = c.freed
	}
	c.freed = 0
}

func (c *Conn) Write(b []byte) (int, error) {
	if c.closed {
		c.enterClosed()
		return 0, machine.ErrClosed
	}
	c.p.enter()
	switch {
	case c.broken:
		return 0, machine.ErrReset
	case c.sentEnd:
		return 0, machine.ErrClosed
	}
	n := min(len(b), c.credit)
	if n < len(b) {
		c.wantRoom = true
	}
	if n == 0 {
		return 0, nil
	}
	c.credit -= n
	l := c.link
	if n > 1 && l.Split > 0 && l.rand.Float64() < l.Split {
		cut := 1 + l.rand.IntN(n-1)
		c.sendBytes(b[:cut], true)
		c.last = nil
		c.lastAt += l.rand.Int64N(l.Latency/4 + 1)
		c.sendBytes(b[cut:n], false)
		return n, nil
	}
	c.sendBytes(b[:n], true)
	return n, nil
}

// sendBytes sends a piece, which joins the one before where it would arrive no later.
func (c *Conn) sendBytes(b []byte, join bool) {
	at := c.w.now + c.link.delay()
	if join && c.last != nil && at <= c.lastAt {
		c.last.data = append(c.last.data, b...)
		return
	}
	ev := c.sendAt(BytesCame, at)
	if ev == nil {
		return
	}
	ev.data = append(ev.data, b...)
	ev.sentAt = c.w.now
	c.last = ev
}

// send has something reach the peer after all that was sent before.
func (c *Conn) send(k Kind) *event {
	return c.sendAt(k, c.w.now+c.link.delay())
}

func (c *Conn) sendAt(k Kind, at Time) *event {
	c.last = nil
	if c.host.gone && c.host != c.peer.host {
		return nil
	}
	c.lastAt = max(c.lastAt, at)
	ev := c.w.event(k)
	ev.conn = c.peer
	c.w.schedule(ev, c.lastAt, c.lane)
	return ev
}

// sendReset breaks the connection off.
func (c *Conn) sendReset() {
	if c.sentReset || c.broken {
		return
	}
	c.sentReset = true
	c.send(ResetCame)
}

func (c *Conn) Quiet() bool {
	return !c.closed && !c.ended && !c.broken && c.head == len(c.in)
}

func (c *Conn) End() error {
	switch {
	case c.broken:
		return machine.ErrReset
	case c.ended:
		return io.EOF
	}
	return nil
}

func (c *Conn) CloseWrite() error {
	if c.closed {
		c.enterClosed()
		return machine.ErrClosed
	}
	c.p.enter()
	if c.broken {
		return machine.ErrReset
	}
	c.end()
	return nil
}

func (c *Conn) end() {
	if !c.sentEnd {
		c.sentEnd = true
		c.send(EndCame)
	}
}

func (c *Conn) Close() { c.close(c.head < len(c.in)) }

// Reset closes the connection with a reset, whatever was read.
func (c *Conn) Reset() { c.close(true) }

func (c *Conn) close(reset bool) {
	if c.closed {
		return
	}
	c.p.enter()
	switch {
	case reset:
		c.sendReset()
	case !c.broken:
		c.end()
	}
	c.shut()
	p := c.p
	last := len(p.conns) - 1
	p.conns[c.slot] = p.conns[last]
	p.conns[c.slot].slot = c.slot
	p.conns[last] = nil
	p.conns = p.conns[:last]
	p.giveBack()
}

// abandon resets a connection whose process is gone or never had it.
func (c *Conn) abandon() {
	c.sendReset()
	c.shut()
}

func (c *Conn) shut() {
	c.closed = true
	c.handler = nil
	c.in, c.head = nil, 0
}

// enterClosed checks a call on a closed connection.
func (c *Conn) enterClosed() {
	if c.p != nil {
		c.p.enter()
	}
}

// forget makes the connection unknown to all but its two ends.
func (c *Conn) forget(silent bool) {
	if c.host == c.peer.host {
		return
	}
	for _, end := range [...]*Conn{c, c.peer} {
		end.forgotten = true
		end.silent = end.silent || silent
	}
}

// belong gives the connection to a process, which holds a descriptor for it.
func (c *Conn) belong(p *Process) {
	c.p = p
	c.slot = len(p.conns)
	p.conns = append(p.conns, c)
}

// start has the handler told from now on.
func (c *Conn) start(h machine.Handler) {
	if c.closed {
		return
	}
	if h == nil {
		panic("sim: " + c.host.name + ": an open connection was given no handler")
	}
	c.handler = h
	if !c.Quiet() {
		c.noticeLater()
	}
}

// arrived takes in what the peer has sent.
func (c *Conn) arrived(ev *event) {
	if c.host.gone && c.host != c.peer.host {
		return
	}
	asks := ev.kind == BytesCame || ev.kind == EndCame
	if c.forgotten && !ev.forced {
		if asks && !c.silent {
			c.disown()
		}
		return
	}
	if c.closed || !c.opened {
		if ev.kind == BytesCame || asks && !c.opened {
			c.sendReset()
		}
		return
	}
	switch ev.kind {
	case BytesCame:
		c.takeIn(ev)
	case EndCame:
		c.ended = true
	case ResetCame:
		c.broken = true
	case CreditCame:
		c.credit += ev.n
		c.room()
		return
	}
	c.readable()
}

// disown answers for a connection that is not known any more.
func (c *Conn) disown() {
	if ev := c.send(ResetCame); ev != nil {
		ev.forced = true
	}
}

// mark tells from which byte on what came was written when.
type mark struct {
	from uint64
	sent Time
}

// mostMarks bounds the pieces whose time of writing is held.
const mostMarks = 64

// SentAt is when the byte with that number, from 0, was written by the other side, as an onlooker between the two would
// know it: a cut or a slow link delays bytes by any time. For one that came long ago it may be later than
// that. It is for stand-ins that watch, not for the code under test.
func (c *Conn) SentAt(number uint64) Time {
	i := len(c.marks) - 1
	for i > 0 && c.marks[i].from > number {
		i--
	}
	if i < 0 {
		return c.w.now
	}
	return c.marks[i].sent
}

// Ended reports whether the other side's machine has the end of the connection, as an onlooker there would know it: a cut or a
// slow link delays it by any time. It is for stand-ins that watch, not for the code under test.
func (c *Conn) Ended() bool {
	o := c.peer
	return o.ended || o.broken || o.closed || o.host.gone
}

// takeIn adds bytes to those that wait.
func (c *Conn) takeIn(ev *event) {
	if len(c.marks) == mostMarks {
		c.marks = c.marks[:copy(c.marks, c.marks[mostMarks/2:])]
	}
	c.marks = append(c.marks, mark{c.came, ev.sentAt})
	c.came += uint64(len(ev.data))
	if c.head == len(c.in) {
		c.in, ev.data = ev.data, c.in[:0]
		c.head = 0
		return
	}
	if len(c.in)+len(ev.data) > cap(c.in) && c.head > 0 {
		c.in = c.in[:copy(c.in, c.in[c.head:])]
		c.head = 0
	}
	c.in = append(c.in, ev.data...)
}

// readable tells the handler, or has it told once its process runs.
func (c *Conn) readable() {
	switch {
	case c.handler == nil || c.noticed:
	case c.host.stalled():
		c.noticeLater()
	default:
		c.handler.Readable()
	}
}

func (c *Conn) noticeLater() {
	if c.noticed {
		return
	}
	c.noticed = true
	ev := c.w.event(Notice)
	ev.proc, ev.conn = c.p, c
	c.w.schedule(ev, c.w.now, c.lane)
}

func (c *Conn) tellReadable() {
	if c.handler != nil {
		c.handler.Readable()
	}
}

// room tells the handler that it can write, where it waits for that.
func (c *Conn) room() {
	switch {
	case !c.wantRoom || c.handler == nil:
	case c.host.stalled():
		ev := c.w.event(Room)
		ev.proc, ev.conn = c.p, c
		c.w.schedule(ev, c.w.now, c.lane)
	default:
		c.tellWritable()
	}
}

func (c *Conn) tellWritable() {
	if !c.wantRoom || c.credit == 0 || c.handler == nil || c.broken || c.sentEnd {
		return
	}
	c.wantRoom = false
	c.handler.Writable()
}

package sim

import (
	"io"
	"net/netip"

	"starlingwinch/internal/machine"
)

// Conn is one end of a connection: a machine.Conn that can also be reset.
//
// Each direction has a window. Bytes that one end has written and the other has not read count against it, and space
// returns as a credit, half a window at a time and a latency late.
type Conn struct {
	world      *World
	host       *Host
	process    *Process // nil until a process accepted or dialled it
	peer       *Conn
	link       *Link // to the peer
	id         uint64
	lane       uint64
	listenAddr netip.AddrPort // of the listener
	local      string
	remote     string
	handler    machine.Handler
	slot       int // in the process's list

	opened         bool // the kernel has it as open
	closed         bool
	endReceived    bool // the end of the peer's sending has arrived
	resetReceived  bool // a reset from the peer has arrived
	endSent        bool
	resetSent      bool
	forgotten      bool // the network, or the other host, does not know it any more
	silent         bool // a forgotten connection gets no resets
	wantsWritable  bool // a Write took less than it was given
	readableQueued bool // a ReadableQueued event is scheduled

	arrivedSince     Time    // no unread byte arrived before
	lastArrivedAt    Time    // when the last byte arrived
	arrival          [2]Time // of the first and the last byte of the latest Read
	received         []byte  // unread from head on
	head             int
	receivedTotal    uint64     // bytes so far
	sendTimes        []sendTime // of the latest pieces
	credit           int        // bytes that may be written
	unreportedCredit int        // bytes read here for which the peer has no credit yet

	lastPiece     *event // the last piece in transit, nil where no more bytes can join it
	lastArrival   Time   // earliest arrival of what is sent later
	delayedPieces int    // pieces that a cut holds or has held and that have not arrived
	delayedUntil  Time   // when the last of them arrives, where no cut holds it
}

var _ machine.Conn = (*Conn)(nil)

// connect makes both ends of a connection, neither of which is open.
func (w *World) connect(from, to *Host, local, remote netip.AddrPort) *Conn {
	ends := new([2]Conn)
	a, b := &ends[0], &ends[1]
	w.conns += 2
	*a = Conn{
		world: w, host: from, peer: b, id: w.conns - 1, lane: w.lane(),
		listenAddr: remote, local: local.String(), remote: remote.String(),
	}
	*b = Conn{
		world: w, host: to, peer: a, id: w.conns, lane: w.lane(),
		listenAddr: remote, local: a.remote, remote: a.local,
	}
	if to != nil {
		a.link, b.link = from.linkTo(to), to.linkTo(from)
		a.credit, b.credit = to.options.Window, from.options.Window
	}
	return a
}

// Local returns the address of this end.
func (c *Conn) Local() string { return c.local }

// Remote returns the address of the peer.
func (c *Conn) Remote() string { return c.remote }

// Read implements machine.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.closed {
		c.enterIfAttached()
		return 0, machine.ErrClosed
	}
	c.process.enter()
	if len(b) == 0 {
		return 0, nil
	}
	if n := copy(b[:c.host.drawReadSize(len(b))], c.received[c.head:]); n > 0 {
		c.head += n
		c.arrival = [2]Time{c.arrivedSince, c.arrivedSince}
		if c.head == len(c.received) {
			c.arrival[1] = c.lastArrivedAt
		}
		c.returnCredit(n)
		return n, nil
	}
	switch {
	case c.resetReceived:
		return 0, machine.ErrReset
	case c.endReceived:
		return 0, io.EOF
	}
	return 0, machine.ErrWait
}

// Arrival implements machine.Conn.
func (c *Conn) Arrival() (first, last Time) { return c.arrival[0], c.arrival[1] }

// returnCredit returns window space to the peer once half a window was read: less would make each read an event, and with
// more a peer that waits for credit could wait forever.
func (c *Conn) returnCredit(n int) {
	c.unreportedCredit += n
	if c.unreportedCredit < (c.host.options.Window+1)/2 || c.endReceived || c.resetReceived {
		return
	}
	if ev := c.send(CreditArrived); ev != nil {
		ev.n = c.unreportedCredit
	}
	c.unreportedCredit = 0
}

// Write implements machine.Conn. Bytes may be split into two pieces, as the link has it.
func (c *Conn) Write(b []byte) (int, error) {
	if c.closed {
		c.enterIfAttached()
		return 0, machine.ErrClosed
	}
	c.process.enter()
	switch {
	case c.resetReceived:
		return 0, machine.ErrReset
	case c.endSent:
		return 0, machine.ErrClosed
	}
	n := min(len(b), c.credit)
	if n < len(b) {
		c.wantsWritable = true
	}
	if n == 0 {
		return 0, nil
	}
	c.credit -= n
	l := c.link
	if n > 1 && l.Split > 0 && l.rand.Float64() < l.Split {
		cut := 1 + l.rand.IntN(n-1)
		c.sendBytes(b[:cut], true)
		c.lastPiece = nil
		c.lastArrival += l.rand.Int64N(l.Latency/4 + 1)
		c.sendBytes(b[cut:n], false)
		return n, nil
	}
	c.sendBytes(b[:n], true)
	return n, nil
}

// sendBytes sends a piece, which joins the one before where it would arrive no later.
func (c *Conn) sendBytes(b []byte, join bool) {
	at := c.world.now + c.link.delay()
	if join && c.lastPiece != nil && at <= c.lastArrival {
		c.lastPiece.data = append(c.lastPiece.data, b...)
		return
	}
	ev := c.sendAt(BytesArrived, at)
	if ev == nil {
		return
	}
	ev.data = append(ev.data, b...)
	ev.sentAt = c.world.now
	c.lastPiece = ev
}

// send has something reach the peer after all that was sent before.
func (c *Conn) send(k Kind) *event {
	return c.sendAt(k, c.world.now+c.link.delay())
}

// sendAt has something arrive at the peer at an instant or after all that was sent before. It returns nil where this host has
// vanished.
func (c *Conn) sendAt(k Kind, at Time) *event {
	c.lastPiece = nil
	if c.host.vanished && c.host != c.peer.host {
		return nil
	}
	c.lastArrival = max(c.lastArrival, at)
	ev := c.world.event(k)
	ev.conn = c.peer
	c.world.schedule(ev, c.lastArrival, c.lane)
	return ev
}

// sendReset breaks the connection off.
func (c *Conn) sendReset() {
	if c.resetSent || c.resetReceived {
		return
	}
	c.resetSent = true
	c.send(ResetArrived)
}

// HasNothingUnread implements machine.Conn.
func (c *Conn) HasNothingUnread() bool {
	return !c.closed && !c.endReceived && !c.resetReceived && c.head == len(c.received)
}

// EndError implements machine.Conn.
func (c *Conn) EndError() error {
	switch {
	case c.resetReceived:
		return machine.ErrReset
	case c.endReceived:
		return io.EOF
	}
	return nil
}

// CloseWrite implements machine.Conn.
func (c *Conn) CloseWrite() error {
	if c.closed {
		c.enterIfAttached()
		return machine.ErrClosed
	}
	c.process.enter()
	if c.resetReceived {
		return machine.ErrReset
	}
	c.end()
	return nil
}

// end sends the end of this direction, once.
func (c *Conn) end() {
	if !c.endSent {
		c.endSent = true
		c.send(EndArrived)
	}
}

// Close implements machine.Conn. Unread bytes turn the close into a reset, as TCP does.
func (c *Conn) Close() { c.close(c.head < len(c.received)) }

// Abort implements machine.Conn. What is in transit arrives: the peer's machine takes it, also where its process hangs.
func (c *Conn) Abort() { c.Close() }

// HasUndelivered implements machine.Conn, see Abort.
func (c *Conn) HasUndelivered() bool { return false }

// Reset closes the connection with a reset, whatever was read.
func (c *Conn) Reset() { c.close(true) }

// close closes the connection and returns its descriptor.
func (c *Conn) close(reset bool) {
	if c.closed {
		return
	}
	c.process.enter()
	switch {
	case reset:
		c.sendReset()
	case !c.resetReceived:
		c.end()
	}
	c.discard()
	p := c.process
	last := len(p.conns) - 1
	p.conns[c.slot] = p.conns[last]
	p.conns[c.slot].slot = c.slot
	p.conns[last] = nil
	p.conns = p.conns[:last]
	p.releaseDescriptor()
}

// abandon resets a connection whose process is gone or never had it.
func (c *Conn) abandon() {
	c.sendReset()
	c.discard()
}

// discard marks the connection as closed and releases its buffers.
func (c *Conn) discard() {
	c.closed = true
	c.handler = nil
	c.received, c.head = nil, 0
}

// enterIfAttached checks a call on a closed connection, which may never have had a process.
func (c *Conn) enterIfAttached() {
	if c.process != nil {
		c.process.enter()
	}
}

// forget makes the connection unknown to everything but its two ends.
func (c *Conn) forget(silent bool) {
	if c.host == c.peer.host {
		return
	}
	for _, end := range [...]*Conn{c, c.peer} {
		end.forgotten = true
		end.silent = end.silent || silent
	}
}

// attach gives the connection to a process, which holds a descriptor for it.
func (c *Conn) attach(p *Process) {
	c.process = p
	c.slot = len(p.conns)
	p.conns = append(p.conns, c)
}

// start sets the handler, which is called from now on.
func (c *Conn) start(h machine.Handler) {
	if c.closed {
		return
	}
	if h == nil {
		panic("sim: " + c.host.name + ": an open connection was given no handler")
	}
	c.handler = h
	if !c.HasNothingUnread() {
		c.queueReadable()
	}
}

// arrived handles what the peer has sent.
func (c *Conn) arrived(ev *event) {
	if c.host.vanished && c.host != c.peer.host {
		return
	}
	needsAnswer := ev.kind == BytesArrived || ev.kind == EndArrived
	if c.forgotten && !ev.forced {
		if needsAnswer && !c.silent {
			c.resetUnknown()
		}
		return
	}
	if c.closed || !c.opened {
		if ev.kind == BytesArrived || needsAnswer && !c.opened {
			c.sendReset()
		}
		return
	}
	switch ev.kind {
	case BytesArrived:
		c.receive(ev)
	case EndArrived:
		c.endReceived = true
	case ResetArrived:
		c.resetReceived = true
	case CreditArrived:
		c.credit += ev.n
		c.writable()
		return
	}
	c.readable()
}

// resetUnknown answers on behalf of a network or a peer that does not know the connection any more.
func (c *Conn) resetUnknown() {
	if ev := c.send(ResetArrived); ev != nil {
		ev.forced = true
	}
}

// sendTime is when the bytes from one number on were written.
type sendTime struct {
	from uint64
	sent Time
}

// maxSendTimes bounds the pieces whose time of writing is recorded.
const maxSendTimes = 64

// SentAt is when the byte with that number, from 0, was written by the other side, as an observer of both hosts knows it: a
// cut or a slow link delays bytes by any time. For a byte of long ago it may be later than that. It is for stand-ins that
// observe, not for the code under test.
func (c *Conn) SentAt(number uint64) Time {
	i := len(c.sendTimes) - 1
	for i > 0 && c.sendTimes[i].from > number {
		i--
	}
	if i < 0 {
		return c.world.now
	}
	return c.sendTimes[i].sent
}

// Ended reports whether the other side's machine has the end of the connection, as an observer there knows it: a cut or a
// slow link delays it by any time. It is for stand-ins that observe, not for the code under test.
func (c *Conn) Ended() bool {
	o := c.peer
	return o.endReceived || o.resetReceived || o.closed || o.host.vanished
}

// receive adds bytes to the unread ones. An event's buffer is taken over where nothing is unread.
func (c *Conn) receive(ev *event) {
	if len(c.sendTimes) == maxSendTimes {
		c.sendTimes = c.sendTimes[:copy(c.sendTimes, c.sendTimes[maxSendTimes/2:])]
	}
	c.sendTimes = append(c.sendTimes, sendTime{c.receivedTotal, ev.sentAt})
	c.receivedTotal += uint64(len(ev.data))
	c.lastArrivedAt = c.world.now
	if c.head == len(c.received) {
		c.arrivedSince = c.world.now
		c.received, ev.data = ev.data, c.received[:0]
		c.head = 0
		return
	}
	if len(c.received)+len(ev.data) > cap(c.received) && c.head > 0 {
		c.received = c.received[:copy(c.received, c.received[c.head:])]
		c.head = 0
	}
	c.received = append(c.received, ev.data...)
}

// readable calls the handler, or has it called once its process runs.
func (c *Conn) readable() {
	switch {
	case c.handler == nil || c.readableQueued:
	case c.host.stalled():
		c.queueReadable()
	default:
		c.handler.Readable()
	}
}

// queueReadable has the handler called in a later turn.
func (c *Conn) queueReadable() {
	if c.readableQueued {
		return
	}
	c.readableQueued = true
	ev := c.world.event(ReadableQueued)
	ev.target, ev.conn = c.process, c
	c.world.schedule(ev, c.world.now, c.lane)
}

// callReadable calls the handler, unless the connection was closed meanwhile.
func (c *Conn) callReadable() {
	if c.handler != nil {
		c.handler.Readable()
	}
}

// writable calls the handler that waits for it, or has it called once its process runs.
func (c *Conn) writable() {
	switch {
	case !c.wantsWritable || c.handler == nil:
	case c.host.stalled():
		ev := c.world.event(WritableQueued)
		ev.target, ev.conn = c.process, c
		c.world.schedule(ev, c.world.now, c.lane)
	default:
		c.callWritable()
	}
}

// callWritable calls the handler if it still waits and can write.
func (c *Conn) callWritable() {
	if !c.wantsWritable || c.credit == 0 || c.handler == nil || c.resetReceived || c.endSent {
		return
	}
	c.wantsWritable = false
	c.handler.Writable()
}

package standin

import (
	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// cacheConn is a connection of a router to a cache. Its calls are answered in their order.
type cacheConn struct {
	stream
	cache            *Cache
	router           string
	commands         []*command // in order, from the first that is not answered
	started          int        // of calls, the first so many
	firstByteAt      Time       // arrival of the first byte of what was not read yet
	earliestArrival  Time       // when that byte may have come at the earliest
	handshakePaid    bool       // the handshake is paid for
	handshakeElapsed bool       // ... and its time is over
	handshake        job
	handshakeTimer   machine.Timer // of the handshake's time
	idleTimer        machine.Timer
	advancing        bool // work is under way
	peerEnded        bool // the router has ended its sending
	forgotten        bool // the cache has forgotten it: what comes is answered by a reset
	endlessLeft      int  // bytes of an endless value still to come
}

// accept takes a connection in.
func (c *Cache) accept(conn machine.Conn, d *cacheListener) machine.Handler {
	cc := &cacheConn{stream: stream{conn: conn}, cache: c, router: d.router}
	if cc.router == "" && c.options.RouterOf != nil {
		cc.router = c.options.RouterOf(conn.Remote())
	}
	c.dials++
	full := len(c.conns) >= c.options.Connections
	if full {
		c.rejectedDials++
	}
	if !c.up || c.faults.resetAccept || full {
		if full && c.options.RejectsWhenFull {
			cc.send(redcon.AppendError(nil, "BUSY"))
		}
		cc.close()
		return cc
	}
	c.conns = append(c.conns, cc)
	c.updateTableOccupancy()
	cc.startHandshake()
	cc.updateIdleTimer()
	return cc
}

func (c *Cache) updateTableOccupancy() {
	c.processor.change(func() { c.processor.tableOccupancy = float64(len(c.conns)) / float64(c.options.Connections) })
}

// startHandshake has the connection cost what a handshake costs. The first request waits for it.
func (cc *cacheConn) startHandshake() {
	c := cc.cache
	cc.handshakePaid, cc.handshakeElapsed = c.options.HandshakeWork == 0, c.options.HandshakeTime == 0
	if !cc.handshakeElapsed {
		cc.handshakeTimer = c.m.At(c.m.Now()+c.options.HandshakeTime, func() { cc.handshakeElapsed = true; cc.advance() })
	}
	if !cc.handshakePaid {
		cc.handshake = job{work: float64(c.options.HandshakeWork), done: func() { cc.handshakePaid = true; cc.advance() }}
		c.processor.runWithoutSlot(&cc.handshake)
	}
}

// maxUnstarted bounds the commands that were read and not begun.
const maxUnstarted = 1024

// Readable reads what has come.
func (cc *cacheConn) Readable() {
	if cc.closed || cc.cache.faults.silent {
		return
	}
	if cc.forgotten {
		// What has come stays unread, so that the router sees a reset.
		cc.drop()
		return
	}
	cc.read()
	cc.advance()
}

func (cc *cacheConn) read() {
	had := len(cc.received)
	cc.peerEnded = cc.fill(maxCommandBytes) != nil
	if had == 0 && len(cc.received) > 0 {
		cc.markFirstByte()
	}
}

// markFirstByte books the first byte of a command.
func (cc *cacheConn) markFirstByte() {
	cc.firstByteAt = cc.cache.m.Now()
	cc.earliestArrival = cc.cache.faults.earliestArrival(cc.firstByteAt)
}

// advance does what can be done now: it takes commands off what has come, begins them and writes answers.
// An end of the router's sending comes after all that was sent before it, and ends what is under way.
func (cc *cacheConn) advance() {
	if cc.advancing {
		return
	}
	cc.advancing = true
	for !cc.closed && (cc.parseNext() || cc.startNext() || cc.writeNext()) {
	}
	cc.advancing = false
	if cc.closed {
		return
	}
	if cc.peerEnded {
		cc.drop()
		return
	}
	cc.updateIdleTimer()
}

// Writable writes on.
func (cc *cacheConn) Writable() {
	if cc.closed {
		return
	}
	if cc.flush() != nil {
		cc.drop()
		return
	}
	cc.continueEndless()
	cc.advance()
}

// parseNext takes one whole command off what has come.
func (cc *cacheConn) parseNext() bool {
	if len(cc.commands)-cc.started >= maxUnstarted {
		return false
	}
	args, used, err := readCommand(cc.received)
	if err != nil {
		cc.cache.observer.Bad(cc.cache.m.Now(), cc.cache.options.Name, err.Error())
		cc.send(redcon.AppendError(nil, "SYNTAX "+err.Error()))
		cc.drop() // where the next command begins can't be told
		return false
	}
	if used == 0 {
		return false
	}
	cc.commands = append(cc.commands, cc.newCommand(args))
	cc.consume(used)
	cc.markFirstByte()
	if cc.moreToRead {
		cc.read()
	}
	return true
}

// errorReply is a call that is answered at once with an error.
func (cc *cacheConn) errorReply(text string) *command {
	return &command{cache: cc.cache, conn: cc, finished: true, replyReady: true, reply: redcon.AppendError(nil, text)}
}

func (cc *cacheConn) okReply(text string) *command {
	return &command{cache: cc.cache, conn: cc, finished: true, replyReady: true, reply: redcon.AppendString(nil, text)}
}

// newCommand makes a call of a command that has come whole.
func (cc *cacheConn) newCommand(args [][]byte) *command {
	c := cc.cache
	switch string(args[0]) {
	case "C.GET", "C.SET":
	case "PING":
		if c.options.Probes {
			return cc.newProbe(redcon.AppendString(nil, "PONG"))
		}
		return cc.okReply("PONG")
	case "INFO":
		if !c.options.Probes || !c.options.Reports || len(args) != 2 || string(args[1]) != "load" {
			return cc.errorReply("NOPERM")
		}
		return cc.newProbe(redcon.AppendBulkString(nil, c.loadReport()))
	case "CLIENT", "SELECT":
		return cc.okReply("OK")
	default:
		return cc.errorReply("ERR unknown command")
	}
	a, err := parseRequest(args)
	if err != nil {
		c.observer.Bad(c.m.Now(), c.options.Name, err.Error())
		return cc.errorReply("SYNTAX " + err.Error())
	}
	k := &command{cache: c, conn: cc, request: a}
	now := c.m.Now()
	k.attempt = rules.Attempt{ID: a.id, Key: a.key, IdemKey: a.idempotencyKey, Class: a.class, Router: cc.router,
		Cache: c.options.Name, Write: a.write, First: cc.firstByteAt, Last: now, Sent: cc.sentAt(cc.earliestArrival)}
	return k
}

// newProbe is a call that costs a little work beside the queue.
func (cc *cacheConn) newProbe(reply []byte) *command {
	k := &command{cache: cc.cache, conn: cc}
	k.job = job{work: float64(max(1, cc.cache.options.ProbeWork)), done: func() {
		k.finished, k.replyReady, k.reply = true, true, reply
		cc.advance()
	}}
	return k
}

// startNext begins a call, up to the number for a connection.
func (cc *cacheConn) startNext() bool {
	if !cc.handshakePaid || !cc.handshakeElapsed || cc.started >= len(cc.commands) || cc.started >= cc.cache.options.Streams {
		return false
	}
	k := cc.commands[cc.started]
	cc.started++
	switch {
	case k.replyReady:
	case k.attempt.ID == "":
		cc.cache.processor.runWithoutSlot(&k.job)
	default:
		k.handle()
	}
	return true
}

// maxUnsentBytes bounds the answers that a router does not take; the others wait for their turn.
const maxUnsentBytes = 256 << 10

// writeNext writes the answer whose turn it is.
func (cc *cacheConn) writeNext() bool {
	if cc.started == 0 || !cc.commands[0].replyReady || cc.cache.faults.stalled || cc.endlessLeft != 0 || len(cc.unsent) >= maxUnsentBytes {
		return false
	}
	k := cc.commands[0]
	cc.commands = append(cc.commands[:0], cc.commands[1:]...)
	cc.started--
	cc.write(k)
	return true
}

// write writes one answer, with what is to go wrong.
func (cc *cacheConn) write(k *command) {
	if k.fault != "" {
		cc.writeFaulty(k)
		return
	}
	if cc.send(k.reply) != nil {
		cc.drop()
		return
	}
	if k.replyWritten != nil {
		k.replyWritten()
	}
}

// updateIdleTimer starts the idle time, or ends it.
func (cc *cacheConn) updateIdleTimer() {
	if cc.idleTimer != nil {
		cc.idleTimer.Stop()
		cc.idleTimer = nil
	}
	if cc.closed || len(cc.commands) > 0 || len(cc.received) > 0 || cc.cache.options.IdleFor == 0 {
		return
	}
	cc.idleTimer = cc.cache.m.At(cc.cache.m.Now()+cc.cache.options.IdleFor, cc.drop)
}

// drop ends the connection from the cache's side, or after the router's.
func (cc *cacheConn) drop() {
	if cc.closed {
		return
	}
	cc.close()
	for _, t := range []machine.Timer{cc.handshakeTimer, cc.idleTimer} {
		if t != nil {
			t.Stop()
		}
	}
	c := cc.cache
	c.conns = removeFirst(c.conns, cc)
	calls := cc.commands
	cc.commands, cc.started = nil, 0
	c.processor.release(&cc.handshake)
	for _, k := range calls {
		if k.attempt.ID == "" {
			c.processor.release(&k.job)
		}
		k.connectionClosed()
	}
	if c.up {
		c.updateTableOccupancy()
	}
}

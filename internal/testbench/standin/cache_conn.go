package standin

import (
	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// cacheConn is a connection of a router to a cache. The cache replies to its commands in order.
type cacheConn struct {
	stream
	cache            *Cache
	router           string        // name of the router that opened it
	commands         []*command    // read and not yet replied to, in order
	started          int           // number of commands, from the first, that are started
	firstByteAt      Time          // when the first byte of the next command was read
	earliestArrival  Time          // earliest time at which that byte can have arrived
	handshakePaid    bool          // the handshake's work is complete
	handshakeElapsed bool          // the handshake's time has elapsed
	handshake        job           // the work of the handshake
	handshakeTimer   machine.Timer // ends the time of the handshake
	idleTimer        machine.Timer // closes the idle connection; nil while a command is in progress
	advancing        bool          // advance is running; guards against reentry
	peerEnded        bool          // the router has closed its side
	forgotten        bool          // the cache resets the connection when the next bytes arrive
	endlessLeft      int           // unwritten bytes of an endless value; -1 once all are written
}

// accept handles a new connection, or closes it if the cache is down, full or set to reset connections.
func (c *Cache) accept(conn machine.Conn, listener *cacheListener) machine.Handler {
	cc := &cacheConn{stream: stream{conn: conn}, cache: c, router: listener.router}
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

// updateTableOccupancy updates the processor's record of the connection table's occupancy.
func (c *Cache) updateTableOccupancy() {
	c.processor.change(func() { c.processor.tableOccupancy = float64(len(c.conns)) / float64(c.options.Connections) })
}

// startHandshake charges the work and the time of a handshake. The first request waits for both.
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

// maxUnstarted bounds the commands of a connection that are read but not started.
const maxUnstarted = 1024

// Readable is called by the machine when there is something to read.
func (cc *cacheConn) Readable() {
	if cc.closed || cc.cache.faults.silent {
		return
	}
	if cc.forgotten {
		// Closing with unread bytes makes the router see a reset.
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

// markFirstByte records when the first byte of the next command was read.
func (cc *cacheConn) markFirstByte() {
	cc.firstByteAt = cc.cache.m.Now()
	cc.earliestArrival = cc.cache.faults.earliestArrival(cc.firstByteAt)
}

// advance parses commands, starts them and writes replies until no further progress is possible. Once the router has closed
// its side and all its bytes are read, advance closes the connection and cancels the commands in progress.
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

// Writable is called by the machine when the connection takes more bytes.
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

// parseNext parses one complete command from the received bytes, and reports whether there was one.
func (cc *cacheConn) parseNext() bool {
	if len(cc.commands)-cc.started >= maxUnstarted {
		return false
	}
	args, used, err := readCommand(cc.received)
	if err != nil {
		cc.cache.observer.Bad(cc.cache.m.Now(), cc.cache.options.Name, err.Error())
		cc.send(redcon.AppendError(nil, "SYNTAX "+err.Error()))
		cc.drop() // the start of the next command is unknown
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

// errorReply returns a command with an immediate error reply.
func (cc *cacheConn) errorReply(text string) *command {
	return &command{cache: cc.cache, conn: cc, finished: true, replyReady: true, reply: redcon.AppendError(nil, text)}
}

// okReply returns a command with an immediate simple string reply.
func (cc *cacheConn) okReply(text string) *command {
	return &command{cache: cc.cache, conn: cc, finished: true, replyReady: true, reply: redcon.AppendString(nil, text)}
}

// newCommand returns the command for a complete list of arguments.
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
	cmd := &command{cache: c, conn: cc, request: a}
	now := c.m.Now()
	cmd.attempt = rules.Attempt{ID: a.id, Key: a.key, IdemKey: a.idempotencyKey, Class: a.class, Router: cc.router,
		Cache: c.options.Name, Write: a.write, First: cc.firstByteAt, Last: now, Sent: cc.sentAt(cc.earliestArrival)}
	return cmd
}

// newProbe returns a health check, which costs work but needs no slot.
func (cc *cacheConn) newProbe(reply []byte) *command {
	cmd := &command{cache: cc.cache, conn: cc}
	cmd.job = job{work: float64(max(1, cc.cache.options.ProbeWork)), done: func() {
		cmd.finished, cmd.replyReady, cmd.reply = true, true, reply
		cc.advance()
	}}
	return cmd
}

// startNext starts the next command if the handshake is complete and the connection is below its limit of concurrent requests.
func (cc *cacheConn) startNext() bool {
	if !cc.handshakePaid || !cc.handshakeElapsed || cc.started >= len(cc.commands) || cc.started >= cc.cache.options.Streams {
		return false
	}
	cmd := cc.commands[cc.started]
	cc.started++
	switch {
	case cmd.replyReady:
	case cmd.attempt.ID == "":
		cc.cache.processor.runWithoutSlot(&cmd.job)
	default:
		cmd.handle()
	}
	return true
}

// maxUnsentBytes bounds the replies in the write buffer of a connection whose peer does not read.
const maxUnsentBytes = 256 << 10

// writeNext writes the first command's reply if it is ready, and reports whether it was.
func (cc *cacheConn) writeNext() bool {
	if cc.started == 0 || !cc.commands[0].replyReady || cc.cache.faults.stalled || cc.endlessLeft != 0 || len(cc.unsent) >= maxUnsentBytes {
		return false
	}
	cmd := cc.commands[0]
	cc.commands = append(cc.commands[:0], cc.commands[1:]...)
	cc.started--
	cc.write(cmd)
	return true
}

// write writes one reply, with the fault drawn for that reply.
func (cc *cacheConn) write(cmd *command) {
	if cmd.fault != "" {
		cc.writeFaulty(cmd)
		return
	}
	if cc.send(cmd.reply) != nil {
		cc.drop()
		return
	}
	if cmd.replyWritten != nil {
		cmd.replyWritten()
	}
}

// updateIdleTimer restarts the idle timer, or stops it while commands are in progress.
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

// drop closes the connection and cancels its commands.
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
	for _, cmd := range calls {
		if cmd.attempt.ID == "" {
			c.processor.release(&cmd.job)
		}
		cmd.connectionClosed()
	}
	if c.up {
		c.updateTableOccupancy()
	}
}

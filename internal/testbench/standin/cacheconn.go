package standin

import (
	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// cacheConn is a connection of a router to a cache. Its calls are answered in their order.
type cacheConn struct {
	stream
	c       *Cache
	router  string
	calls   []*call // in order, from the first that is not answered
	begun   int     // of calls, the first so many
	first   Time    // arrival of the first byte of what was not read yet
	came    Time    // when that byte may have come at the earliest
	greeted bool    // the handshake is paid for
	shaken  bool    // ... and its time is over
	shake   job
	timer   machine.Timer // of the handshake's time
	idle    machine.Timer
	working bool // work is under way
	ended   bool // the router has ended its sending
	lost    bool // the cache has forgotten it: what comes is answered by a reset
	endless int  // bytes of an endless value still to come
}

// accept takes a connection in.
func (c *Cache) accept(conn machine.Conn, d *door) machine.Handler {
	cc := &cacheConn{stream: stream{conn: conn}, c: c, router: d.router}
	if cc.router == "" && c.o.RouterOf != nil {
		cc.router = c.o.RouterOf(conn.Remote())
	}
	c.dials++
	full := len(c.conns) >= c.o.Connections
	if full {
		c.turned++
	}
	if !c.up || c.faults.resetAccept || full {
		if full && c.o.RejectsWhenFull {
			cc.send(redcon.AppendError(nil, "BUSY"))
		}
		cc.close()
		return cc
	}
	c.conns = append(c.conns, cc)
	c.tax()
	cc.shakeHands()
	cc.rest()
	return cc
}

func (c *Cache) tax() {
	c.proc.change(func() { c.proc.tax = float64(len(c.conns)) / float64(c.o.Connections) })
}

// shakeHands has the connection cost what a handshake costs. The first request waits for it.
func (cc *cacheConn) shakeHands() {
	c := cc.c
	cc.greeted, cc.shaken = c.o.HandshakeWork == 0, c.o.HandshakeTime == 0
	if !cc.shaken {
		cc.timer = c.m.At(c.m.Now()+c.o.HandshakeTime, func() { cc.shaken = true; cc.work() })
	}
	if !cc.greeted {
		cc.shake = job{work: float64(c.o.HandshakeWork), done: func() { cc.greeted = true; cc.work() }}
		c.proc.beside(&cc.shake)
	}
}

// mostBehind bounds the commands that were read and not begun.
const mostBehind = 1024

// Readable reads what has come.
func (cc *cacheConn) Readable() {
	if cc.closed || cc.c.faults.silent {
		return
	}
	if cc.lost {
		// What has come stays unread, so that the router sees a reset.
		cc.drop()
		return
	}
	cc.read()
	cc.work()
}

func (cc *cacheConn) read() {
	had := len(cc.in)
	cc.ended = cc.fill(mostCommand) != nil
	if had == 0 && len(cc.in) > 0 {
		cc.begins()
	}
}

// begins books the first byte of a command.
func (cc *cacheConn) begins() {
	cc.first = cc.c.m.Now()
	cc.came = cc.c.faults.mayHaveCome(cc.first)
}

// work does what can be done now: it takes commands off what has come, begins them and writes answers.
// An end of the router's sending comes after all that was sent before it, and ends what is under way.
func (cc *cacheConn) work() {
	if cc.working {
		return
	}
	cc.working = true
	for !cc.closed && (cc.parseNext() || cc.beginNext() || cc.writeNext()) {
	}
	cc.working = false
	if cc.closed {
		return
	}
	if cc.ended {
		cc.drop()
		return
	}
	cc.rest()
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
	cc.goOnEndless()
	cc.work()
}

// parseNext takes one whole command off what has come.
func (cc *cacheConn) parseNext() bool {
	if len(cc.calls)-cc.begun >= mostBehind {
		return false
	}
	args, used, err := readCommand(cc.in)
	if err != nil {
		cc.c.obs.Bad(cc.c.m.Now(), cc.c.o.Name, err.Error())
		cc.send(redcon.AppendError(nil, "SYNTAX "+err.Error()))
		cc.drop() // where the next command begins can't be told
		return false
	}
	if used == 0 {
		return false
	}
	cc.calls = append(cc.calls, cc.command(args))
	cc.take(used)
	cc.begins()
	if cc.left {
		cc.read()
	}
	return true
}

// line is a call that is answered at once with an error.
func (cc *cacheConn) line(text string) *call {
	return &call{c: cc.c, conn: cc, over: true, ready: true, reply: redcon.AppendError(nil, text)}
}

func (cc *cacheConn) ok(text string) *call {
	return &call{c: cc.c, conn: cc, over: true, ready: true, reply: redcon.AppendString(nil, text)}
}

// command makes a call of a command that has come whole.
func (cc *cacheConn) command(args [][]byte) *call {
	c := cc.c
	switch string(args[0]) {
	case "C.GET", "C.SET":
	case "PING":
		if c.o.Probes {
			return cc.probe(redcon.AppendString(nil, "PONG"))
		}
		return cc.ok("PONG")
	case "INFO":
		if !c.o.Probes || !c.o.Reports || len(args) != 2 || string(args[1]) != "load" {
			return cc.line("NOPERM")
		}
		return cc.probe(redcon.AppendBulkString(nil, c.report()))
	case "CLIENT", "SELECT":
		return cc.ok("OK")
	default:
		return cc.line("ERR unknown command")
	}
	a, err := parseAsk(args)
	if err != nil {
		c.obs.Bad(c.m.Now(), c.o.Name, err.Error())
		return cc.line("SYNTAX " + err.Error())
	}
	k := &call{c: c, conn: cc, ask: a}
	now := c.m.Now()
	k.attempt = rules.Attempt{ID: a.id, Key: a.key, IdemKey: a.idem, Class: a.class, Router: cc.router,
		Cache: c.o.Name, Write: a.write, First: cc.first, Last: now, Sent: cc.sentAt(cc.came)}
	return k
}

// probe is a call that costs a little work beside the queue.
func (cc *cacheConn) probe(reply []byte) *call {
	k := &call{c: cc.c, conn: cc}
	k.job = job{work: float64(max(1, cc.c.o.ProbeWork)), done: func() {
		k.over, k.ready, k.reply = true, true, reply
		cc.work()
	}}
	return k
}

// beginNext begins a call, up to the number for a connection.
func (cc *cacheConn) beginNext() bool {
	if !cc.greeted || !cc.shaken || cc.begun >= len(cc.calls) || cc.begun >= cc.c.o.Streams {
		return false
	}
	k := cc.calls[cc.begun]
	cc.begun++
	switch {
	case k.ready:
	case k.attempt.ID == "":
		cc.c.proc.beside(&k.job)
	default:
		k.begin()
	}
	return true
}

// mostUnsent bounds the answers that a router does not take; the others wait for their turn.
const mostUnsent = 256 << 10

// writeNext writes the answer whose turn it is.
func (cc *cacheConn) writeNext() bool {
	if cc.begun == 0 || !cc.calls[0].ready || cc.c.faults.hung || cc.endless != 0 || len(cc.out) >= mostUnsent {
		return false
	}
	k := cc.calls[0]
	cc.calls = append(cc.calls[:0], cc.calls[1:]...)
	cc.begun--
	cc.write(k)
	return true
}

// write writes one answer, with what is to go wrong.
func (cc *cacheConn) write(k *call) {
	if k.fault != "" {
		cc.writeFaulty(k)
		return
	}
	if cc.send(k.reply) != nil {
		cc.drop()
		return
	}
	if k.told != nil {
		k.told()
	}
}

// rest starts the idle time, or ends it.
func (cc *cacheConn) rest() {
	if cc.idle != nil {
		cc.idle.Stop()
		cc.idle = nil
	}
	if cc.closed || len(cc.calls) > 0 || len(cc.in) > 0 || cc.c.o.IdleFor == 0 {
		return
	}
	cc.idle = cc.c.m.At(cc.c.m.Now()+cc.c.o.IdleFor, cc.drop)
}

// drop ends the connection from the cache's side, or after the router's.
func (cc *cacheConn) drop() {
	if cc.closed {
		return
	}
	cc.close()
	for _, t := range []machine.Timer{cc.timer, cc.idle} {
		if t != nil {
			t.Stop()
		}
	}
	c := cc.c
	c.conns = without(c.conns, cc)
	calls := cc.calls
	cc.calls, cc.begun = nil, 0
	c.proc.leave(&cc.shake)
	for _, k := range calls {
		if k.attempt.ID == "" {
			c.proc.leave(&k.job)
		}
		k.forget()
	}
	if c.up {
		c.tax()
	}
}

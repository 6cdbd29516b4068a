package frontend

import (
	"bytes"
	"errors"

	"github.com/tidwall/redcon"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// client is a connection of a client.
type client struct {
	front  *Server
	nc     machine.Conn
	part   []byte       // what has come of a command that is not whole
	held   int64        // bytes of it that are counted
	queue  []*ReplySlot // answers due, in the order of the commands
	unsent []byte       // what the socket did not take of answers
	errors int          // bad commands in a row
	asked  bool         // a whole command has come
	from   uint64       // hash of its address
	used   bool         // a request has come

	state      state
	since      Time // when it came into its state
	listed     bool
	prev, next *client

	consumed bool // a command has been taken since it was last put into a state
	paused   bool // too many answers are due for it to be read on
	more     bool // it is to be read on, in a turn of its own
	flushing bool // its answers are to be sent at the end of this turn
	surplus  bool // one too many: it is turned away as soon as it asks
	retired  bool // to be closed between requests
	retireAt Time // when that was said
	grace    bool // what has begun has a moment to come whole
	last     bool // nothing more is read: it is closed behind the answers that are due
	lingered int  // bytes read since it was told why it is closed
	broken   bool // the client has ended it by a reset
	gone     bool // the client has ended it
	closed   bool
}

// Readable takes commands.
func (c *client) Readable() {
	c.read()
	c.front.desk.ProcessEvents()
}

// Writable goes on with answers.
func (c *client) Writable() {
	c.flush()
	c.front.desk.ProcessEvents()
}

// read takes what has come, a bounded share of commands in one turn.
func (c *client) read() {
	f := c.front
	// The danger: where nothing is read for now (too many answers are due, it is to be closed behind them, it does not take
	// them), nobody sees that the client has gone, and what it has asked for is sent on for nobody.
	if err := c.nc.End(); err != nil && !c.closed {
		c.depart(err)
		return
	}
	for share, reads := turnsShare, 0; !c.closed; reads++ {
		if c.state == closing {
			c.linger()
			return
		}
		if c.last {
			return // it is closed behind the answers that are due
		}
		if len(c.queue) >= f.o.Limits.MaxPipelined {
			c.pause()
			return
		}
		if share <= 0 || reads > readsATurn {
			c.readOn()
			return
		}
		// What is left of the turn before comes first: it may hold whole commands.
		if len(c.part) > 0 {
			used := c.commands(c.part, &share)
			if c.closed || c.last {
				return
			}
			// A large command once must not keep its room; one that is still coming is not copied at each read.
			if c.part = c.part[used:]; len(c.part) == 0 || used > 0 && cap(c.part) > readSize {
				c.part = bytes.Clone(c.part)
			}
			if share <= 0 || len(c.queue) >= f.o.Limits.MaxPipelined {
				continue
			}
		}
		n, err := c.nc.Read(f.in)
		switch {
		case errors.Is(err, machine.ErrWait):
			c.settle()
			return
		case err != nil:
			c.depart(err)
			return
		}
		if !c.take(f.in[:n], &share) {
			return
		}
	}
}

// depart takes the news that the client has gone. What it has sent and nobody has read is asked by nobody.
func (c *client) depart(err error) {
	c.broken, c.gone = errors.Is(err, machine.ErrReset), true
	c.close()
}

// take adds bytes that have come and carries out the commands among them. It reports whether the connection
// is to be read on.
func (c *client) take(b []byte, share *int) bool {
	if len(c.part) == 0 {
		used := c.commands(b, share)
		if c.closed || c.last {
			return false
		}
		b = b[used:]
	}
	if len(b) == 0 {
		return true
	}
	if len(c.part)+len(b) > resp.MaxCommandBytes+readSize {
		c.refuse("too big a command")
		return false
	}
	c.part = append(c.part, b...)
	// Small rests are not counted: there are as many as clients at most.
	if most := int64(cap(c.part)); most > readSize && most > c.held {
		if !c.front.memory.take(most - c.held) {
			c.say([]byte(BusyReply))
			c.finish()
			return false
		}
		c.held = most
	}
	return true
}

// commands carries out the whole commands at the front of b, as many as the share allows, and returns how many
// bytes they took.
func (c *client) commands(b []byte, share *int) (used int) {
	// The danger: an answer has found the connection broken and closed it; what a command asks for after that is
	// asked by nobody, and never given back.
	for !c.closed && *share > 0 && len(c.queue) < c.front.o.Limits.MaxPipelined && used < len(b) {
		n, err := resp.CommandSize(b[used:])
		if err == nil && n == 0 && len(b)-used > resp.MaxCommandBytes {
			err = errors.New("too big a command")
		}
		if err != nil {
			c.refuse(err.Error())
			return used
		}
		if n == 0 {
			return used
		}
		*share--
		c.consumed = true
		raw := bytes.Clone(b[used : used+n]) // it outlives the buffer
		used += n
		if !c.command(raw) {
			c.finish()
			return used
		}
	}
	return used
}

// pause stops the reading until answers leave. The danger: a client that is not read passes for one that stops in a
// command, and loses all that it waits for.
func (c *client) pause() {
	c.paused = true
	if c.state == fresh || c.state == partial || c.state == idle {
		c.enter(busy)
	}
}

// settle puts the client into the state that fits what it has sent and what it is due.
func (c *client) settle() {
	c.part = shrink(c.part)
	if c.held > 0 && int64(cap(c.part)) < c.held {
		c.front.memory.give(c.held)
		c.held = 0
	}
	var next state
	switch {
	case c.state == closing || c.state == stuck:
		return
	case len(c.part) > 0:
		next = partial
	case len(c.queue) > 0:
		next = busy
	case c.retired && c.asked && c.nc.Quiet():
		c.close()
		return
	case c.asked:
		next = idle
	default:
		next = fresh
	}
	if c.surplus && next != busy {
		next = surplus
	}
	// Time in a command runs from its first byte on, idle time from the last command or answer.
	if next != c.state || c.consumed {
		c.enter(next)
	}
	c.consumed = false
}

// shrink lets go of room that an empty rest holds.
func shrink(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

// readOn has the client read in a turn of its own.
func (c *client) readOn() {
	if c.more || c.closed {
		return
	}
	c.more = true
	c.front.m.Post(func() {
		c.more = false
		c.read()
		c.front.desk.ProcessEvents()
	})
}

// command carries out one command. It reports whether the connection goes on.
func (c *client) command(raw []byte) bool {
	f := c.front
	args, _, err := resp.AppendCommand(f.args[:0], raw)
	if err != nil || len(args) == 0 {
		return true // its size was told, so that it can be read
	}
	f.args = args
	goesOn := c.carryOut(args, raw)
	clear(args) // they hold what was read
	return goesOn
}

// carryOut carries out the words of a command.
func (c *client) carryOut(args [][]byte, raw []byte) bool {
	f := c.front
	switch verb := args[0]; {
	case bytes.EqualFold(verb, getVerb), bytes.EqualFold(verb, setVerb):
		return c.request(args, raw)
	case bytes.EqualFold(verb, pingVerb):
		c.asked = true
		switch {
		case !f.desk.Serving():
			c.say([]byte("-LOADING no caches are known yet\r\n"))
		case len(args) > 1:
			c.say(redcon.AppendBulk(nil, args[1]))
		default:
			c.say([]byte("+PONG\r\n"))
		}
		return true
	case bytes.EqualFold(verb, quitVerb):
		c.say([]byte("+OK\r\n"))
		return false
	}
	if raw[0] != '*' && isHTTP(args) {
		// The danger: a web page has a browser send HTTP here, and a command in the body is carried out.
		c.say(redcon.AppendError(nil, "ERR Protocol error: this is no HTTP server"))
		return false
	}
	return c.reject("unknown command")
}

// request takes a request in. It reports whether the connection goes on.
func (c *client) request(args [][]byte, raw []byte) bool {
	f := c.front
	if raw[0] != '*' {
		return c.reject("an array is wanted")
	}
	s := &ReplySlot{client: c, charge: int64(len(raw)), asked: true, FirstOnConnection: !c.used}
	if err := s.Command.Parse(args, len(raw), f.o.Classes); err != nil {
		return c.reject(err.Error())
	}
	c.errors, c.asked = 0, true
	if c.surplus && !c.retired {
		// What it has sent behind this is refused too, and it is closed between requests.
		c.retired, c.retireAt = true, f.m.Now()-lastReads-1
	}
	// The danger: a client that always has a request out keeps its connection open to the end of the
	// drain, and what it has out then is lost. Refused, it comes to a moment between requests.
	if c.retired && f.m.Now() > c.retireAt+lastReads || !f.memory.take(int64(len(raw))) {
		c.say(AppendBusy(nil, f.o.RetryAfter))
		return true
	}
	c.used = true
	c.queue = append(c.queue, s)
	f.desk.HandleRequest(s, f.m.Now())
	return true
}

// reject answers a bad command. It reports whether the connection goes on: one that sends nothing
// else is closed.
func (c *client) reject(why string) bool {
	c.say(redcon.AppendError(nil, "ERR "+why))
	c.errors++
	return c.errors < c.front.o.Limits.MaxConsecutiveErrors
}

// refuse answers bytes that can't be told apart, or a command that does not end, and closes.
func (c *client) refuse(why string) {
	c.say(redcon.AppendError(nil, "ERR Protocol error: "+why))
	c.finish()
}

// say queues an answer of the router's own.
func (c *client) say(answer []byte) {
	s := &ReplySlot{client: c}
	c.queue = append(c.queue, s)
	s.Answer(answer)
}

// finish closes the connection behind the answers that are due.
func (c *client) finish() {
	if c.closed {
		return
	}
	c.last, c.part = true, nil
	if c.state != stuck {
		c.enter(busy)
		c.flush()
	}
}

// retire has the connection closed as soon as it is between requests.
func (c *client) retire() {
	if c.retired || c.closed {
		return
	}
	c.retired, c.retireAt = true, c.front.m.Now()
	c.part = shrink(c.part)
	settled := c.state == idle || c.state == fresh && c.since+commandGrace <= c.retireAt
	if settled && c.nc.Quiet() {
		c.close()
		return
	}
	c.giveGrace()
}

// giveGrace gives what has begun a moment to come whole, and a connection that has just come up one for its first
// command: who has opened it means to ask. What is due is answered, however long that takes.
//
// The danger: the last byte has come when the moment is over, and nobody has read it yet. So it is read first.
func (c *client) giveGrace() {
	if c.grace {
		return
	}
	c.grace = true
	c.front.m.At(c.front.m.Now()+commandGrace, func() {
		c.grace = false
		c.look()
		switch {
		case c.closed || c.last || len(c.queue) > 0 || len(c.unsent) > 0: // it ends behind its answers
		case c.more:
			c.giveGrace() // there is more to be read than one turn takes
		case len(c.part) > 0:
			c.refuse("the command does not go on")
		default:
			c.close()
		}
		c.front.desk.ProcessEvents()
	})
}

// flush sends the answers that are there, in the order of the commands.
func (c *client) flush() {
	f := c.front
	for !c.closed {
		b := c.unsent
		if len(b) == 0 {
			b = c.gather()
		}
		if len(b) == 0 {
			break
		}
		n, err := c.nc.Write(b)
		if err != nil {
			c.unsent = b // it is counted
			c.gone = true
			c.close()
			return
		}
		f.memory.give(int64(n))
		if n < len(b) {
			c.keep(b[n:])
			return
		}
		c.unsent = nil
	}
	if c.closed {
		return
	}
	if c.state == stuck {
		c.enter(busy)
		c.settle()
	}
	if c.paused && len(c.queue) < f.o.Limits.MaxPipelined {
		c.paused = false
		c.readOn()
	}
	c.rest()
}

// gather takes answers that are there off the queue: one, or as many as stay below a bound. They are
// counted until they are sent.
//
// The danger: a client that does not read has all its answers put together anew with each one that comes,
// and the loop does nothing else.
func (c *client) gather() []byte {
	f := c.front
	size, charged, n := 0, int64(0), 0
	for n < len(c.queue) && c.queue[n].answered && (n == 0 || size+len(c.queue[n].answer) <= gatherSize) {
		size += len(c.queue[n].answer)
		charged += c.queue[n].charge
		n++
	}
	if n == 0 {
		return nil
	}
	f.memory.give(charged - int64(size))
	b := c.queue[0].answer
	if n > 1 {
		f.out = f.out[:0]
		for _, s := range c.queue[:n] {
			f.out = append(f.out, s.answer...)
		}
		b = f.out
	}
	for _, s := range c.queue[:n] {
		s.sent = true
	}
	left := copy(c.queue, c.queue[n:])
	clear(c.queue[left:])
	c.queue = c.queue[:left]
	return b
}

// keep holds what the socket did not take. The client's time to take it runs from its first byte on.
func (c *client) keep(rest []byte) {
	if len(c.unsent) > 0 {
		c.unsent = rest // of the same
		return
	}
	c.unsent = bytes.Clone(rest)
	c.enter(stuck)
}

// rest sees to a connection whose answers are sent as far as they are there.
func (c *client) rest() {
	if c.closed || len(c.queue) > 0 || len(c.unsent) > 0 || c.state == closing {
		return
	}
	switch {
	case c.last:
		c.goodbye()
	case c.retired && len(c.part) > 0:
		c.giveGrace()
	case c.retired:
		c.closeQuiet()
	case c.state == busy && len(c.part) == 0:
		c.enter(idle)
	}
}

// look reads what has come, also where the machine has not told of it yet: it tells of so many connections in a turn.
func (c *client) look() {
	if !c.nc.Quiet() {
		c.read()
	}
}

// closeQuiet closes a connection between requests; one that has sent more meanwhile is read on. The danger: a request that
// has come and is not read yet is lost with its connection.
func (c *client) closeQuiet() {
	if c.nc.Quiet() {
		c.close()
	} else {
		c.readOn()
	}
}

// goodbye closes the connection, and lets the client read the last answer first. The danger: closing while bytes of
// an oversized command still come resets the connection, and the answer is lost with it.
func (c *client) goodbye() {
	if c.nc.Quiet() || c.nc.CloseWrite() != nil {
		c.close()
		return
	}
	c.enter(closing)
	c.linger()
}

// linger reads off what still comes, up to a bound.
func (c *client) linger() {
	for reads := 0; ; reads++ {
		if reads > readsATurn {
			c.readOn()
			return
		}
		n, err := c.nc.Read(c.front.in)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if c.lingered += n; err != nil || c.lingered > lingerSize {
			c.close()
			return
		}
	}
}

// closeReason is why the connection ends, for the log.
func (c *client) closeReason() string {
	switch {
	case c.broken:
		return "reset-by-client"
	case c.gone:
		return "ended-by-client"
	case c.front.closed:
		return "router-ends"
	case c.surplus:
		return "too-many-clients"
	case c.retired:
		return "retired"
	}
	return "overdue-" + stateNames[c.state]
}

// close ends the connection. Requests that it still waits for are nobody's any more.
func (c *client) close() {
	if c.closed {
		return
	}
	f := c.front
	c.closed = true
	byRouter := !c.gone && c.state != stuck // who takes no answers can't be given any
	c.leave()
	c.nc.Close()
	f.clients--
	f.memory.give(c.held + int64(len(c.unsent)))
	var asked []*ReplySlot
	for _, s := range c.queue {
		f.memory.give(s.charge)
		if s.asked && !s.answered {
			asked = append(asked, s)
		}
	}
	c.queue, c.part, c.unsent = nil, nil, nil
	f.desk.ConnectionClosed(c.closeReason(), len(asked))
	if len(asked) > 0 {
		f.desk.ClientsGone(asked, byRouter)
	}
	if f.full || f.lists[surplus].first != nil {
		f.room(nil)
	}
	f.check()
}

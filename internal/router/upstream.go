package router

import (
	"errors"
	"net"
	"slices"
	"sort"
	"strconv"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
)

// upstream is one cache server: its connections and the attempts that wait for one.
type upstream struct {
	l       *loop
	name    string
	addr    string
	entry   decide.Entry // what the list says of it
	told    decide.Time  // its last start in the list's words
	listed  bool
	trouble trouble
	out     int  // attempts without an outcome, those that wait included
	up      bool // the list says that it may be sent new work
	gone    bool // the list does not name it any more
	resting bool // a timer is set for the end of a connection's rest
	waking  bool // ... for a look at what waits
	conns   map[*conn]struct{}
	idle    []*conn // the one used last stands last
	dialing int
	most    int
	waiting []*attempt // in the order of their sending

	rest     decide.Time // of a connection, between an answer and the next request at least
	fullRest decide.Time // ... where there is a choice: a cache may close right after an answer, and that takes its way
}

func newUpstream(l *loop, name string) *upstream {
	bounds := &l.cfg.Bounds.Caches
	return &upstream{l: l, name: name, conns: map[*conn]struct{}{},
		most:     max(bounds.LeastConnections, bounds.FleetConnections/max(1, l.cfg.Settings.Routers)),
		rest:     bounds.RestTime.Microseconds(),
		fullRest: bounds.FullRestTime.Microseconds()}
}

// update takes over what the list says.
func (u *upstream) update(addr string, up, gone bool) {
	if addr != u.addr {
		u.addr = addr
		u.closeIdle(u.l.now)
	}
	if gone {
		u.recovered()
	}
	u.up, u.gone, u.listed = up, gone, true
	if !up {
		// The danger: an attempt that waits for a connection is sent after the drain is known.
		for len(u.waiting) > 0 {
			u.waiting[0].end(decide.NotSent, nil)
		}
		u.closeIdle(u.l.now)
	}
	u.drop()
}

// drop lets go of a cache that is gone once nothing is open on it.
func (u *upstream) drop() {
	if u.gone && len(u.conns) == 0 && len(u.waiting) == 0 && u.l.upstreams[u.name] == u {
		delete(u.l.upstreams, u.name)
	}
}

// closeIdle closes the connections that have stood idle since the given time or longer.
func (u *upstream) closeIdle(since decide.Time) {
	kept := u.idle[:0]
	for _, c := range u.idle {
		if c.idleSince <= since || !c.quiet() {
			c.close()
		} else {
			kept = append(kept, c)
		}
	}
	clear(u.idle[len(kept):])
	u.idle = kept
}

func (u *upstream) closeAll() {
	for c := range u.conns {
		c.close()
	}
}

type attemptState uint8

const (
	waiting attemptState = iota // for a connection; not a byte has been written
	writing                     // some of it has been written
	written                     // all of it: it may run from now on
	over
)

// attempt is one sending of a request, or a probe if it has no request. It has exactly one outcome.
type attempt struct {
	request  *request
	number   int
	upstream *upstream
	sent     decide.Time
	stopAt   decide.Time
	writeBy  decide.Time // its last byte has to be written before then; 0 for no such bound
	state    attemptState
	conn     *conn
	stopping bool          // given up while part of it is written
	result   decide.Result // ... for this reason
	timers   [3]*timer     // to be stopped with it
}

// start sends an attempt on an idle connection, or has it wait for one.
func (u *upstream) start(a *attempt) {
	l := u.l
	a.timers[0] = l.at(a.stopAt, func() { a.giveUp(decide.NoAnswer) })
	if a.writeBy > 0 && a.writeBy < a.stopAt {
		a.timers[2] = l.at(a.writeBy, func() {
			if a.state == waiting || a.state == writing {
				a.giveUp(decide.NoAnswer)
			}
		})
	}
	u.waiting = append(u.waiting, a)
	u.pump()
	if a.state == waiting {
		// The danger: one that waits to the end has neither time for another attempt nor was it sent.
		a.timers[1] = l.at(a.sent+min(l.cfg.Transport.DialTimeout, (a.stopAt-a.sent)*2/5), func() {
			if a.state == waiting {
				a.end(decide.NoConnection, nil)
			}
		})
	}
}

// sendable is the last look before an attempt's first byte: all may have changed while it waited.
func (u *upstream) sendable(a *attempt) bool {
	return u.up && u.l.now < a.stopAt && (a.writeBy == 0 || u.l.now < a.writeBy) && (a.request == nil || !a.request.over)
}

// pump gives idle connections to waiting attempts, first come first served, and
// opens more where there are too few.
func (u *upstream) pump() {
	for len(u.waiting) > 0 {
		a := u.waiting[0]
		if !u.sendable(a) {
			a.end(decide.NotSent, nil)
			continue
		}
		c := u.rested()
		if c == nil {
			u.dial()
			return
		}
		c.write(a)
	}
}

// rested takes an idle connection on which nothing has come since its answer. The danger: a second
// copy of the answer, a moment behind the first, would be taken for the answer to the next request.
func (u *upstream) rested() *conn {
	for len(u.idle) > 0 {
		// The one used last of those that are fully rested, so that others can idle out; else the first.
		i := sort.Search(len(u.idle), func(i int) bool { return u.idle[i].idleSince > u.l.now-u.fullRest })
		i = max(i-1, 0)
		c := u.idle[i]
		if c.idleSince > u.l.now-u.rest {
			break
		}
		u.idle = slices.Delete(u.idle, i, i+1)
		if c.quiet() {
			return c
		}
		c.close()
	}
	if len(u.idle) > 0 && !u.resting {
		u.resting = true
		u.l.at(u.idle[0].idleSince+u.rest, func() {
			u.resting = false
			u.pump()
		})
	}
	return nil
}

// wake has attempts that wait for a connection looked at, in a turn of its own. The danger: a
// connection ends that they were counting on, and they stall until their dial time-out.
func (u *upstream) wake() {
	if len(u.waiting) > 0 && !u.waking {
		u.waking = true
		u.l.at(u.l.now, func() {
			u.waking = false
			u.pump()
		})
	}
}

// free takes back a connection that is ready for the next attempt.
func (u *upstream) free(c *conn, since decide.Time) {
	if !u.up || c.addr != u.addr {
		c.close()
		return
	}
	c.idleSince = since
	i := sort.Search(len(u.idle), func(i int) bool { return u.idle[i].idleSince > since })
	u.idle = slices.Insert(u.idle, i, c)
	u.pump()
}

// dial opens as many connections as there is need and room for. The danger: a
// burst that dials one for each request fills the cache's table and takes its time.
func (u *upstream) dial() {
	for u.dialing < min(len(u.waiting)-len(u.idle), u.l.cfg.Bounds.Caches.DialsAtATime) && len(u.conns) < u.most && u.l.descriptor() {
		c := &conn{upstream: u, addr: u.addr, turn: make(chan struct{}, 1)}
		u.conns[c] = struct{}{}
		u.dialing++
		go c.run(u.addr, time.Duration(u.l.cfg.Transport.DialTimeout)*time.Microsecond)
	}
}

// dialed takes a connection that is up, or the news that it could not be had.
func (u *upstream) dialed(c *conn, nc *net.TCPConn, raw syscall.RawConn, err error) {
	u.dialing--
	switch {
	case err != nil:
		c.close()
		if len(u.waiting) > 0 {
			u.waiting[0].end(decide.NoConnection, nil)
		}
		u.pump()
	case c.closed:
		nc.Close()
	default:
		c.nc, c.raw = nc, raw
		u.free(c, u.l.now-u.rest) // nothing has been asked on it
	}
}

// giveUp ends the wait on an attempt: it was cancelled or its time is up.
func (a *attempt) giveUp(why decide.Result) {
	switch a.state {
	case waiting:
		a.end(decide.NotSent, nil)
	case writing:
		// The writer may have written the last byte or not; it tells when it has stopped.
		a.stopping, a.result = true, why
		a.conn.close()
	case written:
		a.conn.close()
		a.end(why, nil)
	}
}

// end gives the attempt its outcome.
func (a *attempt) end(result decide.Result, rep *reply) {
	if a.state == over {
		return
	}
	if a.state == waiting {
		for i, w := range a.upstream.waiting {
			if w == a {
				a.upstream.waiting = slices.Delete(a.upstream.waiting, i, i+1)
				break
			}
		}
	}
	a.state = over
	for _, t := range a.timers {
		a.upstream.l.stop(t)
	}
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
	a.upstream.l.ended(a, result, rep)
	a.upstream.drop()
}

// conn is one connection to a cache. It carries one request at a time: answers
// come in order, and a quick one must not wait for a slow one.
type conn struct {
	upstream  *upstream
	addr      string
	nc        *net.TCPConn // nil until it is up
	raw       syscall.RawConn
	attempt   *attempt      // what it carries
	turn      chan struct{} // lets the reader wait for one answer; closed with the connection
	idleSince decide.Time
	closed    bool
}

// run dials and then reads one answer for each request, until the connection ends. Between
// them it reads nothing: what comes then stays in the socket, where the loop looks for it.
func (c *conn) run(addr string, timeout time.Duration) {
	u := c.upstream
	nc, raw, err := dialTCP(addr, timeout)
	u.l.post(func() { u.dialed(c, nc, raw, err) })
	if err != nil {
		return
	}
	defer nc.Close()
	for range c.turn {
		rep, clean, err := readReply(nc)
		if err != nil {
			u.l.post(c.broken)
			return
		}
		u.l.post(func() { c.answered(rep, clean) })
	}
}

// readReply reads one answer. It is clean where nothing came behind it.
func readReply(nc net.Conn) (rep *reply, clean bool, err error) {
	buf := make([]byte, 0, 1024)
	for {
		rep, used, err := nextReply(buf)
		if err != nil {
			return nil, false, err
		}
		if used > 0 {
			return rep, used == len(buf), nil
		}
		if len(buf) >= mostReply {
			return nil, false, errReply
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, min(2*cap(buf), mostReply)), buf...)
		}
		n, err := nc.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return nil, false, err
		}
		buf = buf[:len(buf)+n]
	}
}

func dialTCP(addr string, timeout time.Duration) (*net.TCPConn, syscall.RawConn, error) {
	nc, err := (&net.Dialer{Timeout: timeout, KeepAlive: -1}).Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	tcp := nc.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err != nil {
		tcp.Close()
		return nil, nil, err
	}
	return tcp, raw, nil
}

// close ends a connection. Its reader sees the end of it.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	close(c.turn)
	delete(c.upstream.conns, c)
	if c.nc != nil {
		c.nc.Close()
	}
	c.upstream.l.released()
	c.upstream.wake()
	c.upstream.drop()
}

// quiet reports whether an idle connection is open and nothing waits in it to be read.
func (c *conn) quiet() bool {
	var err error
	rerr := c.raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return rerr == nil && (err == syscall.EAGAIN || err == syscall.EINTR)
}

// write sends the attempt that has waited longest. The loop itself writes as much as the socket takes at
// once, nearly always all: so nothing comes between the last look and the first byte.
func (c *conn) write(a *attempt) {
	buf := a.encode(c.upstream.l.now)
	n, err := c.tryWrite(buf)
	if n == 0 && err != nil {
		c.close() // the cache had closed it; not a byte has gone out, so the attempt may have another one
		return
	}
	c.upstream.waiting = c.upstream.waiting[1:]
	c.attempt, a.conn = a, c
	c.turn <- struct{}{} // the reader has taken the last one, so this does not block
	switch {
	case err != nil:
		a.state = writing
		c.close()
		a.end(decide.NoConnection, nil)
	case n == len(buf):
		a.state = written
	default:
		a.state = writing
		go func() {
			m, err := c.nc.Write(buf[n:])
			c.upstream.l.post(func() { c.wrote(a, n+m == len(buf), err) })
		}()
	}
}

// wrote takes the news of a long write.
func (c *conn) wrote(a *attempt, whole bool, err error) {
	if a.state != writing {
		return
	}
	switch {
	case !whole && a.stopping && a.result != decide.ConnLost:
		a.end(decide.NotSent, nil)
	case !whole:
		c.close()
		a.end(decide.NoConnection, nil)
	case a.stopping:
		a.end(a.result, nil)
	default:
		a.state = written
	}
}

// tryWrite writes what the socket takes without waiting.
func (c *conn) tryWrite(b []byte) (n int, err error) {
	werr := c.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), b)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if err == syscall.EAGAIN {
		return 0, nil
	}
	return max(n, 0), errors.Join(werr, err)
}

// broken takes the news that the connection has ended.
func (c *conn) broken() {
	u := c.upstream
	c.close()
	if a := c.attempt; a != nil {
		switch {
		case a.state != writing:
			a.end(decide.ConnLost, nil)
		case !a.stopping: // else the router itself has closed it
			a.stopping, a.result = true, decide.ConnLost
		}
	}
	u.pump()
}

// answered takes an answer.
func (c *conn) answered(rep *reply, clean bool) {
	if c.closed {
		return
	}
	a := c.attempt
	if a == nil || a.state == writing {
		c.broken() // nobody asked, or not yet: what else comes can't be told apart either
		return
	}
	result := rep.result
	switch probe := a.request == nil; {
	case rep.pong != probe && result != decide.Rejected && (rep.pong || rep.value != nil):
		c.broken() // an answer to something else
		return
	case rep.pong:
		result = decide.Served
	}
	a.end(result, rep)
	if !clean {
		c.close()
		return
	}
	c.upstream.free(c, c.upstream.l.now)
}

// encode is what goes over the wire: the client's words, but for the time that this attempt has.
func (a *attempt) encode(now decide.Time) []byte {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendArray(nil, 1), "PING")
	}
	cmd := &a.request.cmd
	meta := cmd.args[metaArg]
	timed := make([]byte, 0, len(meta)+8)
	timed = append(timed, meta[:cmd.waitFrom]...)
	timed = strconv.AppendInt(timed, max(1, (a.stopAt-now)/1000), 10)
	timed = append(timed, meta[cmd.waitTo:]...)
	b := redcon.AppendArray(make([]byte, 0, cmd.size+32), len(cmd.args))
	for i, arg := range cmd.args {
		if i == metaArg {
			arg = timed
		}
		b = redcon.AppendBulk(b, arg)
	}
	return b
}

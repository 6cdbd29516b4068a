package router

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"starlingwinch/decide"
)

const (
	probeTimeout = 500_000 // microseconds that a cache has to answer a probe
	fleetConns   = 72      // connections to a cache over all routers: it holds 90, and a full table slows it
	leastConns   = 2       // ... and one router's part of them, at least
	mostDials    = 4       // connections to one cache that come up at a time
	mostReply    = mostValue + 4096
	mostLine     = 512 // bytes of a line of an answer
	mostItems    = 16  // of an array
)

// upstream is one cache server: its connections and the attempts that wait for one.
type upstream struct {
	l       *loop
	name    string
	addr    string
	up      bool // the list says that it may be sent new work
	conns   map[*conn]struct{}
	idle    []*conn // the one used last stands last
	dialing int
	most    int
	waiting []*attempt // in the order of their sending
}

func newUpstream(l *loop, name string) *upstream {
	return &upstream{l: l, name: name, conns: map[*conn]struct{}{},
		most: max(leastConns, fleetConns/max(1, l.cfg.Settings.Routers))}
}

// update takes over what the list says.
func (u *upstream) update(addr string, up bool) {
	if addr != u.addr {
		u.addr = addr
		u.closeIdle(u.l.now)
	}
	u.up = up
	if !up {
		// The danger: an attempt that waits for a connection is sent after the drain is known.
		for len(u.waiting) > 0 {
			u.waiting[0].end(decide.NotSent, nil)
		}
		u.closeIdle(u.l.now)
	}
}

// closeIdle closes the connections that have stood idle since the given time or longer.
func (u *upstream) closeIdle(since decide.Time) {
	kept := u.idle[:0]
	for _, c := range u.idle {
		if c.idleSince <= since {
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
	state    attemptState
	conn     *conn
	stopping bool          // given up while part of it is written
	result   decide.Result // ... for this reason
}

// start sends an attempt on an idle connection, or has it wait for one.
func (u *upstream) start(a *attempt) {
	l := u.l
	l.at(a.stopAt, func() { a.giveUp(decide.NoAnswer) })
	u.waiting = append(u.waiting, a)
	u.pump()
	if a.state == waiting {
		l.at(a.sent+l.cfg.Transport.DialTimeout, func() {
			if a.state == waiting {
				a.end(decide.NoConnection, nil)
			}
		})
	}
}

// sendable is the last look before an attempt's first byte: all may have changed while it waited.
func (u *upstream) sendable(a *attempt) bool {
	return u.up && u.l.now < a.stopAt && (a.request == nil || !a.request.over)
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
		if len(u.idle) == 0 {
			u.dial()
			return
		}
		c := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		c.write(a)
	}
}

// free takes back a connection that is ready for the next attempt.
func (u *upstream) free(c *conn) {
	if !u.up || c.addr != u.addr {
		c.close()
		return
	}
	c.idleSince = u.l.now
	u.idle = append(u.idle, c)
	u.pump()
}

// dial opens as many connections as there is need and room for. The danger: a
// burst that dials one for each request fills the cache's table and takes its time.
func (u *upstream) dial() {
	for u.dialing < min(len(u.waiting), mostDials) && len(u.conns) < u.most && u.l.descriptor() {
		c := &conn{upstream: u, addr: u.addr}
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
		u.free(c)
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
				a.upstream.waiting = append(a.upstream.waiting[:i], a.upstream.waiting[i+1:]...)
				break
			}
		}
	}
	a.state = over
	if a.conn != nil {
		a.conn.attempt, a.conn = nil, nil
	}
	a.upstream.l.ended(a, result, rep)
}

// conn is one connection to a cache. It carries one request at a time: answers
// come in order, and a quick one must not wait for a slow one.
type conn struct {
	upstream  *upstream
	addr      string
	nc        *net.TCPConn // nil until it is up
	raw       syscall.RawConn
	attempt   *attempt // what it carries
	idleSince decide.Time
	closed    bool
}

// run dials and then reads answers, until the connection ends.
func (c *conn) run(addr string, timeout time.Duration) {
	u := c.upstream
	nc, raw, err := dialTCP(addr, timeout)
	u.l.post(func() { u.dialed(c, nc, raw, err) })
	if err != nil {
		return
	}
	defer nc.Close()
	var buf []byte
	for {
		rep, rest, err := readReply(nc, buf)
		if err != nil {
			u.l.post(c.broken)
			return
		}
		buf = rest
		// Bytes behind an answer are not awaited by anyone: the connection is out of step.
		clean := len(rest) == 0
		u.l.post(func() { c.answered(rep, clean) })
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
	delete(c.upstream.conns, c)
	if c.nc != nil {
		c.nc.Close()
	}
	c.upstream.l.released()
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
	for i, w := range u.idle {
		if w == c {
			u.idle = append(u.idle[:i], u.idle[i+1:]...)
			break
		}
	}
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
	if a.request == nil && rep.pong {
		result = decide.Served
	}
	a.end(result, rep)
	if !clean {
		c.close()
		return
	}
	c.upstream.free(c)
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

// reply is a cache's answer.
type reply struct {
	result decide.Result
	value  []byte // a bulk string on the wire, for the client as it is
	miss   bool
	pong   bool
	load   decide.Load
}

var errReply = errors.New("malformed answer")

// readReply reads one answer and returns it with the bytes that came behind it.
func readReply(nc net.Conn, buf []byte) (*reply, []byte, error) {
	for {
		n, resp, err := nextReply(buf)
		if err != nil {
			return nil, nil, err
		}
		if n > 0 {
			return parseReply(resp), append([]byte(nil), buf[n:]...), nil
		}
		if len(buf) >= mostReply {
			return nil, nil, errReply
		}
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, max(1024, 2*cap(buf))), buf...)
		}
		m, err := nc.Read(buf[len(buf):cap(buf)])
		if err != nil {
			return nil, nil, err
		}
		buf = buf[:len(buf)+m]
	}
}

// nextReply takes one answer off b; n is 0 where it is not whole yet. The danger: the
// codec panics on lengths out of range and calls what is malformed incomplete, so a
// cache gone mad would end the router or leave it waiting.
func nextReply(b []byte) (n int, resp redcon.RESP, err error) {
	defer func() {
		if recover() != nil {
			n, err = 0, errReply
		}
	}()
	if n, resp = redcon.ReadNextRESP(b); n > 0 || len(b) == 0 {
		return n, resp, nil
	}
	return 0, resp, incomplete(b)
}

// incomplete tells a beginning of an answer from what can't become one.
func incomplete(b []byte) error {
	for items := 1; items > 0 && len(b) > 0; items-- {
		if n, _ := redcon.ReadNextRESP(b); n > 0 {
			b = b[n:]
			continue
		}
		line, _, whole := bytes.Cut(b, []byte("\r\n"))
		switch b[0] {
		case redcon.Bulk, redcon.Array:
		case redcon.String, redcon.Error, redcon.Integer:
			if whole || len(line) > mostLine {
				return errReply
			}
			return nil
		default:
			return errReply
		}
		if !whole {
			if len(line) > mostLine {
				return errReply
			}
			return nil
		}
		size, err := strconv.Atoi(string(line[1:]))
		if err != nil || size < 0 || size > mostValue {
			return errReply
		}
		if b[0] == redcon.Bulk {
			if rest := b[len(line)+2:]; len(rest) >= size+2 {
				return errReply // all there, so its end is wrong
			}
			return nil
		}
		if items = size + 1; items > mostItems+1 {
			return errReply
		}
		b = b[len(line)+2:]
	}
	return nil
}

// parseReply reads what an answer means, by the protocol's table.
func parseReply(resp redcon.RESP) *reply {
	rep := &reply{result: decide.Errored, load: decide.Load{Busy: -1}}
	switch resp.Type {
	case redcon.Array:
		item := 0
		resp.ForEach(func(r redcon.RESP) bool {
			switch {
			case item == 0 && r.Type == redcon.Bulk && !isNull(r):
				rep.result, rep.value = decide.Served, bytes.Clone(r.Raw)
			case item == 1:
				rep.miss = string(r.Data) == "miss" || string(r.Data) == "pending"
			case item == 2:
				rep.load = parseLoad(string(r.Data))
			}
			item++
			return item < 3
		})
	case redcon.Bulk:
		rep.load = parseLoad(string(resp.Data))
	case redcon.String:
		rep.pong = string(resp.Data) == "PONG"
	case redcon.Error:
		words := strings.Fields(string(resp.Data))
		if len(words) > 0 && words[0] == "BUSY" {
			rep.result = decide.Rejected
		}
		if len(words) > 1 {
			rep.load = parseLoad(words[len(words)-1])
		}
	}
	return rep
}

func isNull(r redcon.RESP) bool { return len(r.Raw) > 1 && r.Raw[1] == '-' }

// parseLoad reads a load report; what it does not know it skips.
func parseLoad(s string) decide.Load {
	l := decide.Load{Busy: -1}
	for _, field := range strings.Split(s, ",") {
		name, text, _ := strings.Cut(field, "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "busy", "util":
			l.Busy = v
		case "fail_rate", "eps":
			l.Errors = v
		}
	}
	return l
}

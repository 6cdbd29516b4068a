package standin

import (
	"errors"
	"slices"

	"starlingwinch/internal/machine"
)

// mostWatch is how long a watch may wait.
const mostWatch = 60 * Second

// discoveryConn is a router's connection to discovery. It answers one call after the other.
type discoveryConn struct {
	stream
	d      *Discovery
	router string
	call   *listCall
	ended  bool
}

// listCall is a call for the list.
type listCall struct {
	after int64 // -1 for the whole list
	waits bool  // it is a watch that has nothing to tell yet
	end   bool  // of the connection, after it
	timer machine.Timer
}

func (d *Discovery) accept(conn machine.Conn, at *door) machine.Handler {
	c := &discoveryConn{stream: stream{conn: conn}, d: d, router: at.router}
	if c.router == "" && d.o.RouterOf != nil {
		c.router = d.o.RouterOf(conn.Remote())
	}
	if d.down && d.resets {
		c.close()
		return c
	}
	d.conns = append(d.conns, c)
	return c
}

// Readable reads what has come, and takes the next call.
func (c *discoveryConn) Readable() {
	if c.closed || c.d.silent {
		return
	}
	c.ended = c.ended || c.fill(mostHead) != nil
	if c.ended {
		c.drop()
		return
	}
	c.next()
}

// Writable writes on.
func (c *discoveryConn) Writable() {
	if c.closed {
		return
	}
	if c.flush() != nil {
		c.drop()
		return
	}
	c.next()
}

// next takes calls off what has come, until one has to wait, or the answer before was not taken yet.
func (c *discoveryConn) next() {
	for c.call == nil && !c.closed && len(c.in) > 0 && len(c.out) == 0 {
		g, used, err := readGet(c.in)
		switch {
		case errors.Is(err, errMethod):
			c.reject("405 Method Not Allowed")
			return
		case err != nil:
			c.reject("400 Bad Request")
			return
		case used == 0:
			return
		}
		c.take(used)
		c.begin(g)
	}
	if c.left && len(c.in) < mostHead {
		c.Readable()
	}
}

func (c *discoveryConn) reject(status string) {
	c.send(httpAnswer(status, nil, true))
	c.drop()
}

// begin takes a call in.
func (c *discoveryConn) begin(g httpGet) {
	d := c.d
	if g.path != "/discovery/hosts" {
		c.reject("404 Not Found")
		return
	}
	call := &listCall{after: -1, end: g.close}
	wait := Time(0)
	if g.query.Has("after") {
		after, ok := number([]byte(g.query.Get("after")))
		ms, ok2 := number([]byte(g.query.Get("wait_ms")))
		if !ok || g.query.Has("wait_ms") && !ok2 {
			c.reject("400 Bad Request")
			return
		}
		call.after, wait = after, min(ms*Millisecond, mostWatch)
	}
	c.call = call
	if who := d.callers[c.router]; who != nil {
		who.last = d.m.Now()
		who.waiting++
	}
	switch {
	case d.down:
		c.refuse()
	case call.after == d.index && wait > 0 && !d.atOnce:
		call.waits = true
		call.timer = d.m.At(d.m.Now()+wait, c.answer)
	default:
		c.answer()
	}
}

// answer answers the call once those before it are done.
func (c *discoveryConn) answer() {
	d := c.d
	if c.call.timer != nil {
		c.call.timer.Stop()
	}
	c.call.waits = false
	now := d.m.Now()
	cost := d.o.CallCost + Time(len(d.lines))*d.o.LineCost
	if cost == 0 {
		c.reply()
		return
	}
	if at := max(now, d.freeAt); d.o.Timeout > 0 && at-now > d.o.Timeout {
		c.call.timer = d.m.At(now+d.o.Timeout, c.refuse)
		return
	}
	d.freeAt = max(now, d.freeAt) + cost
	c.call.timer = d.m.At(d.freeAt, c.reply)
}

func (c *discoveryConn) reply() {
	if c.d.silent {
		c.call.timer = c.d.m.At(c.d.m.Now()+coldStep, c.reply)
		return
	}
	call := c.over()
	body, whole := c.d.list(c.router, call.after)
	err := c.send(httpAnswer("200 OK", body, call.end))
	if err == nil {
		c.d.listed(c.router, call.after, whole)
	}
	if err != nil || call.end {
		c.drop()
		return
	}
	c.next()
}

// refuse answers the call 503.
func (c *discoveryConn) refuse() {
	call := c.over()
	if c.send(httpAnswer("503 Service Unavailable", nil, call.end)) != nil || call.end {
		c.drop()
		return
	}
	c.next()
}

// over ends the call.
func (c *discoveryConn) over() *listCall {
	call := c.call
	c.call = nil
	if call.timer != nil {
		call.timer.Stop()
	}
	if who := c.d.callers[c.router]; who != nil {
		who.last = c.d.m.Now()
		who.waiting--
		if who.waiting == 0 && slices.Contains(c.d.o.Routers, c.router) && c.d.o.AskEvery > 0 {
			c.d.overdue(c.router)
		}
	}
	return call
}

// drop ends the connection.
func (c *discoveryConn) drop() {
	if c.closed {
		return
	}
	c.close()
	c.d.conns = without(c.d.conns, c)
	if c.call != nil {
		c.over()
	}
}

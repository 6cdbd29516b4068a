package upstream

import (
	"errors"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// readsATurn bounds the reads of one connection in one turn, as each may bring as little as a byte.
const readsATurn = 64

// conn is one connection to a cache. It carries one request at a time: answers
// come in order, and a quick one must not wait for a slow one.
type conn struct {
	cache     *cache
	addr      string
	dialing   machine.Dialing // while it comes up
	nc        machine.Conn    // nil until it is up
	attempt   *Attempt        // what it carries
	unwritten []byte          // rest of the attempt's command
	part      []byte          // what has come of its answer
	last      answer          // the one before
	idleSince Time
	closed    bool
}

// dialed takes a connection that is up, or the news that it could not be had.
func (c *conn) dialed(nc machine.Conn, err error) machine.Handler {
	u := c.cache
	defer u.pool.owner.ProcessEvents()
	c.dialing = nil
	u.dialing--
	if err != nil {
		u.opened = 0
		c.close()
		if len(u.waiting) > 0 {
			u.waiting[0].end(unconnected(machine.IsLocal(err)), nil)
		}
		u.pump()
		return nil
	}
	c.nc = nc
	u.opened++
	u.free(c, u.pool.m.Now()-u.rest) // nothing has been asked on it
	return c
}

// unconnected is the outcome of an attempt that got no connection. Where this machine could open none, the cache was not
// asked: counted as its failure, a lack here would speak against all caches at once.
func unconnected(local bool) decide.Result {
	if local {
		return decide.NotSent
	}
	return decide.ConnectFailed
}

// close ends a connection.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	u := c.cache
	u.conns = remove(u.conns, c)
	if i := slices.Index(u.idle, c); i >= 0 {
		u.idle = slices.Delete(u.idle, i, i+1)
		u.pool.idle--
	}
	if c.dialing != nil {
		c.dialing.Cancel()
		c.dialing = nil
		u.dialing--
	}
	if c.nc != nil {
		c.nc.Close()
	}
	c.part, c.unwritten = nil, nil
	u.pool.released()
	u.wake()
	u.drop()
}

func remove(list []*conn, c *conn) []*conn {
	if i := slices.Index(list, c); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// write sends the attempt that has waited longest. It writes as much as the socket takes at
// once, nearly always all: so nothing comes between the last look and the first byte. It reports whether the machine takes
// bytes; where it took none the attempt has not begun, and is looked at again before it does.
func (c *conn) write(a *Attempt) bool {
	u := c.cache
	p := u.pool
	p.out = a.encode(p.out[:0], p.m.Now())
	n, err := c.nc.Write(p.out)
	if n == 0 && err != nil {
		c.close() // the cache had closed it; not a byte has gone out, so the attempt may have another one
		return true
	}
	if n == 0 {
		u.putBack(c)
		return false
	}
	u.waiting = slices.Delete(u.waiting, 0, 1)
	c.attempt, a.conn = a, c
	if now := p.m.Now(); n > 0 && a.Request != nil {
		a.Request.WriteStarted(now, a.Deadline-now, err == nil && n == len(p.out))
	}
	switch {
	case err != nil:
		a.state = writing
		c.broken()
	case n == len(p.out):
		a.state = written
	default:
		a.state = writing
		c.unwritten = append(c.unwritten[:0], p.out[n:]...)
	}
	return true
}

// Writable goes on with a command that did not go out whole.
func (c *conn) Writable() {
	defer c.cache.pool.owner.ProcessEvents()
	a := c.attempt
	if a == nil || a.state != writing {
		return
	}
	n, err := c.nc.Write(c.unwritten)
	c.unwritten = c.unwritten[n:]
	switch {
	case err != nil:
		c.broken()
	case len(c.unwritten) == 0:
		a.state, c.unwritten = written, nil
		if a.Request != nil {
			a.Request.WriteCompleted()
		}
	}
}

// broken takes the news that the connection has ended, or is of no further use.
func (c *conn) broken() {
	c.close()
	if a := c.attempt; a != nil {
		if a.state == writing {
			a.end(decide.ConnectFailed, nil) // its last byte was never written
		} else {
			a.end(decide.ConnectionLost, nil)
		}
	}
}

// Readable takes an answer, or what has come unasked.
func (c *conn) Readable() {
	p := c.cache.pool
	defer p.owner.ProcessEvents()
	if c.attempt == nil || c.attempt.state != written {
		if !c.nc.Quiet() {
			if c.attempt == nil {
				c.stray()
			}
			c.broken() // nobody asked, or not yet: what else comes can't be told apart either
		}
		return
	}
	for reads := 0; ; reads++ {
		if reads == readsATurn {
			c.readOn()
			return
		}
		n, err := c.nc.Read(p.in)
		if errors.Is(err, machine.ErrWait) {
			return
		}
		if err != nil {
			c.broken()
			return
		}
		came := p.in[:n]
		if len(c.part) > 0 {
			c.part = append(c.part, came...)
			came = c.part
		}
		rep := &p.rep
		used, err := rep.Next(came)
		switch {
		case err != nil || used == 0 && len(came) >= resp.MaxReplyBytes:
			c.broken()
			return
		case used > 0:
			c.part = nil
			c.answered(rep, used == len(came))
			return
		case len(c.part) == 0:
			c.part = append(c.part, came...)
		}
	}
}

// readOn has the rest of an answer read in a turn of its own: it may come byte by byte.
func (c *conn) readOn() {
	a := c.attempt
	c.cache.pool.m.Post(func() {
		if !c.closed && c.attempt == a {
			c.Readable()
		}
	})
}

// answered takes an answer. It is clean where nothing came behind it.
func (c *conn) answered(rep *resp.Reply, clean bool) {
	a := c.attempt
	result := rep.Result
	switch probe := a.Request == nil; {
	case rep.Pong != probe && result != decide.Rejected && (rep.Pong || rep.Value != nil):
		c.broken() // an answer to something else
		return
	case rep.Pong:
		result = decide.Served
	case c.repeats(a.Request, rep.Value):
		c.broken()
		return
	}
	a.end(result, rep)
	if !clean {
		c.close()
		return
	}
	c.cache.free(c, c.cache.pool.m.Now())
}

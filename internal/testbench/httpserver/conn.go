package httpserver

import (
	"bytes"
	"errors"
	"net/http"
	"slices"

	"starlingwinch/internal/machine"
)

// mostDiscarded bounds what is read after the last answer.
const mostDiscarded = 1 << 20

// conn is a client's connection. What it does next follows from its fields: an answer that is not sent yet comes
// first, then the exchange that is out, then what has come.
type conn struct {
	s    *Server
	conn machine.Conn

	in      []byte   // has come and was not taken
	left    bool     // more may wait in the connection: in was full
	scanned int      // bytes of in that hold no end of a head
	blank   bool     // an empty line before the next head was passed over
	req     *request // whose body has not come whole
	chunks  *chunks  // of its body
	out     *Exchange

	unsent []byte
	more   func() []byte // gives the next piece of a body
	posted bool          // a turn to send more is to come

	ended     bool // the client has ended its side
	ending    bool // no request is taken any more; the connection ends after what is unsent
	lingering bool // this side has ended too
	discarded int  // bytes read since
	gone      bool
	stepping  bool // step is under way

	due   Time // when the connection is given up; 0 never
	timer machine.Timer
	rings Time // when the timer is due; it may be before due
}

// Readable reads what has come.
func (c *conn) Readable() {
	if c.gone {
		return
	}
	if c.lingering {
		c.discard()
		return
	}
	c.read()
	c.step()
}

// Writable writes on.
func (c *conn) Writable() { c.step() }

// read takes what has come, as far as one request may be long.
func (c *conn) read() {
	most := c.s.o.MaxHeadBytes + c.s.o.MaxBodyBytes
	var buf [16 << 10]byte
	for !c.ended && !c.gone {
		room := most - len(c.in)
		if c.left = room <= 0; c.left {
			return
		}
		n, err := c.conn.Read(buf[:min(room, len(buf))])
		if n > 0 && len(c.in) == 0 && c.req == nil && c.out == nil {
			c.expire(c.s.o.RequestTime)
		}
		c.in = append(c.in, buf[:n]...)
		switch {
		case errors.Is(err, machine.ErrWait):
			return
		case errors.Is(err, machine.ErrReset):
			c.drop()
		case err != nil:
			c.end()
		}
	}
}

// end takes the end of the client's side. It may still read the answer.
func (c *conn) end() {
	c.ended = true
	if x := c.out; x != nil {
		// The danger: an exchange that nobody ever answers holds the connection of a client that has left.
		c.expire(c.s.o.IdleTime)
		if x.Ended != nil {
			x.Ended()
		}
	}
}

// mostAtOnce is how many steps a connection takes in one turn of the loop.
const mostAtOnce = 128

// step does what can be done now.
func (c *conn) step() {
	if c.stepping || c.gone {
		return
	}
	c.stepping = true
	steps := 0
	for !c.gone && steps < mostAtOnce && c.one() {
		steps++
	}
	c.stepping = false
	// The danger: a client that sends requests as fast as they are answered keeps the loop to itself.
	if steps == mostAtOnce {
		c.s.m.Post(c.step)
	}
}

// one does one thing, and reports whether there may be another.
func (c *conn) one() bool {
	switch {
	case c.lingering:
		return false
	case len(c.unsent) > 0:
		return c.write()
	case c.more != nil:
		return c.nextPiece()
	case c.ending:
		c.linger()
		return false
	case c.out != nil:
		return false
	}
	if c.left {
		c.read()
	}
	if c.gone {
		return false
	}
	return c.parse() || c.left && len(c.in) < c.s.o.MaxHeadBytes+c.s.o.MaxBodyBytes
}

// send has bytes written, and reports whether the connection took that. It is not called while others are unsent.
func (c *conn) send(b []byte) bool {
	c.unsent = b
	c.expire(c.s.o.WriteTime)
	c.write()
	sent := !c.gone
	c.step()
	return sent
}

// write sends what is unsent, and reports whether all of it went.
func (c *conn) write() bool {
	for len(c.unsent) > 0 {
		n, err := c.conn.Write(c.unsent)
		if err != nil && !errors.Is(err, machine.ErrWait) {
			c.drop()
			return false
		}
		if n > 0 {
			c.expire(c.s.o.WriteTime)
		}
		if c.unsent = c.unsent[n:]; n == 0 || len(c.unsent) > 0 {
			return false
		}
	}
	c.unsent = nil
	if c.more == nil {
		c.rest()
	}
	return true
}

// nextPiece has the next piece of a body sent. It takes a turn of its own.
func (c *conn) nextPiece() bool {
	// The danger: a client that reads as fast as pieces are made keeps the loop to itself.
	if !c.posted {
		c.posted = true
		c.s.m.Post(func() {
			c.posted = false
			if c.gone || len(c.unsent) > 0 {
				return
			}
			piece := c.more()
			if len(piece) == 0 {
				c.more = nil
			}
			c.send(chunk(piece))
		})
	}
	return false
}

// parse takes one request off what has come, and hands it on once it is whole.
func (c *conn) parse() bool {
	whole, err := c.request()
	var r *rejection
	switch {
	case errors.As(err, &r):
		c.refuse(r.status, r.why)
		return true
	case !whole && c.ended:
		c.drop()
		return false
	case !whole:
		return false
	}
	x := &Exchange{Request: c.req.Request, Remote: c.conn.Remote(), c: c}
	if x.Body = c.in[:c.req.length:c.req.length]; c.chunks != nil {
		x.Body = c.chunks.body
	} else {
		c.in = c.in[c.req.length:]
	}
	x.Request.Body = http.NoBody
	c.req, c.chunks, c.out = nil, nil, x
	c.expire(0)
	c.s.handle(x)
	if c.out != nil && c.ended {
		c.end()
	}
	return true
}

// request reports whether a request has come whole.
func (c *conn) request() (bool, error) {
	if c.req == nil {
		if head, err := c.head(); head == nil || err != nil {
			return false, err
		}
	}
	if c.chunks == nil {
		if len(c.in) < c.req.length {
			c.goAhead()
			return false, nil
		}
		return true, nil
	}
	used, err := c.chunks.take(c.in)
	c.in = c.in[used:]
	if err == nil && !c.chunks.done {
		c.goAhead()
	}
	return c.chunks.done, err
}

// goAhead tells a client that waits for a word before it sends the body.
func (c *conn) goAhead() {
	if c.req.continues && len(c.in) == 0 {
		c.req.continues = false
		c.unsent = []byte("HTTP/1.1 100 Continue\r\n\r\n")
		c.write()
	}
}

// head takes a head off what has come; nil where it is not whole.
func (c *conn) head() ([]byte, error) {
	const end = "\r\n\r\n"
	if !c.blank && bytes.HasPrefix(c.in, []byte("\r\n")) { // RFC 9112, 2.2
		c.in, c.blank, c.scanned = c.in[2:], true, 0
	}
	at := bytes.Index(c.in[c.scanned:], []byte(end))
	length := c.scanned + at + len(end)
	if at < 0 && len(c.in) > c.s.o.MaxHeadBytes || at >= 0 && length > c.s.o.MaxHeadBytes {
		return nil, reject(http.StatusRequestHeaderFieldsTooLarge, "the head is longer than %d bytes", c.s.o.MaxHeadBytes)
	}
	if at < 0 {
		c.scanned = max(0, len(c.in)-len(end)+1)
		return nil, nil
	}
	head := c.in[:length]
	req, err := readHead(head, c.s.o.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	c.in, c.scanned, c.blank, c.req = c.in[length:], 0, false, req
	if req.chunked {
		c.chunks = &chunks{most: c.s.o.MaxBodyBytes}
	}
	return head, nil
}

// refuse answers what is no request that can be served, and ends the connection.
func (c *conn) refuse(status int, why string) {
	a := Text(status, why)
	a.Close = true
	c.ending = true
	c.send(append(a.head(len(a.Body)), a.Body...))
}

// linger ends this side and waits for the client to end its own.
func (c *conn) linger() {
	// The danger: closed with bytes unread, the client sees a reset instead of the answer.
	c.lingering = true
	c.in = nil
	if c.ended || c.conn.CloseWrite() != nil {
		c.drop()
		return
	}
	c.expire(c.s.o.LingerTime)
	c.discard()
}

// discard reads on without a use for it.
func (c *conn) discard() {
	var buf [16 << 10]byte
	for !c.gone {
		n, err := c.conn.Read(buf[:])
		if errors.Is(err, machine.ErrWait) {
			return
		}
		// The danger: a client that sends without an end is read for ever.
		if c.discarded += n; err != nil || c.discarded > mostDiscarded {
			c.drop()
		}
	}
}

// rest waits for the next request.
func (c *conn) rest() {
	if len(c.in) > 0 || c.req != nil {
		c.expire(c.s.o.RequestTime)
		return
	}
	c.expire(c.s.o.IdleTime)
}

// expire has the connection given up after a span, in place of the one before; 0 for never.
func (c *conn) expire(after Time) {
	if c.gone {
		return
	}
	if after == 0 {
		c.due = 0
		return
	}
	c.due = c.s.m.Now() + after
	if c.timer != nil && c.rings > c.due {
		c.timer.Stop()
		c.timer = nil
	}
	if c.timer == nil {
		c.timer, c.rings = c.s.m.At(c.due, c.overdue), c.due
	}
}

// overdue gives the connection up, where that was not put off since.
func (c *conn) overdue() {
	c.timer = nil
	now := c.s.m.Now()
	switch {
	case c.gone || c.due == 0:
	case now < c.due:
		c.timer, c.rings = c.s.m.At(c.due, c.overdue), c.due
	case !c.ending && c.out == nil && len(c.unsent) == 0 && (c.req != nil || len(c.in) > 0):
		c.refuse(http.StatusRequestTimeout, "the request did not come whole in time")
	default:
		c.drop()
	}
}

// drop ends the connection.
func (c *conn) drop() {
	if c.gone {
		return
	}
	c.gone = true
	c.conn.Close()
	if c.timer != nil {
		c.timer.Stop()
	}
	if at := slices.Index(c.s.conns, c); at >= 0 {
		c.s.conns = slices.Delete(c.s.conns, at, at+1)
	}
	c.in, c.unsent, c.more = nil, nil, nil
	if x := c.out; x != nil {
		c.out, x.c = nil, nil
		if x.Gone != nil {
			x.Gone()
		}
	}
}

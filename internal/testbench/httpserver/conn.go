package httpserver

import (
	"bytes"
	"errors"
	"net/http"
	"slices"

	"starlingwinch/internal/machine"
)

// maxDiscardedBytes bounds what is read after the last answer, as a client may send without end.
const maxDiscardedBytes = 1 << 20

// conn is a client's connection. What it does next follows from its fields: an unsent answer comes first, then the
// exchange that waits for its answer, then received bytes.
type conn struct {
	server *Server
	conn   machine.Conn

	received   []byte         // read and not consumed
	moreToRead bool           // the last read stopped because received was full
	scanned    int            // bytes of received that hold no end of a head
	blank      bool           // an empty line before the next head was skipped
	request    *request       // whose body is not whole; nil before its head
	chunks     *chunkedReader // of that body; nil where it has a length
	exchange   *Exchange      // that waits for its answer

	unsent         []byte        // to be written
	nextBodyPiece  func() []byte // gives the next piece of a streamed body
	pieceScheduled bool          // a turn to send a piece is posted

	peerEnded bool // the client has closed its side
	ending    bool // no request is read any more; the connection ends after what is unsent
	lingering bool // this side is closed too, and what arrives is discarded
	discarded int  // bytes read since
	closed    bool
	stepping  bool // step is running, and is not entered again

	deadline Time          // when the connection is given up; 0 for never
	timer    machine.Timer // of the deadline; nil where none is set
	timerAt  Time          // when the timer is due; it may be before the deadline
}

// Readable is called by the machine when there is something to read.
func (c *conn) Readable() {
	if c.closed {
		return
	}
	if c.lingering {
		c.discard()
		return
	}
	c.read()
	c.step()
}

// Writable is called by the machine when the connection takes more bytes.
func (c *conn) Writable() { c.step() }

// read reads at most as many bytes as one request may have.
func (c *conn) read() {
	limit := c.server.options.MaxHeadBytes + c.server.options.MaxBodyBytes
	var buf [16 << 10]byte
	for !c.peerEnded && !c.closed {
		space := limit - len(c.received)
		c.moreToRead = space <= 0
		if c.moreToRead {
			return
		}
		n, err := c.conn.Read(buf[:min(space, len(buf))])
		if n > 0 && len(c.received) == 0 && c.request == nil && c.exchange == nil {
			c.setDeadline(c.server.options.RequestTime)
		}
		c.received = append(c.received, buf[:n]...)
		switch {
		case errors.Is(err, machine.ErrWait):
			return
		case errors.Is(err, machine.ErrReset):
			c.drop()
		case err != nil:
			c.peerClosed()
		}
	}
}

// peerClosed is called when the client has closed its side. It may still read the answer.
func (c *conn) peerClosed() {
	c.peerEnded = true
	if x := c.exchange; x != nil {
		// Without a deadline an exchange that is never answered would keep the connection open.
		c.setDeadline(c.server.options.IdleTime)
		if x.Ended != nil {
			x.Ended()
		}
	}
}

// maxStepsPerTurn bounds the steps of a connection in one turn of the loop, which a client that pipelines requests
// would otherwise occupy.
const maxStepsPerTurn = 128

// step does what can be done now, up to the bound of a turn.
func (c *conn) step() {
	if c.stepping || c.closed {
		return
	}
	c.stepping = true
	steps := 0
	for !c.closed && steps < maxStepsPerTurn && c.stepOnce() {
		steps++
	}
	c.stepping = false
	if steps == maxStepsPerTurn {
		c.server.machine.Post(c.step)
	}
}

// stepOnce does one thing, and reports whether there may be more to do.
func (c *conn) stepOnce() bool {
	switch {
	case c.lingering:
		return false
	case len(c.unsent) > 0:
		return c.write()
	case c.nextBodyPiece != nil:
		return c.nextPiece()
	case c.ending:
		c.linger()
		return false
	case c.exchange != nil:
		return false
	}
	if c.moreToRead {
		c.read()
	}
	if c.closed {
		return false
	}
	return c.parse() || c.moreToRead && len(c.received) < c.server.options.MaxHeadBytes+c.server.options.MaxBodyBytes
}

// send writes bytes, now or once the connection takes them, and reports whether the connection is still open. It is not
// called while there are unsent bytes.
func (c *conn) send(b []byte) bool {
	c.unsent = b
	c.setDeadline(c.server.options.WriteTime)
	c.write()
	sent := !c.closed
	c.step()
	return sent
}

// write writes unsent bytes, and reports whether all of them were written.
func (c *conn) write() bool {
	for len(c.unsent) > 0 {
		n, err := c.conn.Write(c.unsent)
		if err != nil && !errors.Is(err, machine.ErrWait) {
			c.drop()
			return false
		}
		if n > 0 {
			c.setDeadline(c.server.options.WriteTime)
		}
		c.unsent = c.unsent[n:]
		if n == 0 || len(c.unsent) > 0 {
			return false
		}
	}
	c.unsent = nil
	if c.nextBodyPiece == nil {
		c.awaitRequest()
	}
	return true
}

// nextPiece posts the sending of the next piece of a streamed body.
func (c *conn) nextPiece() bool {
	// Each piece takes a turn of its own, so that a fast reader does not occupy the loop.
	if !c.pieceScheduled {
		c.pieceScheduled = true
		c.server.machine.Post(func() {
			c.pieceScheduled = false
			if c.closed || len(c.unsent) > 0 {
				return
			}
			piece := c.nextBodyPiece()
			if len(piece) == 0 {
				c.nextBodyPiece = nil
			}
			c.send(encodeChunk(piece))
		})
	}
	return false
}

// parse takes one request off the received bytes and passes it to the handler, and reports whether it did anything.
func (c *conn) parse() bool {
	whole, err := c.readRequest()
	var r *rejection
	switch {
	case errors.As(err, &r):
		c.reject(r.status, r.reason)
		return true
	case !whole && c.peerEnded:
		c.drop()
		return false
	case !whole:
		return false
	}
	x := &Exchange{Request: c.request.Request, Remote: c.conn.Remote(), c: c}
	if c.chunks != nil {
		x.Body = c.chunks.body
	} else {
		x.Body = c.received[:c.request.length:c.request.length]
		c.received = c.received[c.request.length:]
	}
	x.Request.Body = http.NoBody
	c.request, c.chunks, c.exchange = nil, nil, x
	c.setDeadline(0)
	c.server.handle(x)
	if c.exchange != nil && c.peerEnded {
		c.peerClosed()
	}
	return true
}

// readRequest reads on in a request, and reports whether it is whole.
func (c *conn) readRequest() (bool, error) {
	if c.request == nil {
		if head, err := c.readRequestHead(); head == nil || err != nil {
			return false, err
		}
	}
	if c.chunks == nil {
		if len(c.received) < c.request.length {
			c.sendContinue()
			return false, nil
		}
		return true, nil
	}
	used, err := c.chunks.take(c.received)
	c.received = c.received[used:]
	if err == nil && !c.chunks.done {
		c.sendContinue()
	}
	return c.chunks.done, err
}

// sendContinue answers 100 to a client that waits for it before it sends the body.
func (c *conn) sendContinue() {
	if c.request.awaitsContinue && len(c.received) == 0 {
		c.request.awaitsContinue = false
		c.unsent = []byte("HTTP/1.1 100 Continue\r\n\r\n")
		c.write()
	}
}

// readRequestHead takes a head off the received bytes; nil where it is not whole.
func (c *conn) readRequestHead() ([]byte, error) {
	const end = "\r\n\r\n"
	if !c.blank && bytes.HasPrefix(c.received, []byte("\r\n")) { // RFC 9112, 2.2
		c.received, c.blank, c.scanned = c.received[2:], true, 0
	}
	at := bytes.Index(c.received[c.scanned:], []byte(end))
	length := c.scanned + at + len(end)
	if at < 0 && len(c.received) > c.server.options.MaxHeadBytes || at >= 0 && length > c.server.options.MaxHeadBytes {
		return nil, rejectWith(http.StatusRequestHeaderFieldsTooLarge, "the head is longer than %d bytes", c.server.options.MaxHeadBytes)
	}
	if at < 0 {
		c.scanned = max(0, len(c.received)-len(end)+1)
		return nil, nil
	}
	head := c.received[:length]
	req, err := readHead(head, c.server.options.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	c.received, c.scanned, c.blank, c.request = c.received[length:], 0, false, req
	if req.chunked {
		c.chunks = &chunkedReader{maxBytes: c.server.options.MaxBodyBytes}
	}
	return head, nil
}

// reject answers an invalid request with a status and a reason, and ends the connection.
func (c *conn) reject(status int, reason string) {
	a := Text(status, reason)
	a.Close = true
	c.ending = true
	c.send(append(a.head(len(a.Body)), a.Body...))
}

// linger closes this side and waits for the client to close its own. Closed with unread bytes, the connection would be
// reset before the client has read the answer.
func (c *conn) linger() {
	c.lingering = true
	c.received = nil
	if c.peerEnded || c.conn.CloseWrite() != nil {
		c.drop()
		return
	}
	c.setDeadline(c.server.options.LingerTime)
	c.discard()
}

// discard reads what still arrives, up to a bound.
func (c *conn) discard() {
	var buf [16 << 10]byte
	for !c.closed {
		n, err := c.conn.Read(buf[:])
		if errors.Is(err, machine.ErrWait) {
			return
		}
		c.discarded += n
		if err != nil || c.discarded > maxDiscardedBytes {
			c.drop()
		}
	}
}

// awaitRequest sets the deadline of the next request.
func (c *conn) awaitRequest() {
	if len(c.received) > 0 || c.request != nil {
		c.setDeadline(c.server.options.RequestTime)
		return
	}
	c.setDeadline(c.server.options.IdleTime)
}

// setDeadline replaces the deadline by one after a span; 0 is none.
func (c *conn) setDeadline(after Time) {
	if c.closed {
		return
	}
	if after == 0 {
		c.deadline = 0
		return
	}
	c.deadline = c.server.machine.Now() + after
	if c.timer != nil && c.timerAt > c.deadline {
		c.timer.Stop()
		c.timer = nil
	}
	if c.timer == nil {
		c.timer, c.timerAt = c.server.machine.At(c.deadline, c.deadlineReached), c.deadline
	}
}

// deadlineReached closes the connection, unless the deadline was put off since.
func (c *conn) deadlineReached() {
	c.timer = nil
	now := c.server.machine.Now()
	switch {
	case c.closed || c.deadline == 0:
	case now < c.deadline:
		c.timer, c.timerAt = c.server.machine.At(c.deadline, c.deadlineReached), c.deadline
	case !c.ending && c.exchange == nil && len(c.unsent) == 0 && (c.request != nil || len(c.received) > 0):
		c.reject(http.StatusRequestTimeout, "the request did not come whole in time")
	default:
		c.drop()
	}
}

// drop closes the connection.
func (c *conn) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.conn.Close()
	if c.timer != nil {
		c.timer.Stop()
	}
	if at := slices.Index(c.server.conns, c); at >= 0 {
		c.server.conns = slices.Delete(c.server.conns, at, at+1)
	}
	c.received, c.unsent, c.nextBodyPiece = nil, nil, nil
	if x := c.exchange; x != nil {
		c.exchange, x.c = nil, nil
		if x.Gone != nil {
			x.Gone()
		}
	}
}

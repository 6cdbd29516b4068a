package httpserver

import (
	"net/http"
	"strconv"
)

// Exchange is a request that waits for its answer. One of Answer, Raw, Stream and Drop ends it; calls after that, or
// after the client has gone, do nothing.
type Exchange struct {
	Request *http.Request // without its body
	Body    []byte
	Remote  string // the client's address

	// Ended is called, where it is set, when the client closes its side before the answer. It may still read.
	Ended func()
	// Gone is called, where it is set, when no answer can reach the client any more.
	Gone func()

	c *conn // nil once it is answered or the client has gone
}

// Open reports whether an answer can still be given.
func (x *Exchange) Open() bool { return x.c != nil }

// Answer sends an answer, and reports whether it is on its way, as far as this side knows.
func (x *Exchange) Answer(a Answer) bool {
	c := x.detach()
	if c == nil {
		return false
	}
	a.Close = a.Close || x.Request.Close
	c.ending = c.ending || a.Close
	out := a.head(len(a.Body))
	if x.Request.Method != http.MethodHead && a.Status != http.StatusNoContent {
		out = append(out, a.Body...)
	}
	return c.send(out)
}

// Raw sends bytes in place of an answer and closes the connection after them.
func (x *Exchange) Raw(b []byte) {
	if c := x.detach(); c != nil {
		c.ending = true
		c.send(b)
	}
}

// Stream answers with a chunked body. more is called for the next piece whenever the client has taken the one before,
// until it returns none.
func (x *Exchange) Stream(a Answer, more func() []byte) {
	c := x.detach()
	if c == nil {
		return
	}
	a.Close = a.Close || x.Request.Close
	c.ending = c.ending || a.Close
	if x.Request.Method != http.MethodHead {
		c.nextBodyPiece = more
	}
	c.send(a.head(-1))
}

// Drop closes the connection without an answer.
func (x *Exchange) Drop() {
	if c := x.detach(); c != nil {
		c.drop()
	}
}

// detach ends the exchange and returns its connection; nil where it had ended before.
func (x *Exchange) detach() *conn {
	c := x.c
	x.c = nil
	if c != nil {
		c.exchange = nil
	}
	return c
}

// encodeChunk returns a piece of a chunked body; an empty one ends the body.
func encodeChunk(piece []byte) []byte {
	b := strconv.AppendInt(nil, int64(len(piece)), 16)
	b = append(b, "\r\n"...)
	b = append(b, piece...)
	return append(b, "\r\n"...)
}

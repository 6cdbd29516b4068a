package httpserver

import (
	"net/http"
	"strconv"
)

// Exchange is a request that has come whole and waits for its answer. One of Answer, Raw, Stream and Drop ends it;
// what comes after that, or after the client has gone, does nothing.
type Exchange struct {
	Request *http.Request // without its body
	Body    []byte
	Remote  string // the client's address

	// Ended is called, where it is set, when the client ends its side before the answer. It may still read.
	// Gone is called when no answer can reach it any more.
	Ended, Gone func()

	c *conn // nil once it is answered or the client has gone
}

// Open reports whether an answer can still be given.
func (x *Exchange) Open() bool { return x.c != nil }

// Answer answers, and reports whether the answer is on its way, as far as this side can tell.
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

// Raw sends bytes in place of an answer, good or bad, and ends the connection after them.
func (x *Exchange) Raw(b []byte) {
	if c := x.detach(); c != nil {
		c.ending = true
		c.send(b)
	}
}

// Stream answers with a body in chunks. more is called for the next one whenever the client has taken what was
// there, until it gives none.
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

// Drop ends the connection without an answer.
func (x *Exchange) Drop() {
	if c := x.detach(); c != nil {
		c.drop()
	}
}

func (x *Exchange) detach() *conn {
	c := x.c
	x.c = nil
	if c != nil {
		c.exchange = nil
	}
	return c
}

// encodeChunk is a piece of a body in chunks; an empty one ends it.
func encodeChunk(piece []byte) []byte {
	b := strconv.AppendInt(nil, int64(len(piece)), 16)
	b = append(b, "\r\n"...)
	b = append(b, piece...)
	return append(b, "\r\n"...)
}

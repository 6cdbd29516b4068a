package frontend

import (
	"bytes"
	"strconv"
)

// memory counts the bytes of requests in hand and of answers that wait for their readers.
type memory struct{ held, most int64 }

func (m *memory) take(n int64) bool {
	if m.held+n > m.most {
		return false
	}
	m.held += n
	return true
}

func (m *memory) give(n int64) { m.held -= n }

// FailedReply is an answer that promises nothing.
const FailedReply = "-ERR failed\r\n"

// BusyReply is a refusal without a time to come back.
const BusyReply = "-BUSY\r\n"

// smallAnswer is the size of answers that are given though memory is used up: at most as many as may be pipelined.
const smallAnswer = 64

// AppendBusy words a refusal. The wait is rounded up: a client must not come back early.
func AppendBusy(b []byte, wait Time) []byte {
	b = append(b, "-BUSY"...)
	if wait > 0 {
		b = strconv.AppendInt(append(b, ' '), (wait+999)/1000, 10)
	}
	return append(b, "\r\n"...)
}

// AppendFailed words an answer that promises nothing, with a text that stays one line.
func AppendFailed(b []byte, text string) []byte {
	b = append(b, "-ERR "...)
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == 0x7f {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, "\r\n"...)
}

// ReplySlot is the place of an answer in its connection's order.
type ReplySlot struct {
	ID                int64 // the desk's, for a request
	FirstOnConnection bool  // its request is the first on its connection

	Command Command // of a request

	client   *client
	charge   int64  // bytes that are counted for it
	answer   []byte // nil until it is there
	answered bool
	sent     bool // it has left the queue: on its way, or kept with what the socket did not take
	asked    bool // the desk is to answer it
}

// Answer fills the slot. It is called once; for a client that has gone it does nothing. b is the caller's again after
// the call: nearly always it has been sent by then, and is copied only where it has not.
func (s *ReplySlot) Answer(b []byte) {
	c := s.client
	if s.answered || c.closed {
		return
	}
	f := c.front
	if !f.memory.take(int64(len(b))) {
		// Many answers wait for readers that are slow. The danger: where a refusal has no room either, the client
		// is not told that another try does no harm; where a PONG has none, the router passes for dead.
		if len(b) > smallAnswer {
			b = []byte(FailedReply)
		}
		f.memory.held += int64(len(b))
	}
	s.charge += int64(len(b))
	s.answer, s.answered = b, true
	switch {
	case len(c.unsent) > 0: // it waits until the client reads
	case len(c.queue) > 1 && len(b) <= batchedSize:
		f.flushSoon(c)
	default:
		c.flush()
	}
	if !s.sent && !c.closed {
		s.answer = bytes.Clone(b)
	}
}

// ConnectionBroken reports whether the connection that it came on has broken off, where its client did not end it.
func (s *ReplySlot) ConnectionBroken() bool { return s.client.broken }

// ClientGone reports whether the client has left, also where nobody has been told of that yet.
func (s *ReplySlot) ClientGone() bool { return s.client.closed || s.client.nc.End() != nil }

// Client is a hash of the address that the request came from, without its port.
func (s *ReplySlot) Client() uint64 { return s.client.from }

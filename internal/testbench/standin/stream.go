package standin

import (
	"errors"
	"slices"

	"starlingwinch/internal/machine"
)

// stream is a connection with its read and write buffers.
type stream struct {
	conn       machine.Conn
	received   []byte // read and not consumed
	unsent     []byte // bytes not yet written
	consumed   uint64 // number of bytes consumed before received
	moreToRead bool   // fill stopped because received was full
	closed     bool
}

// minReadSpace is the minimum buffer space of a read in bytes, unless the limit leaves less.
const minReadSpace = 512

// fill reads until received holds limit bytes or no more bytes are available. An error means that no more bytes will arrive.
func (s *stream) fill(limit int) error {
	s.moreToRead = false
	for !s.closed {
		space := limit - len(s.received)
		if space <= 0 {
			s.moreToRead = true
			return nil
		}
		s.received = slices.Grow(s.received, min(space, minReadSpace))
		n, err := s.conn.Read(s.received[len(s.received):min(cap(s.received), limit)])
		s.received = s.received[:len(s.received)+n]
		if errors.Is(err, machine.ErrWait) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return machine.ErrClosed
}

// consume drops the first n received bytes.
func (s *stream) consume(n int) {
	s.received = append(s.received[:0], s.received[n:]...)
	s.consumed += uint64(n)
}

// sentAt returns when the peer wrote the first byte of received, if the machine knows this; otherwise it returns arrived, when that
// byte was read.
func (s *stream) sentAt(arrived Time) Time {
	if c, ok := s.conn.(interface{ SentAt(number uint64) Time }); ok {
		return c.SentAt(s.consumed)
	}
	return arrived
}

// send writes b, at once or when the connection accepts more bytes.
func (s *stream) send(b []byte) error {
	s.unsent = append(s.unsent, b...)
	return s.flush()
}

// flush writes the unsent bytes. An error means that the connection accepts no more bytes.
func (s *stream) flush() error {
	for len(s.unsent) > 0 && !s.closed {
		n, err := s.conn.Write(s.unsent)
		s.unsent = append(s.unsent[:0], s.unsent[n:]...)
		if errors.Is(err, machine.ErrWait) || err == nil && n == 0 {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// close closes the connection.
func (s *stream) close() {
	s.closed = true
	s.conn.Close()
}

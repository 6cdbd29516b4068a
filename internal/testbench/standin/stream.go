package standin

import (
	"errors"
	"slices"

	"starlingwinch/internal/machine"
)

// stream is a connection with what has come and was not taken, and what is still to be written.
type stream struct {
	conn       machine.Conn
	received   []byte
	unsent     []byte
	consumed   uint64 // bytes before those in in
	moreToRead bool   // there may be more to read: fill stopped because in was full
	closed     bool
}

// minReadSpace is how much a read has room for at the least.
const minReadSpace = 512

// fill reads what has come, until in holds most bytes. The error says that nothing more will come.
func (s *stream) fill(most int) error {
	s.moreToRead = false
	for !s.closed {
		room := most - len(s.received)
		if room <= 0 {
			s.moreToRead = true
			return nil
		}
		s.received = slices.Grow(s.received, min(room, minReadSpace))
		n, err := s.conn.Read(s.received[len(s.received):min(cap(s.received), most)])
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

// consume drops the first n bytes of what has come.
func (s *stream) consume(n int) {
	s.received = append(s.received[:0], s.received[n:]...)
	s.consumed += uint64(n)
}

// sentAt is when the other side has written the first byte of in, where the machine can tell; else it is came, when that
// byte was read.
func (s *stream) sentAt(came Time) Time {
	if c, ok := s.conn.(interface{ SentAt(number uint64) Time }); ok {
		return c.SentAt(s.consumed)
	}
	return came
}

// send writes b, now or once the connection takes it.
func (s *stream) send(b []byte) error {
	s.unsent = append(s.unsent, b...)
	return s.flush()
}

// flush writes on. The error says that nothing can be sent any more.
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

func (s *stream) close() {
	s.closed = true
	s.conn.Close()
}

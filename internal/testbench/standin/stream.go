package standin

import (
	"errors"
	"slices"

	"starlingwinch/internal/machine"
)

// stream is a connection with what has come and was not taken, and what is still to be written.
type stream struct {
	conn   machine.Conn
	in     []byte
	out    []byte
	taken  uint64 // bytes before those in in
	left   bool   // there may be more to read: fill stopped because in was full
	closed bool
}

// leastRoom is how much a read has room for at the least.
const leastRoom = 512

// fill reads what has come, until in holds most bytes. The error says that nothing more will come.
func (s *stream) fill(most int) error {
	s.left = false
	for !s.closed {
		room := most - len(s.in)
		if room <= 0 {
			s.left = true
			return nil
		}
		s.in = slices.Grow(s.in, min(room, leastRoom))
		n, err := s.conn.Read(s.in[len(s.in):min(cap(s.in), most)])
		s.in = s.in[:len(s.in)+n]
		if errors.Is(err, machine.ErrWait) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return machine.ErrClosed
}

// take drops the first n bytes of what has come.
func (s *stream) take(n int) {
	s.in = append(s.in[:0], s.in[n:]...)
	s.taken += uint64(n)
}

// sentAt is when the other side has written the first byte of in, where the machine can tell; else it is came, when that
// byte was read.
func (s *stream) sentAt(came Time) Time {
	if c, ok := s.conn.(interface{ SentAt(number uint64) Time }); ok {
		return c.SentAt(s.taken)
	}
	return came
}

// send writes b, now or once the connection takes it.
func (s *stream) send(b []byte) error {
	s.out = append(s.out, b...)
	return s.flush()
}

// flush writes on. The error says that nothing can be sent any more.
func (s *stream) flush() error {
	for len(s.out) > 0 && !s.closed {
		n, err := s.conn.Write(s.out)
		s.out = append(s.out[:0], s.out[n:]...)
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

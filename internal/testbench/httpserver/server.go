// Package httpserver is a small HTTP/1.1 server (RFC 9112) on a machine's loop, for services that few call:
// stand-ins, and what operators ask. Connections are kept, and calls that come one behind the other are
// answered in their order, one at a time.
//
// It is strict where leniency would let two readers of the same bytes see different requests: a line ends
// with CRLF, a body has one length, a header has one Host. Heads are read by net/http; the library's
// own server starts goroutines, which the loop has no place for. Routes, names and meanings are for its
// users: to it a request is a head and a body.
package httpserver

import (
	"net/http"
	"slices"
	"strconv"

	"starlingwinch/internal/machine"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

const second Time = 1_000_000

// Options are the bounds of a server. The zero value of a field stands for its usual figure.
type Options struct {
	MaxHeadBytes int  // bytes of a request's head; 16 KiB
	MaxBodyBytes int  // ... of its body; 64 KiB
	Connections  int  // open at once; 1024. One more is answered 503
	RequestTime  Time // for a request to come whole, from its first byte; 10 s
	IdleTime     Time // for the next request to begin; 60 s
	WriteTime    Time // for a client to take some more of an answer; 10 s
	LingerTime   Time // for a client to end its side after the last answer; 1 s
}

func (o *Options) fill() {
	if o.MaxHeadBytes == 0 {
		o.MaxHeadBytes = 16 << 10
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 64 << 10
	}
	if o.Connections == 0 {
		o.Connections = 1024
	}
	for _, t := range []struct {
		time  *Time
		usual Time
	}{
		{&o.RequestTime, 10 * second}, {&o.IdleTime, 60 * second}, {&o.WriteTime, 10 * second},
		{&o.LingerTime, second},
	} {
		if *t.time == 0 {
			*t.time = t.usual
		}
	}
}

// Server answers calls at any number of addresses.
type Server struct {
	machine   machine.Machine
	options   Options
	handle    func(*Exchange)
	listeners []machine.Listener
	conns     []*conn
	refusing  bool
}

// New returns a server that listens nowhere yet. handle is called with each request that has come whole,
// and has it answered, at once or later.
func New(m machine.Machine, o Options, handle func(*Exchange)) *Server {
	o.fill()
	return &Server{machine: m, options: o, handle: handle}
}

// Open listens at an address and returns the one that it got.
func (s *Server) Open(addr string) (string, error) {
	ln, err := s.machine.Listen(addr, s.accept)
	if err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, ln)
	return ln.Addr(), nil
}

// Close ends the server and all its connections.
func (s *Server) Close() {
	for _, ln := range s.listeners {
		ln.Close()
	}
	s.listeners = nil
	s.DropAll()
}

// DropAll ends all connections, whatever is under way on them.
func (s *Server) DropAll() {
	for _, c := range slices.Clone(s.conns) {
		c.drop()
	}
}

// Refuse ends all connections, and each that comes from now on, without a word; or not any more.
func (s *Server) Refuse(on bool) {
	s.refusing = on
	if on {
		s.DropAll()
	}
}

// Connections is how many are open.
func (s *Server) Connections() int { return len(s.conns) }

func (s *Server) accept(mc machine.Conn) machine.Handler {
	c := &conn{server: s, conn: mc}
	full := len(s.conns) >= s.options.Connections
	// The danger: those that are told to go away are more than those that are served.
	if most := s.options.Connections + s.options.Connections/8; s.refusing || len(s.conns) > most {
		c.closed = true
		mc.Close()
		return c
	}
	s.conns = append(s.conns, c)
	if full {
		c.reject(http.StatusServiceUnavailable, "too many connections")
		return c
	}
	c.awaitRequest()
	return c
}

// Header is one line of an answer's header.
type Header struct{ Name, Value string }

// Answer is an answer whose body is there.
type Answer struct {
	Status int
	Header []Header // Content-Length and Connection are added
	Body   []byte
	Close  bool // the connection ends after it
}

// Text is an answer of one line for a person.
func Text(status int, line string) Answer {
	return Answer{
		Status: status,
		Header: []Header{{"Content-Type", "text/plain; charset=utf-8"}},
		Body:   []byte(line + "\n"),
	}
}

// head is the answer's head up to and with the empty line. length is its body's, or below 0 for a body in chunks.
func (a *Answer) head(length int) []byte {
	b := []byte("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	for _, h := range a.Header {
		b = append(b, h.Name+": "+h.Value+"\r\n"...)
	}
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case a.Status != http.StatusNoContent && a.Status != http.StatusNotModified:
		b = append(b, "Content-Length: "+strconv.Itoa(length)+"\r\n"...)
	}
	if a.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return append(b, "\r\n"...)
}

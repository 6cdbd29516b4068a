// Package httpserver is a small HTTP/1.1 server (RFC 9112) on a machine's event loop, for stand-ins of services.
// Connections are persistent, and pipelined requests are answered in their order, one at a time.
//
// It is strict where leniency would let two readers of the same bytes see different requests: a line ends
// with CRLF, a body has one length, a header has one Host. Heads are parsed by net/http, whose
// own server starts goroutines and can't run on a virtual network. Routes are for its users: to it a request is a head
// and a body.
package httpserver

import (
	"net/http"
	"slices"
	"strconv"

	"starlingwinch/internal/machine"
)

// Time is an instant or a span in microseconds.
type Time = machine.Time

// second is a second in microseconds.
const second Time = 1_000_000

// Options are the bounds of a server. The zero value of a field stands for its default, which its comment names.
type Options struct {
	MaxHeadBytes int  // bytes of a request's head; 16 KiB
	MaxBodyBytes int  // bytes of a request's body; 64 KiB
	Connections  int  // open at once; 1024. More are answered 503
	RequestTime  Time // from the first byte of a request to its last; 10 s
	IdleTime     Time // for the next request to begin; 60 s
	WriteTime    Time // for a client to take some more of an answer; 10 s
	LingerTime   Time // for a client to close its side after the last answer; 1 s
}

// fill sets the defaults.
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

// Server answers requests at any number of addresses.
type Server struct {
	machine   machine.Machine
	options   Options
	handle    func(*Exchange)
	listeners []machine.Listener
	conns     []*conn
	refusing  bool
}

// New returns a server that listens nowhere yet. handle is called with each request that was read whole, and answers it
// at once or later.
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

// Close closes all listeners and connections.
func (s *Server) Close() {
	for _, ln := range s.listeners {
		ln.Close()
	}
	s.listeners = nil
	s.DropAll()
}

// DropAll closes all connections, whatever is under way on them.
func (s *Server) DropAll() {
	for _, c := range slices.Clone(s.conns) {
		c.drop()
	}
}

// Refuse switches whether all connections, those there are and new ones, are closed without an answer.
func (s *Server) Refuse(on bool) {
	s.refusing = on
	if on {
		s.DropAll()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return len(s.conns) }

// rejectedPart is the part of Options.Connections that may be open beyond it to be answered 503. More are closed at once.
const rejectedPart = 8

// accept handles a new connection.
func (s *Server) accept(mc machine.Conn) machine.Handler {
	c := &conn{server: s, conn: mc}
	full := len(s.conns) >= s.options.Connections
	limit := s.options.Connections + s.options.Connections/rejectedPart
	if s.refusing || len(s.conns) > limit {
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
type Header struct {
	Name  string
	Value string
}

// Answer is an answer with its whole body.
type Answer struct {
	Status int
	Header []Header // Content-Length and Connection are added
	Body   []byte
	Close  bool // the connection is closed after it
}

// Text returns an answer of one line of text.
func Text(status int, line string) Answer {
	return Answer{
		Status: status,
		Header: []Header{{"Content-Type", "text/plain; charset=utf-8"}},
		Body:   []byte(line + "\n"),
	}
}

// head returns the answer's head with the empty line. length is that of the body, or below 0 for a chunked one.
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

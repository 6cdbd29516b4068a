package frontend

import (
	"fmt"
	"strings"

	"starlingwinch/internal/machine"
)

// Server is the listener and the connections that it accepted. Use Listen.
type Server struct {
	machine  machine.Machine
	options  Options
	handler  Handler
	listener machine.Listener
	buffered byteBudget // requests without a reply, and replies not yet written

	readBuffer  []byte   // scratch space of one read
	writeBuffer []byte   // scratch space in which the replies of one write are put together
	args        [][]byte // scratch space for the arguments of the command that is executed

	connections int                        // open ones, those past the limit included
	accepted    int                        // ever
	lists       [stateCount]connectionList // open connections, by state
	expiryTimer machine.Timer              // for the connection whose time in its state is over first; nil while none is set
	expiryAt    Time                       // when expiryTimer fires
	flushQueue  []*connection              // those with replies to be written at the end of the turn

	listenerPaused   bool   // set at the connection limit, until a connection closes or acceptRetryDelay is over
	draining         bool   // set by Drain: connections are closed between requests
	listenerFinished bool   // set while draining, once every connection that waited at the listener is accepted
	onDrained        func() // called once, when a drain is complete
	closed           bool   // set by Close
}

// Listen opens the listener.
func Listen(m machine.Machine, options Options, handler Handler) (*Server, error) {
	s := &Server{
		machine:    m,
		options:    options,
		handler:    handler,
		buffered:   byteBudget{limit: options.MaxBufferedBytes},
		readBuffer: make([]byte, readBufferSize),
	}
	var err error
	if s.listener, err = m.Listen(options.Listen, s.accept); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.connections }

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int { return s.accepted }

// BufferedBytes returns the number of bytes that count against Options.MaxBufferedBytes.
func (s *Server) BufferedBytes() int64 { return s.buffered.used }

// Close ends all connections, including those that wait for replies.
func (s *Server) Close() {
	s.closed, s.onDrained = true, nil
	s.listener.Close()
	for state := range s.lists {
		for c := s.lists[state].first; c != nil; c = s.lists[state].first {
			c.close()
		}
	}
	s.stopExpiryTimer()
}

// accept takes a new connection from the listener.
func (s *Server) accept(socket machine.Conn) machine.Handler {
	c := &connection{server: s, socket: socket, clientHash: addressHash(socket.Remote())}
	s.connections++
	s.accepted++
	c.enterState(stateNew)
	s.enforceConnectionLimit(c)
	if s.draining && !c.closed {
		c.retire()
	}
	s.armExpiryTimer(stateIdle) // above half of the limit, idle connections have less time
	s.handler.ProcessEvents()
	return c
}

// addressHash returns a hash of an address without its port.
func addressHash(addr string) uint64 {
	port := max(0, strings.LastIndexByte(addr, ':'))
	return KeyHash([]byte(addr[:port]))
}

package frontend

import (
	"fmt"
	"strings"

	"starlingwinch/internal/machine"
)

// Server accepts and serves client connections. Use Listen to create a Server.
type Server struct {
	machine  machine.Machine
	options  Options
	handler  Handler
	listener machine.Listener
	buffered byteBudget // budget for requests without a reply and for unwritten replies

	readBuffer  []byte   // buffer of one read, reused
	writeBuffer []byte   // buffer in which the replies of one write are combined, reused
	args        [][]byte // arguments of the command being executed, reused

	connections int                        // open connections, including those past the limit
	accepted    int                        // connections accepted since the start
	lists       [stateCount]connectionList // open connections, by state
	expiryTimer machine.Timer              // timer for the connection whose time in its state ends first; nil if no timer is set
	expiryAt    Time                       // when expiryTimer fires
	flushQueue  []*connection              // connections whose replies are written at the end of the turn

	listenerPaused   bool   // set at the connection limit, until a connection closes or acceptRetryDelay has passed
	draining         bool   // set by Drain: connections are closed between requests
	listenerFinished bool   // set during a drain, once every connection in the listener's queue is accepted
	onDrained        func() // called once, when a drain is complete
	closed           bool   // set by Close
}

// Listen creates a Server and opens its listener.
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

// Close closes the listener and all connections, including connections that wait for replies.
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

// accept registers a new connection from the listener.
func (s *Server) accept(socket machine.Conn) machine.Handler {
	c := &connection{server: s, socket: socket, clientHash: addressHash(socket.Remote())}
	s.connections++
	s.accepted++
	c.enterState(stateNew)
	s.enforceConnectionLimit(c)
	if s.draining && !c.closed {
		c.retire()
	}
	s.armExpiryTimer(stateIdle) // above half of the limit, idle connections time out sooner
	s.handler.ProcessEvents()
	return c
}

// addressHash returns a hash of an address without its port.
func addressHash(addr string) uint64 {
	port := max(0, strings.LastIndexByte(addr, ':'))
	return KeyHash([]byte(addr[:port]))
}

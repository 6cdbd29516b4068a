// Package frontend is the router's side towards clients: the listener, a bounded number of connections,
// commands read strictly and at a bounded rate, answers in the order of the commands, and the drain.
//
// What a request's answer is, the Desk says. The front guarantees that each command gets one answer,
// in its place, or none once its client has gone; that a client that stops, floods or talks nonsense
// costs the others nothing; and that a connection is closed between requests where that can be had.
package frontend

import (
	"fmt"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/resp"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

const (
	acceptPause  = 10_000  // before another look for room where no descriptor was free
	commandGrace = 100_000 // for a command that has begun, or is about to on a new connection, when that is to close
	lastReads    = 500_000 // requests on a connection that is to close are taken for so long, then refused
	turnsShare   = 32      // commands of one connection in one turn: it must not crowd the others out
	readsATurn   = 64      // ... and reads, each of which may bring as little as a byte
	surplusMost  = 16      // connections past the bound that are taken in to be told so
	surplusTime  = 200_000 // that such a one has to ask
	readSize     = 16 << 10
	gatherSize   = 64 << 10                 // bytes of small answers that are written at once
	batchedSize  = 1 << 10                  // ... of one of several that are due, which may wait for the others of its turn
	lingerSize   = 4 * resp.MaxCommandBytes // bytes that are read off a connection that is closed for its errors
)

// Handler answers requests.
type Handler interface {
	// HandleRequest brings a request, the slot's Command, that was read whole at the given time. The desk answers s once.
	HandleRequest(s *ReplySlot, read Time)
	// ClientsGone says that nobody waits for these answers any more: the client has gone, or, byRouter, its connection was
	// closed from this side while it still took answers. The desk may still give them.
	ClientsGone(slots []*ReplySlot, byRouter bool)
	// ConnectionClosed says that a connection has ended, why, and how many of its requests were open then.
	ConnectionClosed(why string, unanswered int)
	// ProcessEvents follows in the same turn, when all is in order here: the desk may act on what it was told.
	ProcessEvents()
	// Serving reports whether there is a cache that takes work.
	Serving() bool
}

// Options are the bounds of a front.
type Options struct {
	Listen           string
	Limits           limits.Clients
	Classes          []decide.Class
	MaxConnections   int   // connections at most, but for a few that are only turned away
	RetryAfter       Time  // advice to those turned away at the door; 0 for none
	MaxBufferedBytes int64 // bytes of commands in hand and of answers that wait for their readers, at most
}

// Server is the listener and the clients that came through it. Use Listen.
type Server struct {
	m      machine.Machine
	o      Options
	desk   Handler
	ln     machine.Listener
	memory memory
	in     []byte   // what is read into, within one call
	out    []byte   // ... and answers are gathered in
	args   [][]byte // of the command that is read

	clients  int
	accepted int // ever
	lists    [states]list
	alarm    machine.Timer // for the client that is overdue first
	alarmAt  Time
	ready    []*client // with answers to be sent at the turn's end
	full     bool      // the listener is paused until there is room
	drained  func()
	retiring bool // connections are closed between requests
	finished bool // ... and no more come
	closed   bool
}

// Listen opens the listener.
func Listen(m machine.Machine, o Options, desk Handler) (*Server, error) {
	f := &Server{m: m, o: o, desk: desk, memory: memory{most: o.MaxBufferedBytes}, in: make([]byte, readSize)}
	var err error
	if f.ln, err = m.Listen(o.Listen, f.accept); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return f, nil
}

// Addr is the address that it listens on.
func (f *Server) Addr() string { return f.ln.Addr() }

// Connections is the number of connections.
func (f *Server) Connections() int { return f.clients }

// Accepted is the number of connections that have come in so far.
func (f *Server) Accepted() int { return f.accepted }

// addressHash is that of an address without its port.
func addressHash(addr string) uint64 {
	return KeyHash([]byte(addr[:max(0, strings.LastIndexByte(addr, ':'))]))
}

// BufferedBytes is the number of bytes that are counted against the memory.
func (f *Server) BufferedBytes() int64 { return f.memory.held }

func (f *Server) accept(nc machine.Conn) machine.Handler {
	c := &client{front: f, nc: nc, from: addressHash(nc.Remote())}
	f.clients++
	f.accepted++
	c.enter(fresh)
	f.room(c)
	if f.retiring && !c.closed {
		c.retire()
	}
	f.watch(idle) // they may have less time now
	f.desk.ProcessEvents()
	return c
}

// room makes room where there are more clients than there may be. The danger: clients that hold
// connections they do not use shut out all others. Where all are in use, a few more are taken in, to be
// refused at once: left in the kernel's queue, they would wait until their time is over. Past those, the listener waits.
func (f *Server) room(newest *client) {
	if f.closed {
		return
	}
	if f.clients > f.o.MaxConnections {
		if c := f.leastMissed(newest); c != nil {
			c.retire()
		}
	}
	if f.clients > f.o.MaxConnections && newest != nil && !newest.closed {
		newest.surplus = true
		newest.enter(surplus)
	}
	for f.clients <= f.o.MaxConnections && f.lists[surplus].first != nil {
		c := f.lists[surplus].first
		c.surplus = false
		c.enter(fresh)
		c.settle()
	}
	full := f.clients > f.o.MaxConnections+surplusMost
	if full == f.full {
		return
	}
	if f.full = full; !full {
		f.ln.Resume()
		return
	}
	f.ln.Pause()
	f.m.At(f.m.Now()+acceptPause, f.roomAgain)
}

func (f *Server) roomAgain() {
	if !f.full {
		return
	}
	f.full = false // so that room looks for the next one, and sets the next time
	f.ln.Resume()
	f.room(nil)
	f.desk.ProcessEvents()
}

// leastMissed is the client whose connection makes room, as the protocol allows between requests: the
// one that has been open for longest without a command, but for those just opened; else the one
// idle for longest. The newest is not it: its turn is what the room is made for.
func (f *Server) leastMissed(newest *client) *client {
	first, used := f.lists[fresh].unretired(), f.lists[idle].unretired()
	if first == newest {
		first = nil
	}
	switch {
	case first != nil && first.since <= f.m.Now()-commandGrace:
		return first
	case first == nil || used != nil && used.since < first.since:
		return used
	}
	return first
}

// crowded reports whether clients' descriptors run short.
func (f *Server) crowded() bool { return f.clients > f.o.MaxConnections/2 }

// Drain takes in what waits at the listener and no more, and closes each connection as soon as it is between
// requests. drained is called when none is left.
func (f *Server) Drain(drained func()) {
	f.retiring, f.drained = true, drained
	f.ln.Finish(func() {
		f.finished = true
		f.check()
	})
	for s := range f.lists {
		for c := f.lists[s].first; c != nil; {
			next := c.next
			c.retire()
			c = next
		}
	}
	f.desk.ProcessEvents()
}

// Close ends all connections, answered or not.
func (f *Server) Close() {
	f.closed, f.drained = true, nil
	f.ln.Close()
	for s := range f.lists {
		for c := f.lists[s].first; c != nil; c = f.lists[s].first {
			c.close()
		}
	}
	f.stopAlarm()
}

// flushSoon has a client's answers sent at the end of the turn. The danger: a client that pipelines has several answers
// come in one turn, and a write for each costs more than all else that is done for them.
func (f *Server) flushSoon(c *client) {
	if c.flushing {
		return
	}
	c.flushing = true
	if f.ready = append(f.ready, c); len(f.ready) > 1 {
		return
	}
	f.m.At(f.m.Now(), func() {
		for i := 0; i < len(f.ready); i++ { // nothing is added meanwhile but by answers to what is read here
			c := f.ready[i]
			f.ready[i], c.flushing = nil, false
			if len(c.unsent) == 0 {
				c.flush()
			}
		}
		f.ready = f.ready[:0]
		f.desk.ProcessEvents()
	})
}

// check tells of the drain's end.
func (f *Server) check() {
	if f.clients == 0 && f.finished && f.drained != nil {
		drained := f.drained
		f.drained = nil
		f.m.Post(drained)
	}
}

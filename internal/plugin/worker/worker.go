// Package worker runs one hook for a router, at the other end of a connection (package wire). It is the program of
// the processes that hooks run in, and of the goroutines where an operator has them run inside the router.
//
// It interrupts a call that exceeds its time, and serves on. A call that can't be interrupted ends when the router kills the
// process.
package worker

import (
	"errors"
	"io"
	"sync"
	"time"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/script"
	"starlingwinch/internal/plugin/wasm"
	"starlingwinch/internal/plugin/wire"
)

// Engines are all engines of this program.
var Engines = []plugin.Engine{wasm.Engine{}, script.Engine{}}

// EngineOf returns the engine of this name; nil where there is none.
func EngineOf(name string) plugin.Engine {
	for _, e := range Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Bounds of a batch of replies, which are sent in one write.
const (
	maxBatchBytes = 8 << 10          // bytes
	maxBatchDelay = time.Millisecond // for which a reply waits while the next call runs
)

// minReadSpace is the free capacity in bytes that a read is offered at least.
const minReadSpace = 4096

// idleTimer is a time that the timer of a server never reaches: it is reset for each call.
const idleTimer = time.Hour

// maxCause and maxEngineName bound the bytes of an error, and of an engine's name, in a failure.
const (
	maxCause      = 200
	maxEngineName = 40
)

// Serve replies to the router until the connection ends. confine, where it is not nil, is called with the hook's budget before
// the hook is loaded.
func Serve(conn io.ReadWriter, confine func(plugin.Budget)) error {
	s := &server{conn: conn, confine: confine}
	defer func() {
		if s.hook != nil {
			s.hook.Close()
		}
	}()
	for {
		if err := s.handleFrames(); err != nil {
			return err
		}
		if err := s.flush(); err != nil {
			return err
		}
		err := s.read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// server is the worker's end of a connection.
type server struct {
	conn     io.ReadWriter
	confine  func(plugin.Budget) // nil for none
	hook     plugin.Hook         // nil until it is loaded
	budget   plugin.Budget
	received []byte      // frames that are not yet handled
	call     plugin.Call // the present one; used again for each
	reply    wire.Reply  // to the present call; used again for each

	mu       sync.Mutex  // guards the fields below, which the timer's goroutine uses too
	unsent   []byte      // the batch of replies
	timer    *time.Timer // calls onTimer while a call runs
	deadline time.Time   // when the running call is interrupted; zero between calls
}

// read reads once, with capacity for the first whole frame.
func (s *server) read() error {
	space := max(minReadSpace, wire.Missing(s.received))
	if cap(s.received)-len(s.received) < space {
		s.received = append(make([]byte, 0, len(s.received)+space), s.received...)
	}
	n, err := s.conn.Read(s.received[len(s.received):cap(s.received)])
	s.received = s.received[:len(s.received)+n]
	if n > 0 {
		return nil
	}
	return err
}

// handleFrames handles all whole frames that have come.
func (s *server) handleFrames() error {
	rest := s.received
	for {
		kind, body, after, err := wire.Next(rest, wire.MaxFrameToWorker)
		if err != nil {
			return err
		}
		if kind == 0 {
			break
		}
		rest = after
		if err := s.handleFrame(kind, body); err != nil {
			return err
		}
	}
	s.received = s.received[:copy(s.received, rest)]
	return nil
}

// handleFrame handles one frame: a Load first, and Calls after it.
func (s *server) handleFrame(kind byte, body []byte) error {
	switch {
	case kind == wire.KindLoad && s.hook == nil:
		return s.load(body)
	case kind == wire.KindCall && s.hook != nil:
		return s.handleCall(body)
	}
	return wire.ErrMalformedFrame
}

// load loads the hook and replies. A hook that does not load ends the worker.
func (s *server) load(body []byte) error {
	l, err := wire.ParseLoad(body)
	if err != nil {
		return err
	}
	if s.confine != nil {
		s.confine(l.Budget)
	}
	e := EngineOf(l.Engine)
	if e == nil {
		err = &plugin.Failure{Kind: plugin.NotLoadable, Text: "there is no engine " + plugin.Plain(l.Engine, maxEngineName)}
	} else {
		s.hook, err = e.Load(l.Name, l.Code, l.Budget)
	}
	if err != nil {
		s.unsent = wire.AppendLoadFailed(s.unsent, asFailure(err))
		return errors.Join(s.flush(), err)
	}
	s.budget = l.Budget
	s.timer = time.AfterFunc(idleTimer, s.onTimer)
	s.unsent = wire.AppendLoaded(s.unsent, s.hook.Points())
	return s.flush()
}

// handleCall calls the hook and queues its reply.
func (s *server) handleCall(body []byte) error {
	seq, err := wire.ParseCall(body, &s.call)
	if err != nil {
		return err
	}
	span := s.budget.Time
	if s.call.Point == plugin.Unload {
		span = s.budget.LoadTime
	}
	began := time.Now()
	s.startTimer(began, time.Duration(span)*time.Microsecond)
	err = s.hook.Call(&s.call, &s.reply.Verdict)
	s.reply.Sequence = seq
	s.reply.RunTime = max(1, time.Since(began).Microseconds())
	s.reply.Failed = err != nil
	if err != nil {
		f := asFailure(err)
		s.reply.Kind, s.reply.Text = f.Kind, f.Text
	}
	return s.queueReply()
}

// startTimer has the call that begins interrupted after its budget, and replies in the batch sent before.
func (s *server) startTimer(now time.Time, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = now.Add(span)
	if len(s.unsent) > 0 {
		span = min(span, maxBatchDelay)
	}
	s.timer.Reset(span)
}

// queueReply stops the timer and adds the reply to the batch.
func (s *server) queueReply() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = time.Time{}
	s.timer.Stop()
	s.unsent = wire.AppendReply(s.unsent, &s.reply)
	if len(s.unsent) >= maxBatchBytes {
		return s.send()
	}
	return nil
}

// onTimer is called while a call runs: after maxBatchDelay to send the replies in the batch, which would otherwise wait for
// a call that does not return, and once the call's budget is used up to interrupt it.
func (s *server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		return
	}
	s.send() // a connection that fails here also fails the next send, which returns the error
	if left := time.Until(s.deadline); left > 0 {
		s.timer.Reset(left)
		return
	}
	s.hook.Interrupt()
}

// flush sends the batch.
func (s *server) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send()
}

// send sends the batch; the caller holds mu.
func (s *server) send() error {
	if len(s.unsent) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.unsent)
	s.unsent = s.unsent[:0]
	return err
}

// asFailure returns an error as the contract's Failure.
func asFailure(err error) *plugin.Failure {
	var f *plugin.Failure
	if errors.As(err, &f) {
		return f
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: plugin.Plain(err.Error(), maxCause)}
}

// Package worker runs one hook for a router at the other end of a connection (package wire). A worker is a process, or a
// goroutine of the router where the operator configures that.
//
// The worker interrupts a call that exceeds its time and then serves further calls. A call that can't be interrupted ends when
// the router kills the worker's process.
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

// Engines are the engines that a worker can run.
var Engines = []plugin.Engine{wasm.Engine{}, script.Engine{}}

// EngineOf returns the engine with the given name, or nil if there is none.
func EngineOf(name string) plugin.Engine {
	for _, e := range Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Bounds of a batch of replies. A batch is sent in one write.
const (
	maxBatchBytes = 8 << 10          // bytes
	maxBatchDelay = time.Millisecond // how long a reply waits while the next call runs
)

// minReadSpace is the minimum free capacity of a read buffer in bytes.
const minReadSpace = 4096

// idleTimer is the initial duration of a server's timer, which each call resets; the timer does nothing if it expires
// between calls.
const idleTimer = time.Hour

// Bounds, in bytes, of an error's text and of an engine's name in a failure.
const (
	maxCause      = 200
	maxEngineName = 40
)

// Serve serves the router's requests until the connection ends. If confine is not nil, Serve calls it with the hook's budget
// before loading the hook.
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
	hook     plugin.Hook         // nil until the hook is loaded
	budget   plugin.Budget
	received []byte      // bytes of frames that are not yet handled
	call     plugin.Call // the current call; reused
	reply    wire.Reply  // the reply to the current call; reused

	mu       sync.Mutex  // guards the fields below, which the timer's goroutine also uses
	unsent   []byte      // the batch of replies that are not yet sent
	timer    *time.Timer // calls onTimer while a call runs
	deadline time.Time   // when the running call is interrupted; zero between calls
}

// read reads from the connection once, into a buffer with capacity for the rest of the first frame.
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

// handleFrames handles all complete frames that were received.
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

// handleFrame handles one frame. The first frame must be a Load, and all others must be Calls.
func (s *server) handleFrame(kind byte, body []byte) error {
	switch {
	case kind == wire.KindLoad && s.hook == nil:
		return s.load(body)
	case kind == wire.KindCall && s.hook != nil:
		return s.handleCall(body)
	}
	return wire.ErrMalformedFrame
}

// load loads the hook and sends the reply. The worker ends if the hook does not load.
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
		err = &plugin.Failure{Kind: plugin.NotLoadable, Text: "there is no engine " + plugin.SanitizeText(l.Engine, maxEngineName)}
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

// startTimer starts the timer of a call: onTimer sends the batched replies after maxBatchDelay and interrupts the call after
// the duration span.
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

// onTimer runs when the timer expires during a call. After maxBatchDelay it sends the batched replies, which would otherwise
// wait for a call that may never return. At the deadline it interrupts the call.
func (s *server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		return
	}
	s.send() // on a failed connection the next send fails too and returns the error
	if left := time.Until(s.deadline); left > 0 {
		s.timer.Reset(left)
		return
	}
	s.hook.Interrupt()
}

// flush sends the batched replies.
func (s *server) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send()
}

// send sends the batched replies. The caller must hold mu.
func (s *server) send() error {
	if len(s.unsent) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.unsent)
	s.unsent = s.unsent[:0]
	return err
}

// asFailure converts an error to a *plugin.Failure.
func asFailure(err error) *plugin.Failure {
	var f *plugin.Failure
	if errors.As(err, &f) {
		return f
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: plugin.SanitizeText(err.Error(), maxCause)}
}

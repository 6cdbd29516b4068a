// Package worker runs one hook for a router, at the other end of a connection (package wire). It is the program of
// the processes that hooks run in, and of the goroutines where an operator has them run inside the router.
//
// It interrupts a call that overruns its time and goes on. What can't be interrupted, the router ends with the process.
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

// Engines are all that there are.
var Engines = []plugin.Engine{wasm.Engine{}, script.Engine{}}

// EngineOf gives an engine by its name, nil where there is none.
func EngineOf(name string) plugin.Engine {
	for _, e := range Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// Answers are held back for each other, to be sent in one piece, up to these bounds.
const (
	maxBatchBytes = 8 << 10 // bytes
	maxBatchDelay = time.Millisecond
)

// Serve answers the router until the connection ends. confine, where it is not nil, is called before the hook is
// loaded, with what it may take.
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
		if err := s.read(); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

// server is one end of a connection.
type server struct {
	conn     io.ReadWriter
	confine  func(plugin.Budget)
	hook     plugin.Hook
	budget   plugin.Budget
	received []byte
	call     plugin.Call
	reply    wire.Reply

	mu       sync.Mutex
	unsent   []byte
	timer    *time.Timer
	deadline time.Time // when the call that runs is interrupted; zero between calls
}

// read takes in more, with room for a whole frame.
func (s *server) read() error {
	if room := max(4096, wire.Missing(s.received)); cap(s.received)-len(s.received) < room {
		s.received = append(make([]byte, 0, len(s.received)+room), s.received...)
	}
	n, err := s.conn.Read(s.received[len(s.received):cap(s.received)])
	s.received = s.received[:len(s.received)+n]
	if n > 0 {
		return nil
	}
	return err
}

// handleFrames works through all whole frames that have come.
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

func (s *server) handleFrame(kind byte, body []byte) error {
	switch {
	case kind == wire.KindLoad && s.hook == nil:
		return s.load(body)
	case kind == wire.KindCall && s.hook != nil:
		return s.handleCall(body)
	}
	return wire.ErrMalformedFrame
}

// load loads the hook. After a refusal there is nothing more to do.
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
		err = &plugin.Failure{Kind: plugin.NotLoadable, Text: "there is no engine " + plugin.Plain(l.Engine, 40)}
	} else {
		s.hook, err = e.Load(l.Name, l.Code, l.Budget)
	}
	if err != nil {
		s.unsent = wire.AppendLoadFailed(s.unsent, asFailure(err))
		return errors.Join(s.flush(), err)
	}
	s.budget = l.Budget
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.unsent = wire.AppendLoaded(s.unsent, s.hook.Points())
	return s.flush()
}

// handleCall asks the hook.
func (s *server) handleCall(body []byte) error {
	seq, err := wire.ParseCall(body, &s.call)
	if err != nil {
		return err
	}
	span := s.budget.Time
	if s.call.Point == plugin.Unload {
		span = s.budget.LoadTime
	}
	begun := time.Now()
	s.startTimer(begun, time.Duration(span)*time.Microsecond)
	err = s.hook.Call(&s.call, &s.reply.Verdict)
	s.reply.Sequence = seq
	s.reply.RunTime = max(1, time.Since(begun).Microseconds())
	s.reply.Failed = err != nil
	if err != nil {
		f := asFailure(err)
		s.reply.Kind, s.reply.Text = f.Kind, f.Text
	}
	return s.queueReply()
}

// startTimer has the call that begins interrupted in time.
func (s *server) startTimer(now time.Time, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = now.Add(span)
	if len(s.unsent) > 0 {
		span = min(span, maxBatchDelay)
	}
	s.timer.Reset(span)
}

// queueReply adds the answer to those that are held back.
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

// onTimer is called where a call takes longer than others are to wait for it, and again when its time is over.
//
// The danger: a call that does not come back would keep the verdicts of those before it.
func (s *server) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadline.IsZero() {
		return
	}
	s.send() // what goes wrong here goes wrong again at the next
	if left := time.Until(s.deadline); left > 0 {
		s.timer.Reset(left)
		return
	}
	s.hook.Interrupt()
}

func (s *server) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send()
}

func (s *server) send() error {
	if len(s.unsent) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.unsent)
	s.unsent = s.unsent[:0]
	return err
}

// asFailure is an error as the contract has it.
func asFailure(err error) *plugin.Failure {
	var f *plugin.Failure
	if errors.As(err, &f) {
		return f
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: plugin.Plain(err.Error(), 200)}
}

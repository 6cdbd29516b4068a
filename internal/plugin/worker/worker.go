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
	mostHeld     = 8 << 10 // bytes
	mostHeldTime = time.Millisecond
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
		if err := s.frames(); err != nil {
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
	conn    io.ReadWriter
	confine func(plugin.Budget)
	hook    plugin.Hook
	budget  plugin.Budget
	in      []byte
	call    plugin.Call
	back    wire.Reply

	mu    sync.Mutex
	out   []byte
	timer *time.Timer
	until time.Time // when the call that runs is interrupted; zero between calls
}

// read takes in more, with room for a whole frame.
func (s *server) read() error {
	if room := max(4096, wire.Missing(s.in)); cap(s.in)-len(s.in) < room {
		s.in = append(make([]byte, 0, len(s.in)+room), s.in...)
	}
	n, err := s.conn.Read(s.in[len(s.in):cap(s.in)])
	s.in = s.in[:len(s.in)+n]
	if n > 0 {
		return nil
	}
	return err
}

// frames works through all whole frames that have come.
func (s *server) frames() error {
	rest := s.in
	for {
		kind, body, after, err := wire.Next(rest, wire.MostToWorker)
		if err != nil {
			return err
		}
		if kind == 0 {
			break
		}
		rest = after
		if err := s.frame(kind, body); err != nil {
			return err
		}
	}
	s.in = s.in[:copy(s.in, rest)]
	return nil
}

func (s *server) frame(kind byte, body []byte) error {
	switch {
	case kind == wire.KindLoad && s.hook == nil:
		return s.load(body)
	case kind == wire.KindCall && s.hook != nil:
		return s.answer(body)
	}
	return wire.ErrForm
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
		err = &plugin.Failure{Kind: plugin.Unloadable, Text: "there is no engine " + plugin.Plain(l.Engine, 40)}
	} else {
		s.hook, err = e.Load(l.Name, l.Code, l.Budget)
	}
	if err != nil {
		s.out = wire.AppendRefused(s.out, failure(err))
		return errors.Join(s.flush(), err)
	}
	s.budget = l.Budget
	s.timer = time.AfterFunc(time.Hour, s.late)
	s.out = wire.AppendLoaded(s.out, s.hook.Points())
	return s.flush()
}

// answer asks the hook.
func (s *server) answer(body []byte) error {
	seq, err := wire.ParseCall(body, &s.call)
	if err != nil {
		return err
	}
	span := s.budget.Time
	if s.call.Point == plugin.Unload {
		span = s.budget.LoadTime
	}
	begun := time.Now()
	s.begin(begun, time.Duration(span)*time.Microsecond)
	err = s.hook.Call(&s.call, &s.back.Verdict)
	s.back.Seq = seq
	s.back.Spent = max(1, time.Since(begun).Microseconds())
	s.back.Failed = err != nil
	if err != nil {
		f := failure(err)
		s.back.Kind, s.back.Text = f.Kind, f.Text
	}
	return s.end()
}

// begin has the call that begins interrupted in time.
func (s *server) begin(now time.Time, span time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = now.Add(span)
	if len(s.out) > 0 {
		span = min(span, mostHeldTime)
	}
	s.timer.Reset(span)
}

// end adds the answer to those that are held back.
func (s *server) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Time{}
	s.timer.Stop()
	s.out = wire.AppendReply(s.out, &s.back)
	if len(s.out) >= mostHeld {
		return s.send()
	}
	return nil
}

// late is called where a call takes longer than others are to wait for it, and again when its time is over.
//
// The danger: a call that does not come back would keep the verdicts of those before it.
func (s *server) late() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until.IsZero() {
		return
	}
	s.send() // what goes wrong here goes wrong again at the next
	if left := time.Until(s.until); left > 0 {
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
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.out)
	s.out = s.out[:0]
	return err
}

// failure is an error as the contract has it.
func failure(err error) *plugin.Failure {
	var f *plugin.Failure
	if errors.As(err, &f) {
		return f
	}
	return &plugin.Failure{Kind: plugin.Crashed, Text: plugin.Plain(err.Error(), 200)}
}

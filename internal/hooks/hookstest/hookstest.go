// Package hookstest plays workers on a virtual machine, so that a test or the lab decides what a hook does, at which
// instant, without an engine or a process.
package hookstest

import (
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// Act is what a hook does with one call.
type Act struct {
	After   machine.Time // so long after the call's turn has come
	Verdict plugin.Verdict
	Fail    *plugin.Failure // instead of the verdict
	Hang    bool            // it never comes back
	Die     bool            // its worker ends
	Say     []byte          // bytes instead of an answer
	Twice   bool            // it answers twice
}

// Script decides what hooks do. Both functions may be nil: then hooks load, ask to be asked for requests, and pass.
type Script struct {
	// Load decides how a hook comes up: an Act whose Fail refuses it.
	Load func(hook string) (plugin.Points, Act)
	Call func(hook string, c *plugin.Call) Act

	players []*player // that may run
}

// Up counts the workers that run, by their hooks; "" is for those that have not loaded one.
func (s *Script) Up() map[string]int {
	s.forget()
	up := map[string]int{}
	for _, p := range s.players {
		up[p.hook]++
	}
	return up
}

// forget drops the players that have ended. Nobody tells one that was killed.
func (s *Script) forget() {
	s.players = slices.DeleteFunc(s.players, func(p *player) bool { return !p.read() })
}

// Worker plays a worker: it is the Worker of a sim.Host whose process is m.
func (s *Script) Worker(m func() machine.Machine) func(args []string, c machine.Conn) machine.Handler {
	return func(_ []string, c machine.Conn) machine.Handler {
		s.forget()
		p := &player{s: s, m: m(), c: c}
		s.players = append(s.players, p)
		return p
	}
}

// player is one worker. What it does takes its time, and the calls behind it wait.
type player struct {
	s    *Script
	m    machine.Machine
	c    machine.Conn
	hook string
	in   []byte
	busy bool // or hung
	over bool
}

// Writable implements machine.Handler. What is not taken at once is lost: answers are small.
func (p *player) Writable() {}

// Readable implements machine.Handler.
func (p *player) Readable() {
	if !p.read() {
		p.end()
		return
	}
	p.next()
}

// read takes what has come in, and reports whether more may come.
func (p *player) read() bool {
	var b [4096]byte
	for !p.over {
		n, err := p.c.Read(b[:])
		p.in = append(p.in, b[:n]...)
		if err != nil {
			return err == machine.ErrWait
		}
	}
	return false
}

func (p *player) end() {
	p.over = true
	p.c.Close()
}

// next takes the next frame, if there is one.
func (p *player) next() {
	for !p.busy && !p.over {
		kind, body, rest, err := wire.Next(p.in, wire.MaxFrameToWorker)
		if err != nil || kind == 0 {
			return
		}
		var frame []byte
		act := Act{}
		switch kind {
		case wire.KindLoad:
			l, _ := wire.ParseLoad(body)
			p.hook = l.Name
			points := plugin.Points(0).With(plugin.OnRequest)
			if p.s.Load != nil {
				points, act = p.s.Load(p.hook)
			}
			frame = wire.AppendLoaded(nil, points)
			if act.Fail != nil {
				frame = wire.AppendLoadFailed(nil, act.Fail)
			}
		case wire.KindCall:
			var c plugin.Call
			seq, _ := wire.ParseCall(body, &c)
			if p.s.Call != nil {
				act = p.s.Call(p.hook, &c)
			}
			r := wire.Reply{Sequence: seq, RunTime: max(1, act.After), Verdict: act.Verdict}
			if act.Fail != nil {
				r.Failed, r.Kind, r.Text = true, act.Fail.Kind, act.Fail.Text
			}
			frame = wire.AppendReply(nil, &r)
		}
		p.in = append([]byte(nil), rest...)
		p.act(act, frame)
	}
}

func (p *player) act(a Act, frame []byte) {
	if a.Hang {
		p.busy = true
		return
	}
	if a.After > 0 {
		p.busy = true
		p.m.At(p.m.Now()+a.After, func() {
			p.busy = false
			a.After = 0
			p.act(a, frame)
			p.next()
		})
		return
	}
	switch {
	case p.over:
	case a.Die:
		p.end()
	case a.Say != nil:
		p.c.Write(a.Say)
	case a.Twice:
		p.c.Write(append(frame[:len(frame):len(frame)], frame...))
	default:
		p.c.Write(frame)
	}
}

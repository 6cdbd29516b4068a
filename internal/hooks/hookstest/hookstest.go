// Package hookstest plays workers on a virtual machine, so that a test or the lab decides what a hook does, and when, without
// an engine or a process.
package hookstest

import (
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// readSize is the number of bytes that a player reads at a time.
const readSize = 4096

// Act is what a hook does with one call.
type Act struct {
	After   machine.Time // the delay from the call's turn to what follows
	Verdict plugin.Verdict
	Fail    *plugin.Failure // a failure in place of the verdict
	Hang    bool            // the call never returns
	Die     bool            // the worker ends
	Say     []byte          // bytes in place of a reply
	Twice   bool            // the reply is sent twice
}

// Script decides what hooks do. Both functions may be nil: then hooks load, have the point OnRequest, and pass.
type Script struct {
	// Load decides how a hook loads: an Act whose Fail is set refuses it.
	Load func(hook string) (plugin.Points, Act)
	// Call decides what a hook does with a call.
	Call func(hook string, c *plugin.Call) Act

	players []*player // those that may still run
}

// Up counts the workers that run, by their hooks; "" is for those that have not loaded one.
func (s *Script) Up() map[string]int {
	s.removeEnded()
	up := map[string]int{}
	for _, p := range s.players {
		up[p.hook]++
	}
	return up
}

// removeEnded removes the players that have ended. One that was killed finds out by reading its connection.
func (s *Script) removeEnded() {
	s.players = slices.DeleteFunc(s.players, func(p *player) bool { return !p.read() })
}

// Worker returns a function that plays a worker: the Worker of a sim.Host whose process is m.
func (s *Script) Worker(m func() machine.Machine) func(args []string, c machine.Conn) machine.Handler {
	return func(_ []string, c machine.Conn) machine.Handler {
		s.removeEnded()
		p := &player{script: s, machine: m(), conn: c}
		s.players = append(s.players, p)
		return p
	}
}

// player is one worker. It handles one call at a time, and the calls behind it wait.
type player struct {
	script   *Script
	machine  machine.Machine
	conn     machine.Conn
	hook     string // empty until it has loaded one
	received []byte // frames that are not yet handled
	busy     bool   // a call runs, or hangs
	ended    bool
}

// Writable implements machine.Handler. Bytes that the connection does not take at once are lost, as replies are small.
func (p *player) Writable() {}

// Readable implements machine.Handler.
func (p *player) Readable() {
	if !p.read() {
		p.end()
		return
	}
	p.handleFrames()
}

// read takes what has come in, and reports whether more may come.
func (p *player) read() bool {
	var buffer [readSize]byte
	for !p.ended {
		n, err := p.conn.Read(buffer[:])
		p.received = append(p.received, buffer[:n]...)
		if err != nil {
			return err == machine.ErrWait
		}
	}
	return false
}

// end ends the worker.
func (p *player) end() {
	p.ended = true
	p.conn.Close()
}

// handleFrames handles whole frames until a call takes time.
func (p *player) handleFrames() {
	for !p.busy && !p.ended {
		kind, body, rest, err := wire.Next(p.received, wire.MaxFrameToWorker)
		if err != nil || kind == 0 {
			return
		}
		var frame []byte
		act := Act{}
		switch kind {
		case wire.KindLoad:
			act, frame = p.load(body)
		case wire.KindCall:
			act, frame = p.call(body)
		}
		p.received = append([]byte(nil), rest...)
		p.perform(act, frame)
	}
}

// load returns what a hook does when it is loaded, and the frame that answers.
func (p *player) load(body []byte) (act Act, frame []byte) {
	load, _ := wire.ParseLoad(body)
	p.hook = load.Name
	points := plugin.Points(0).With(plugin.OnRequest)
	if p.script.Load != nil {
		points, act = p.script.Load(p.hook)
	}
	if act.Fail != nil {
		return act, wire.AppendLoadFailed(nil, act.Fail)
	}
	return act, wire.AppendLoaded(nil, points)
}

// call returns what a hook does with a call, and the frame that answers.
func (p *player) call(body []byte) (act Act, frame []byte) {
	var call plugin.Call
	sequence, _ := wire.ParseCall(body, &call)
	if p.script.Call != nil {
		act = p.script.Call(p.hook, &call)
	}
	reply := wire.Reply{Sequence: sequence, RunTime: max(1, act.After), Verdict: act.Verdict}
	if act.Fail != nil {
		reply.Failed, reply.Kind, reply.Text = true, act.Fail.Kind, act.Fail.Text
	}
	return act, wire.AppendReply(nil, &reply)
}

// perform carries out an act, at once or after its delay.
func (p *player) perform(a Act, frame []byte) {
	if a.Hang {
		p.busy = true
		return
	}
	if a.After > 0 {
		p.busy = true
		p.machine.At(p.machine.Now()+a.After, func() {
			p.busy = false
			a.After = 0
			p.perform(a, frame)
			p.handleFrames()
		})
		return
	}
	switch {
	case p.ended:
	case a.Die:
		p.end()
	case a.Say != nil:
		p.conn.Write(a.Say)
	case a.Twice:
		p.conn.Write(append(frame[:len(frame):len(frame)], frame...))
	default:
		p.conn.Write(frame)
	}
}

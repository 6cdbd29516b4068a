// Package hookstest simulates workers on a simulated machine, so that a test or the lab controls the behavior and the timing of
// hooks without an engine or a process.
package hookstest

import (
	"slices"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// readSize is the size in bytes of the buffer for one read.
const readSize = 4096

// Act describes how a hook handles one call.
type Act struct {
	After          machine.Time // delay between the start of the call and its effect
	Verdict        plugin.Verdict
	Fail           *plugin.Failure // a failure in place of the verdict
	Hang           bool            // the call never returns
	Exit           bool            // the worker exits
	RawBytes       []byte          // raw bytes to send in place of a reply
	DuplicateReply bool            // the reply is sent twice
}

// Script defines the behavior of hooks. With nil functions, hooks load, have the point OnRequest, and let requests pass.
type Script struct {
	// Load returns the points of a hook and how it loads. The load fails if Act.Fail is set.
	Load func(hook string) (plugin.Points, Act)
	// Call returns how a hook handles a call.
	Call func(hook string, c *plugin.Call) Act

	workers []*worker // workers that may still run
}

// RunningWorkers returns the number of running workers by hook name. The name "" stands for workers that have not loaded a hook
// yet.
func (s *Script) RunningWorkers() map[string]int {
	s.removeEnded()
	up := map[string]int{}
	for _, w := range s.workers {
		up[w.hook]++
	}
	return up
}

// removeEnded removes the workers that have ended. A worker detects that it was killed by reading from its connection.
func (s *Script) removeEnded() {
	s.workers = slices.DeleteFunc(s.workers, func(w *worker) bool { return !w.read() })
}

// Worker returns a function that starts a simulated worker. It serves as the Worker of a sim.Host whose process is m.
func (s *Script) Worker(m func() machine.Machine) func(args []string, c machine.Conn) machine.Handler {
	return func(_ []string, c machine.Conn) machine.Handler {
		s.removeEnded()
		w := &worker{script: s, machine: m(), conn: c}
		s.workers = append(s.workers, w)
		return w
	}
}

// worker is one simulated worker. It handles one call at a time; later calls wait.
type worker struct {
	script   *Script
	machine  machine.Machine
	conn     machine.Conn
	hook     string // name of the loaded hook; empty before the load
	received []byte // bytes of frames that are not handled yet
	busy     bool   // a call is running or hangs
	ended    bool
}

// Writable implements machine.Handler. It does nothing: replies are small, and bytes that the connection does not accept at
// once are lost.
func (w *worker) Writable() {}

// Readable implements machine.Handler.
func (w *worker) Readable() {
	if !w.read() {
		w.end()
		return
	}
	w.handleFrames()
}

// read reads all available bytes and reports whether the connection is still open.
func (w *worker) read() bool {
	var buffer [readSize]byte
	for !w.ended {
		n, err := w.conn.Read(buffer[:])
		w.received = append(w.received, buffer[:n]...)
		if err != nil {
			return err == machine.ErrWait
		}
	}
	return false
}

// end stops the worker and closes its connection.
func (w *worker) end() {
	w.ended = true
	w.conn.Close()
}

// handleFrames handles complete frames until a call is delayed or the worker ends.
func (w *worker) handleFrames() {
	for !w.busy && !w.ended {
		kind, body, rest, err := wire.Next(w.received, wire.MaxFrameToWorker)
		if err != nil || kind == 0 {
			return
		}
		var frame []byte
		act := Act{}
		switch kind {
		case wire.KindLoad:
			act, frame = w.load(body)
		case wire.KindCall:
			act, frame = w.call(body)
		}
		w.received = append([]byte(nil), rest...)
		w.perform(act, frame)
	}
}

// load returns how the hook loads, and the reply frame.
func (w *worker) load(body []byte) (act Act, frame []byte) {
	load, _ := wire.ParseLoad(body)
	w.hook = load.Name
	points := plugin.Points(0).With(plugin.OnRequest)
	if w.script.Load != nil {
		points, act = w.script.Load(w.hook)
	}
	if act.Fail != nil {
		return act, wire.AppendLoadFailed(nil, act.Fail)
	}
	return act, wire.AppendLoaded(nil, points)
}

// call returns how the hook handles a call, and the reply frame.
func (w *worker) call(body []byte) (act Act, frame []byte) {
	var call plugin.Call
	sequence, _ := wire.ParseCall(body, &call)
	if w.script.Call != nil {
		act = w.script.Call(w.hook, &call)
	}
	reply := wire.Reply{Sequence: sequence, RunTime: max(1, act.After), Verdict: act.Verdict}
	if act.Fail != nil {
		reply.Failed, reply.Kind, reply.Text = true, act.Fail.Kind, act.Fail.Text
	}
	return act, wire.AppendReply(nil, &reply)
}

// perform carries out an act, immediately or after its delay.
func (w *worker) perform(a Act, frame []byte) {
	if a.Hang {
		w.busy = true
		return
	}
	if a.After > 0 {
		w.busy = true
		w.machine.At(w.machine.Now()+a.After, func() {
			w.busy = false
			a.After = 0
			w.perform(a, frame)
			w.handleFrames()
		})
		return
	}
	switch {
	case w.ended:
	case a.Exit:
		w.end()
	case a.RawBytes != nil:
		w.conn.Write(a.RawBytes)
	case a.DuplicateReply:
		w.conn.Write(append(frame[:len(frame):len(frame)], frame...))
	default:
		w.conn.Write(frame)
	}
}

package hooks

import (
	"io"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// workerConnection is the router's end of a worker. It implements machine.Handler.
type workerConnection struct {
	hooks        *Hooks
	id           int
	hook         *Hook
	process      machine.Process
	conn         machine.Conn // nil until it is up
	received     []byte
	unsent       []byte
	writePending bool // it is among those that have something to send
	ended        bool
}

// workerEnvironment of a worker: no dump of what a hook did to the engine, and two processors, of which the second is for the
// interrupt. With one, it came up to 10 ms late, which is when the scheduler looks.
var workerEnvironment = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}

// maxIdleBuffer is the room that a buffer keeps when it is empty.
const maxIdleBuffer = 64 << 10

func (h *Hooks) startWorker(a *policy.Action) {
	cfg := h.configs[a.Set]
	l := &workerConnection{hooks: h, id: a.Worker, hook: &cfg.Hooks[a.Hook]}
	h.workers[l.id] = l
	spec := machine.Worker{Args: cfg.Command, Env: workerEnvironment}
	if len(spec.Args) == 0 {
		spec.Args = []string{CommandName}
	}
	if l.hook.Inside {
		spec.Inside = cfg.Inside
	}
	l.process = h.machine.Spawn(spec, l.onStarted)
}

func (h *Hooks) killWorker(id int) {
	if l := h.workers[id]; l != nil {
		delete(h.workers, id)
		l.ended = true
		l.process.Kill()
	}
}

// sendCall adds a call to those that go out at the end of the turn.
func (h *Hooks) sendCall(a *policy.Action) {
	l, call := h.workers[a.Worker], a.Call()
	if l == nil || call == nil {
		return
	}
	if l.hook.WantsValue {
		call.Value = a.Value()
	}
	l.unsent = wire.AppendCall(l.unsent, a.Sequence, call)
	call.Value = nil // it is the client's
	if !l.writePending {
		l.writePending = true
		h.pendingWrites = append(h.pendingWrites, l)
	}
}

// flushWrites sends what the turn has brought.
func (h *Hooks) flushWrites() {
	for _, l := range h.pendingWrites {
		l.writePending = false
		l.write()
	}
	clear(h.pendingWrites)
	h.pendingWrites = h.pendingWrites[:0]
}

// onStarted is told that the worker is there, or why it is not.
func (l *workerConnection) onStarted(c machine.Conn, err error) machine.Handler {
	if err != nil {
		l.onEnded("its worker did not start: " + plugin.Plain(err.Error(), 200))
		return nil
	}
	l.conn = c
	load := wire.Load{Name: l.hook.Name, Engine: l.hook.Engine, Budget: l.hook.Budget, Code: l.hook.Code}
	l.unsent = wire.AppendLoad(l.unsent, &load)
	l.write()
	return l
}

func (l *workerConnection) write() {
	if l.conn == nil || l.ended {
		return
	}
	n, _ := l.conn.Write(l.unsent) // an error is told as the connection's end
	l.unsent = l.unsent[:copy(l.unsent, l.unsent[n:])]
	if len(l.unsent) == 0 && cap(l.unsent) > maxIdleBuffer {
		l.unsent = nil
	}
}

// Writable implements machine.Handler.
func (l *workerConnection) Writable() { l.write() }

// Readable implements machine.Handler.
func (l *workerConnection) Readable() {
	for !l.ended {
		if cap(l.received)-len(l.received) < 4096 {
			l.received = append(make([]byte, 0, len(l.received)+8192), l.received...)
		}
		n, err := l.conn.Read(l.received[len(l.received):cap(l.received)])
		l.received = l.received[:len(l.received)+n]
		if !l.handleFrames() {
			break
		}
		if err == machine.ErrWait {
			break
		}
		if err != nil {
			why := "its worker ended: out of memory, or a crash of its engine"
			if err != io.EOF {
				why = "its worker was lost: " + plugin.Plain(err.Error(), 100)
			}
			l.onEnded(why)
			return
		}
	}
	l.hooks.executeActions()
}

// handleFrames works through all whole frames that have come. It reports false where the worker is over.
func (l *workerConnection) handleFrames() bool {
	rest := l.received
	for !l.ended {
		kind, body, after, err := wire.Next(rest, wire.MaxFrameToRouter)
		if err == nil && kind == 0 {
			break
		}
		if err == nil {
			err = l.handleFrame(kind, body)
		}
		if err != nil {
			l.onEnded("its worker spoke out of turn: " + err.Error())
			return false
		}
		rest = after
	}
	l.received = l.received[:copy(l.received, rest)]
	return !l.ended
}

func (l *workerConnection) handleFrame(kind byte, body []byte) error {
	h, now := l.hooks, l.hooks.machine.Now()
	switch kind {
	case wire.KindLoaded:
		points, err := wire.ParseLoaded(body)
		if err != nil {
			return err
		}
		h.policy.WorkerLoaded(now, l.id, points)
	case wire.KindLoadFailed:
		f, err := wire.ParseLoadFailed(body)
		if err != nil {
			return err
		}
		h.policy.WorkerEnded(now, l.id, f.Error())
	case wire.KindReply:
		r := &h.reply
		if err := wire.ParseReply(body, r); err != nil {
			return err
		}
		h.policy.HandleReply(now, l.id, policy.Reply{Sequence: r.Sequence, RunTime: r.RunTime, Failed: r.Failed, Kind: r.Kind, Text: r.Text,
			Verdict: &r.Verdict})
	default:
		return wire.ErrMalformedFrame
	}
	return nil
}

// onEnded says that nothing more can be had of the worker.
func (l *workerConnection) onEnded(why string) {
	l.hooks.policy.WorkerEnded(l.hooks.machine.Now(), l.id, why)
	l.hooks.executeActions()
}

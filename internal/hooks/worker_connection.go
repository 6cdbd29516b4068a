package hooks

import (
	"errors"
	"fmt"
	"io"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

const (
	maxIdleBuffer = 64 << 10 // bytes of capacity that an empty buffer keeps
	minReadSpace  = 4 << 10  // bytes of free capacity that a read is offered at least
	readBufferAdd = 8 << 10  // bytes by which the buffer for reading grows

	maxStartCause      = 200 // bytes of the reason why a worker did not start
	maxConnectionCause = 100 // bytes of the reason why a connection was lost
)

// errWorkerExited is the end of a worker that nobody killed.
var errWorkerExited = errors.New("worker exited: out of memory, or a crash of its engine")

// workerEnvironment is the environment of a worker's process. It writes no dump of what a hook did to its engine. The second
// processor is for the timer that interrupts a call: with one it fires up to 10 ms late, when the scheduler preempts the hook.
var workerEnvironment = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}

// workerConnection is the router's end of a worker. It implements machine.Handler.
type workerConnection struct {
	hooks        *Hooks
	id           int // the policy's number of the worker
	hook         *Hook
	process      machine.Process
	conn         machine.Conn // nil until the worker has started
	received     []byte       // not yet handled
	unsent       []byte
	writePending bool // it is among Hooks.pendingWrites
	ended        bool // the policy has killed it
}

// startWorker starts a worker for a hook of a set.
func (h *Hooks) startWorker(a *policy.Action) {
	cfg := h.configs[a.Set]
	w := &workerConnection{hooks: h, id: a.Worker, hook: &cfg.Hooks[a.Hook]}
	h.workers[w.id] = w
	spec := machine.Worker{Args: cfg.Command, Env: workerEnvironment}
	if len(spec.Args) == 0 {
		spec.Args = []string{CommandName}
	}
	if w.hook.Inside {
		spec.Inside = cfg.Inside
	}
	w.process = h.machine.Spawn(spec, w.onStarted)
}

// killWorker ends a worker at once.
func (h *Hooks) killWorker(id int) {
	if w := h.workers[id]; w != nil {
		delete(h.workers, id)
		w.ended = true
		w.process.Kill()
	}
}

// sendCall adds a call to those that are written at the end of the turn.
func (h *Hooks) sendCall(a *policy.Action) {
	w, call := h.workers[a.Worker], a.Call()
	if w == nil || call == nil {
		return
	}
	if w.hook.WantsValue {
		call.Value = a.Value()
	}
	w.unsent = wire.AppendCall(w.unsent, a.Sequence, call)
	call.Value = nil // the buffer belongs to the client's connection
	if !w.writePending {
		w.writePending = true
		h.pendingWrites = append(h.pendingWrites, w)
	}
}

// flushWrites sends the calls of this turn.
func (h *Hooks) flushWrites() {
	for _, w := range h.pendingWrites {
		w.writePending = false
		w.write()
	}
	clear(h.pendingWrites)
	h.pendingWrites = h.pendingWrites[:0]
}

// onStarted is called once the worker has started, or could not be started.
func (w *workerConnection) onStarted(c machine.Conn, err error) machine.Handler {
	if err != nil {
		w.onEnded(fmt.Errorf("worker not started: %s", plugin.Plain(err.Error(), maxStartCause)))
		return nil
	}
	w.conn = c
	load := wire.Load{Name: w.hook.Name, Engine: w.hook.Engine, Budget: w.hook.Budget, Code: w.hook.Code}
	w.unsent = wire.AppendLoad(w.unsent, &load)
	w.write()
	return w
}

// write sends as much as the connection takes. An error shows as the connection's end in Readable.
func (w *workerConnection) write() {
	if w.conn == nil || w.ended {
		return
	}
	n, _ := w.conn.Write(w.unsent)
	w.unsent = w.unsent[:copy(w.unsent, w.unsent[n:])]
	if len(w.unsent) == 0 && cap(w.unsent) > maxIdleBuffer {
		w.unsent = nil
	}
}

// Writable implements machine.Handler.
func (w *workerConnection) Writable() { w.write() }

// Readable implements machine.Handler: it handles all frames that have come.
func (w *workerConnection) Readable() {
	for !w.ended {
		err := w.read()
		if !w.handleFrames() || err == machine.ErrWait {
			break
		}
		if err != nil {
			w.onEnded(connectionError(err))
			return
		}
	}
	w.hooks.executeActions()
}

// read reads once from the connection.
func (w *workerConnection) read() error {
	if cap(w.received)-len(w.received) < minReadSpace {
		w.received = append(make([]byte, 0, len(w.received)+readBufferAdd), w.received...)
	}
	n, err := w.conn.Read(w.received[len(w.received):cap(w.received)])
	w.received = w.received[:len(w.received)+n]
	return err
}

// connectionError returns the reason why a worker is lost whose connection ended with err.
func connectionError(err error) error {
	if err == io.EOF {
		return errWorkerExited
	}
	return fmt.Errorf("worker connection lost: %s", plugin.Plain(err.Error(), maxConnectionCause))
}

// handleFrames handles all whole frames that have come. It reports false once the worker has ended.
func (w *workerConnection) handleFrames() bool {
	rest := w.received
	for !w.ended {
		kind, body, after, err := wire.Next(rest, wire.MaxFrameToRouter)
		if err == nil && kind == 0 {
			break
		}
		if err == nil {
			err = w.handleFrame(kind, body)
		}
		if err != nil {
			w.onEnded(fmt.Errorf("worker violated its protocol: %w", err))
			return false
		}
		rest = after
	}
	w.received = w.received[:copy(w.received, rest)]
	return !w.ended
}

// handleFrame hands one frame to the policy.
func (w *workerConnection) handleFrame(kind byte, body []byte) error {
	h, now := w.hooks, w.hooks.machine.Now()
	switch kind {
	case wire.KindLoaded:
		points, err := wire.ParseLoaded(body)
		if err != nil {
			return err
		}
		h.policy.WorkerLoaded(now, w.id, points)
	case wire.KindLoadFailed:
		failure, err := wire.ParseLoadFailed(body)
		if err != nil {
			return err
		}
		h.policy.WorkerEnded(now, w.id, failure)
	case wire.KindReply:
		r := &h.reply
		if err := wire.ParseReply(body, r); err != nil {
			return err
		}
		h.policy.HandleReply(now, w.id, policy.Reply{
			Sequence: r.Sequence,
			RunTime:  r.RunTime,
			Failed:   r.Failed,
			Kind:     r.Kind,
			Text:     r.Text,
			Verdict:  &r.Verdict,
		})
	default:
		return wire.ErrMalformedFrame
	}
	return nil
}

// onEnded reports to the policy that the worker is of no more use.
func (w *workerConnection) onEnded(cause error) {
	w.hooks.policy.WorkerEnded(w.hooks.machine.Now(), w.id, cause)
	w.hooks.executeActions()
}

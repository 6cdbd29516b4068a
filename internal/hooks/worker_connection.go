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
	maxIdleBuffer = 64 << 10 // bytes; larger write buffers are freed once empty
	minReadSpace  = 4 << 10  // bytes; minimum free capacity for a read
	readBufferAdd = 8 << 10  // bytes; free capacity of the read buffer after it has grown

	maxStartCause      = 200 // bytes; limit of the error text of a failed start
	maxConnectionCause = 100 // bytes; limit of the error text of a lost connection
)

// errWorkerExited is the cause for a worker that exited without being killed by the router.
var errWorkerExited = errors.New("worker exited: out of memory, or a crash of its engine")

// workerEnvironment is the environment of a worker process. GOTRACEBACK=none suppresses the stack dump after a hook crashes its
// engine. The second processor of GOMAXPROCS=2 runs the timer that interrupts a call; with one processor the timer fires up to
// 10 ms late, when the scheduler preempts the hook.
var workerEnvironment = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}

// workerConnection is the connection of the router to a worker. It implements machine.Handler.
type workerConnection struct {
	hooks        *Hooks
	id           int // number of the worker in the policy
	hook         *Hook
	process      machine.Process
	conn         machine.Conn // nil until the worker has started
	received     []byte       // bytes that are not parsed yet
	unsent       []byte
	writePending bool // the connection is in Hooks.pendingWrites
	ended        bool // the policy has killed the worker
}

// startWorker starts a worker for the hook that the action names.
func (h *Hooks) startWorker(a *policy.Action) {
	cfg := h.configs[a.Set]
	w := &workerConnection{hooks: h, id: a.Worker, hook: &cfg.Hooks[a.Hook]}
	h.workers[w.id] = w
	spec := machine.Worker{Args: cfg.Command, Env: workerEnvironment}
	if len(spec.Args) == 0 {
		spec.Args = []string{CommandName}
	}
	if w.hook.Inside {
		spec.RunInProcess = cfg.ServeInProcess
	}
	w.process = h.machine.Spawn(spec, w.onStarted)
}

// killWorker kills a worker immediately.
func (h *Hooks) killWorker(id int) {
	if w := h.workers[id]; w != nil {
		delete(h.workers, id)
		w.ended = true
		w.process.Kill()
	}
}

// sendCall encodes a call into the write buffer of its worker, to be written at the end of the turn.
func (h *Hooks) sendCall(a *policy.Action) {
	w, call := h.workers[a.Worker], a.Call()
	if w == nil || call == nil {
		return
	}
	if w.hook.WantsValue {
		call.Value = a.Value()
	}
	w.unsent = wire.AppendCall(w.unsent, a.Sequence, call)
	call.Value = nil // the buffer belongs to the client connection
	if !w.writePending {
		w.writePending = true
		h.pendingWrites = append(h.pendingWrites, w)
	}
}

// flushWrites writes the calls of this turn to their workers.
func (h *Hooks) flushWrites() {
	for _, w := range h.pendingWrites {
		w.writePending = false
		w.write()
	}
	clear(h.pendingWrites)
	h.pendingWrites = h.pendingWrites[:0]
}

// onStarted handles the result of starting the worker, and sends the worker its hook.
func (w *workerConnection) onStarted(c machine.Conn, err error) machine.Handler {
	if err != nil {
		w.onEnded(fmt.Errorf("worker not started: %s", plugin.SanitizeText(err.Error(), maxStartCause)))
		return nil
	}
	w.conn = c
	load := wire.Load{Name: w.hook.Name, Engine: w.hook.Engine, Budget: w.hook.Budget, Code: w.hook.Code}
	w.unsent = wire.AppendLoad(w.unsent, &load)
	w.write()
	return w
}

// write writes as many unsent bytes as the connection accepts. It ignores write errors, because Readable then sees the end of
// the connection.
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

// Readable implements machine.Handler. It handles all frames that have arrived.
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

// read performs one read from the connection and grows the read buffer if needed.
func (w *workerConnection) read() error {
	if cap(w.received)-len(w.received) < minReadSpace {
		w.received = append(make([]byte, 0, len(w.received)+readBufferAdd), w.received...)
	}
	n, err := w.conn.Read(w.received[len(w.received):cap(w.received)])
	w.received = w.received[:len(w.received)+n]
	return err
}

// connectionError returns the cause to report for a worker whose connection ended with err.
func connectionError(err error) error {
	if err == io.EOF {
		return errWorkerExited
	}
	return fmt.Errorf("worker connection lost: %s", plugin.SanitizeText(err.Error(), maxConnectionCause))
}

// handleFrames handles all complete frames in the read buffer. It reports false once the worker has ended.
func (w *workerConnection) handleFrames() bool {
	remaining := w.received
	for !w.ended {
		kind, body, after, err := wire.Next(remaining, wire.MaxFrameToRouter)
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
		remaining = after
	}
	w.received = w.received[:copy(w.received, remaining)]
	return !w.ended
}

// handleFrame parses one frame and passes its content to the policy.
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

// onEnded reports to the policy that the worker has ended or is unusable.
func (w *workerConnection) onEnded(cause error) {
	w.hooks.policy.WorkerEnded(w.hooks.machine.Now(), w.id, cause)
	w.hooks.executeActions()
}

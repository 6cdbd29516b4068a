package hooks

import (
	"io"

	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// link is the router's end of a worker. It implements machine.Handler.
type link struct {
	h       *Hooks
	id      int
	hook    *Hook
	process machine.Process
	conn    machine.Conn // nil until it is up
	in      []byte
	out     []byte
	unsent  bool // it is among those that have something to send
	over    bool
}

// environment of a worker: no dump of what a hook did to the engine, and two processors, of which the second is for the
// interrupt. With one, it came up to 10 ms late, which is when the scheduler looks.
var environment = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}

// mostKept is the room that a buffer keeps when it is empty.
const mostKept = 64 << 10

func (h *Hooks) start(a *policy.Action) {
	cfg := h.sets[a.Set]
	l := &link{h: h, id: a.Worker, hook: &cfg.Hooks[a.Hook]}
	h.workers[l.id] = l
	spec := machine.Worker{Args: cfg.Command, Env: environment}
	if len(spec.Args) == 0 {
		spec.Args = []string{CommandName}
	}
	if l.hook.Inside {
		spec.Inside = cfg.Inside
	}
	l.process = h.m.Spawn(spec, l.up)
}

func (h *Hooks) kill(id int) {
	if l := h.workers[id]; l != nil {
		delete(h.workers, id)
		l.over = true
		l.process.Kill()
	}
}

// send adds a call to those that go out at the end of the turn.
func (h *Hooks) send(a *policy.Action) {
	l, call := h.workers[a.Worker], a.Call()
	if l == nil || call == nil {
		return
	}
	if l.hook.WantsValue {
		call.Value = a.Value()
	}
	l.out = wire.AppendCall(l.out, a.Seq, call)
	call.Value = nil // it is the client's
	if !l.unsent {
		l.unsent = true
		h.unsent = append(h.unsent, l)
	}
}

// flush sends what the turn has brought.
func (h *Hooks) flush() {
	for _, l := range h.unsent {
		l.unsent = false
		l.write()
	}
	clear(h.unsent)
	h.unsent = h.unsent[:0]
}

// up is told that the worker is there, or why it is not.
func (l *link) up(c machine.Conn, err error) machine.Handler {
	if err != nil {
		l.ended("its worker did not start: " + plugin.Plain(err.Error(), 200))
		return nil
	}
	l.conn = c
	load := wire.Load{Name: l.hook.Name, Engine: l.hook.Engine, Budget: l.hook.Budget, Code: l.hook.Code}
	l.out = wire.AppendLoad(l.out, &load)
	l.write()
	return l
}

func (l *link) write() {
	if l.conn == nil || l.over {
		return
	}
	n, _ := l.conn.Write(l.out) // an error is told as the connection's end
	l.out = l.out[:copy(l.out, l.out[n:])]
	if len(l.out) == 0 && cap(l.out) > mostKept {
		l.out = nil
	}
}

// Writable implements machine.Handler.
func (l *link) Writable() { l.write() }

// Readable implements machine.Handler.
func (l *link) Readable() {
	for !l.over {
		if cap(l.in)-len(l.in) < 4096 {
			l.in = append(make([]byte, 0, len(l.in)+8192), l.in...)
		}
		n, err := l.conn.Read(l.in[len(l.in):cap(l.in)])
		l.in = l.in[:len(l.in)+n]
		if !l.frames() {
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
			l.ended(why)
			return
		}
	}
	l.h.carry()
}

// frames works through all whole frames that have come. It reports false where the worker is over.
func (l *link) frames() bool {
	rest := l.in
	for !l.over {
		kind, body, after, err := wire.Next(rest, wire.MostToRouter)
		if err == nil && kind == 0 {
			break
		}
		if err == nil {
			err = l.frame(kind, body)
		}
		if err != nil {
			l.ended("its worker spoke out of turn: " + err.Error())
			return false
		}
		rest = after
	}
	l.in = l.in[:copy(l.in, rest)]
	return !l.over
}

func (l *link) frame(kind byte, body []byte) error {
	h, now := l.h, l.h.m.Now()
	switch kind {
	case wire.KindLoaded:
		points, err := wire.ParseLoaded(body)
		if err != nil {
			return err
		}
		h.p.Up(now, l.id, points)
	case wire.KindRefused:
		f, err := wire.ParseRefused(body)
		if err != nil {
			return err
		}
		h.p.Ended(now, l.id, f.Error())
	case wire.KindReply:
		r := &h.reply
		if err := wire.ParseReply(body, r); err != nil {
			return err
		}
		h.p.Replied(now, l.id, policy.Reply{Seq: r.Seq, Spent: r.Spent, Failed: r.Failed, Kind: r.Kind, Text: r.Text,
			Verdict: &r.Verdict})
	default:
		return wire.ErrForm
	}
	return nil
}

// ended says that nothing more can be had of the worker.
func (l *link) ended(why string) {
	l.h.p.Ended(l.h.m.Now(), l.id, why)
	l.h.carry()
}

package planted

import (
	"bytes"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
)

const hour machine.Time = 3_600_000_000

// InHooks are the defects of how a router has hooks judge requests, planted in what it is told of them and in its
// machine. They show in worlds with hooks.
func InHooks() []Defect {
	return withHooks(
		told("hooks without a budget", "lost", func(c *hooks.Config) {
			c.MaxWaitFraction, c.MaxWait = 1e6, hour
			for i := range c.Hooks {
				c.Hooks[i].Time = hour
			}
		}),
		told("queues of hooks without a bound", lab.LongQueue, func(c *hooks.Config) {
			for i := range c.Hooks {
				c.Hooks[i].Queue = 1 << 30
			}
		}),
		told("requests that hooks fail to judge passed", lab.PastHook, func(c *hooks.Config) {
			for i := range c.Hooks {
				c.Hooks[i].OnFailure = 0
			}
		}),
		tampered("refusals carried out twice", "answered twice", func(t *tamper) {
			t.clientWrite = func(c machine.Conn, b []byte) (int, error) {
				n, err := c.Write(b)
				if n == len(b) && err == nil && bytes.HasPrefix(b, []byte("-BUSY")) {
					c.Write(b)
				}
				return n, err
			}
		}),
		guarded(wrap("requests that hooks pass sent twice", "second copy", passedTwice)),
		tampered("workers of hooks never ended", "left behind", func(t *tamper) { t.keepsWorkers = true }),
	)
}

func withHooks(all ...Defect) []Defect {
	for i := range all {
		all[i].Hooks = true
	}
	return all
}

// told has routers told something else of their hooks.
func told(name, rule string, change func(*hooks.Config)) Defect {
	return Defect{Name: name, Rule: rule, Apply: func(o *lab.Options) {
		start := o.Node
		o.Node = func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
			change(&c.Hooks)
			return start(m, c)
		}
	}}
}

// passedTwice carries out twice what the module says of a request that has just come to it.
func passedTwice() filter {
	x := newExtra()
	return x.translate(filter{handle: func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action {
		actions := m.Handle(now, ev)
		if _, ok := ev.(*decide.Request); !ok {
			return actions
		}
		var out []decide.Action
		for _, a := range actions {
			out = append(out, a)
			if s, ok := a.(decide.Send); ok {
				x.sentOwn(s.ID)
				x.sentMore(s.ID)
				out = append(out, s)
			}
		}
		return out
	}, action: func(a decide.Action) []decide.Action { return []decide.Action{a} }})
}

// immortal is a worker whose end nobody brings about.
type immortal struct{ machine.Process }

// Kill implements machine.Process.
func (immortal) Kill() {}

// Spawn implements machine.Machine.
func (t *tamper) Spawn(w machine.Worker, done func(machine.Conn, error) machine.Handler) machine.Process {
	p := t.Machine.Spawn(w, done)
	if t.keepsWorkers {
		return immortal{p}
	}
	return p
}

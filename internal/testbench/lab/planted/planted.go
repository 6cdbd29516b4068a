// Package planted holds defects to plant in a router, each with the rule that it breaks. They show that the lab can
// find what it looks for: a watcher that never fails proves nothing.
//
// These stand between a router and its decision module and change what passes, so that they fit any router.
package planted

import (
	"context"
	"slices"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/script"
)

// Defect is one defect.
type Defect struct {
	Name string
	Rule string // that it breaks
	// Masked tells that the router's side of the caches does not carry out what the module wrongly asks for: such a
	// defect shows in a router without that second guard only.
	Masked bool
	// Guarded tells that the router's guard prevents it: it shows where the guard is told to prevent nothing.
	Guarded bool
	// Length of the scripts that it shows in, where those of the search are too short; 0 where any will do.
	Length time.Duration
	// Registry tells that it shows in worlds with a registry only.
	Registry bool
	// Hooks tells that it shows where routers have hooks.
	Hooks bool
	// Throng tells that it shows where many routers start in step.
	Throng bool
	// Apply plants it.
	Apply func(o *lab.Options)
}

// Find runs the seeds 1 to most until the defect's rule breaks, and reports how many runs that took.
func (d Defect) Find(
	ctx context.Context, o lab.Options, most int, length time.Duration,
) (runs int, found bool, err error) {
	d.Apply(&o)
	length = max(length, d.Length)
	const batch = 8
	for from := 1; from <= most && !found; from += batch {
		h := lab.Hunt{From: uint64(from), To: uint64(min(from+batch-1, most)), Length: length, Jobs: 2, Hooks: d.Hooks,
			Options: o}
		switch {
		case d.Registry:
			h.Draw = script.DrawRegistry
		case d.Throng:
			h.Draw = script.DrawThrong
		}
		sum, err := h.Run(ctx)
		if err != nil || ctx.Err() != nil {
			return runs, false, err
		}
		for _, f := range sum.Found {
			if slices.ContainsFunc(f.Broken, func(b lab.Broken) bool { return b.Rule == d.Rule }) {
				return int(f.Seed), true, nil
			}
		}
		runs += sum.Seeds
	}
	return runs, false, nil
}

// InModule are the defects that need no more than a stand between a router and its module.
func InModule() []Defect {
	return []Defect{
		wrap("deadlines taken for later ones", "lost", func() filter {
			return filter{event: func(ev decide.Event) decide.Event {
				if r, ok := ev.(*decide.Request); ok {
					later := *r
					later.Deadline += 1_000_000
					return &later
				}
				return ev
			}}
		}),
		wrap("failures that nobody tells", "lost", func() filter {
			return filter{action: func(a decide.Action) []decide.Action {
				if _, ok := a.(decide.Fail); ok {
					return nil
				}
				return []decide.Action{a}
			}}
		}),
		guarded(wrap("failures told as refusals", "refused after it may have run", func() filter {
			return filter{action: func(a decide.Action) []decide.Action {
				if f, ok := a.(decide.Fail); ok {
					return []decide.Action{decide.Reject{ID: f.ID}}
				}
				return []decide.Action{a}
			}}
		})),
		guarded(wrap("errors taken for refusals of the cache", "unsafe request sent again", func() filter {
			return filter{event: func(ev decide.Event) decide.Event {
				if o, ok := ev.(*decide.AttemptResult); ok && o.Result == decide.Errored {
					other := *o
					other.Result = decide.Rejected
					return &other
				}
				return ev
			}}
		})),
		guarded(wrap("unsafe writes taken for reads", "unsafe request sent again", func() filter {
			return takenForReads("merge-log")
		})),
		guarded(wrap("keyed writes taken for reads", "keyed request sent again", func() filter {
			return takenForReads("add-contact", "confirm-contact")
		})),
		masked("drains taken for service", "late drain", func() filter {
			return entries(func(e *decide.Endpoint) {
				if e.Status == decide.Draining {
					e.Status = decide.Serving
				}
			})
		}),
		masked("lists after the first not read", "late drain", func() filter {
			known := false
			return filter{event: func(ev decide.Event) decide.Event {
				if _, ok := ev.(*decide.EndpointList); !ok {
					return ev
				}
				if known {
					return nil
				}
				known = true
				return ev
			}}
		}),
		wrap("a cold cache sought out", "cold cache pushed over", coldSoughtOut),
		guarded(wrap("second copies whatever is allowed", "second copy", secondCopies)),
		guarded(wrap("attempts that were turned away made for ever", "too many attempts", persistent)),
		wrap("a connection that breaks not expected", lab.Crash, func() filter {
			return filter{event: func(ev decide.Event) decide.Event {
				if o, ok := ev.(*decide.AttemptResult); ok && o.Result == decide.ConnectionLost {
					panic("a connection has broken")
				}
				return ev
			}}
		}),
		wrap("a timer more for each that is set", "left behind", func() filter {
			return filter{action: func(a decide.Action) []decide.Action {
				if t, ok := a.(decide.SetTimer); ok { // one that nobody takes back
					return []decide.Action{a, decide.SetTimer{Token: -t.Token, At: t.At + 3_600_000_000}}
				}
				return []decide.Action{a}
			}}
		}),
		wrap("timers set again for the same instant", lab.Stuck, func() filter {
			return filter{handle: func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action {
				if t, ok := ev.(*decide.Timer); ok {
					return []decide.Action{decide.SetTimer{Token: t.Token, At: now}}
				}
				return m.Handle(now, ev)
			}}
		}),
	}
}

// coldSoughtOut sends all to a cache that has just started. That such a cache is taken for a warm one does not push it
// over by itself, as the limit of what is out at it falls with its slowness.
func coldSoughtOut() filter {
	cold, since := "", decide.Time(0)
	return filter{
		handle: func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action {
			if l, ok := ev.(*decide.EndpointList); ok {
				for _, e := range l.Endpoints {
					if e.StartedAt > now-5_000_000 && e.Status == decide.Serving {
						cold, since = e.ID, now
					} else if e.ID == cold {
						cold = ""
					}
				}
			}
			actions := m.Handle(now, ev)
			for i, a := range actions {
				if s, ok := a.(decide.Send); ok && cold != "" && now < since+5_000_000 {
					s.Cache = cold
					actions[i] = s
				}
			}
			return actions
		},
	}
}

// filter changes what passes between a router and its module. What is nil changes nothing.
type filter struct {
	event  func(decide.Event) decide.Event // nil keeps it from the module
	action func(decide.Action) []decide.Action
	handle func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action
}

type filtered struct {
	filter
	module guard.Module
}

// Handle implements guard.Module.
func (f *filtered) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if f.event != nil {
		if ev = f.event(ev); ev == nil {
			return nil
		}
	}
	handle := f.handle
	if handle == nil {
		handle = guard.Module.Handle
	}
	actions := handle(f.module, now, ev)
	if f.action == nil {
		return actions
	}
	var out []decide.Action
	for _, a := range actions {
		out = append(out, f.action(a)...)
	}
	return out
}

// wrap is a defect of a filter, of which each router gets one of its own.
func wrap(name, rule string, f func() filter) Defect {
	return Defect{Name: name, Rule: rule, Apply: func(o *lab.Options) {
		o.Wrap = func(m guard.Module) guard.Module { return &filtered{f(), m} }
	}}
}

// guarded is a defect that the router's guard prevents.
func guarded(d Defect) Defect {
	d.Guarded = true
	return d
}

// masked is wrap for a defect that the router guards against a second time.
func masked(name, rule string, f func() filter) Defect {
	d := wrap(name, rule, f)
	d.Masked = true
	return d
}

// takenForReads has requests of some classes look like reads.
func takenForReads(classes ...string) filter {
	return filter{event: func(ev decide.Event) decide.Event {
		if r, ok := ev.(*decide.Request); ok && slices.Contains(classes, r.Class) {
			other := *r
			other.Class = "log-page"
			return &other
		}
		return ev
	}}
}

// entries changes each entry of each list.
func entries(change func(*decide.Endpoint)) filter {
	return filter{event: func(ev decide.Event) decide.Event {
		l, ok := ev.(*decide.EndpointList)
		if !ok {
			return ev
		}
		other := &decide.EndpointList{Kind: l.Kind, Endpoints: slices.Clone(l.Endpoints)}
		for i := range other.Endpoints {
			change(&other.Endpoints[i])
		}
		return other
	}}
}

// extra knows which attempts the module has not asked for: their outcomes are kept from it, and the others get the
// numbers that it knows.
type extra struct {
	sent map[int64][]int // for each attempt of a request its number with the module, below 0 for an extra one
	own  map[int64]int   // attempts that the module has asked for
}

func newExtra() *extra { return &extra{map[int64][]int{}, map[int64]int{}} }

func (x *extra) sentOwn(id int64) {
	x.sent[id] = append(x.sent[id], x.own[id])
	x.own[id]++
}

func (x *extra) sentMore(id int64) { x.sent[id] = append(x.sent[id], -1) }

// number is an attempt's number with the module.
func (x *extra) number(id int64, attempt int) int {
	if all := x.sent[id]; attempt < len(all) {
		return all[attempt]
	}
	return attempt
}

// outside is the number on the sockets of an attempt that the module knows by another.
func (x *extra) outside(id int64, number int) int { return max(slices.Index(x.sent[id], number), 0) }

// translate gives a filter the right numbers.
func (x *extra) translate(f filter) filter {
	return filter{
		event: func(ev decide.Event) decide.Event {
			switch e := ev.(type) {
			case *decide.AttemptResult:
				other := *e
				if other.Attempt = x.number(e.ID, e.Attempt); other.Attempt < 0 {
					return nil
				}
				ev = &other
			case *decide.ResponseStarted:
				other := *e
				if other.Attempt = x.number(e.ID, e.Attempt); other.Attempt < 0 {
					return nil
				}
				ev = &other
			}
			return ev
		},
		action: func(a decide.Action) []decide.Action {
			if c, ok := a.(decide.Cancel); ok {
				c.Attempt = x.outside(c.ID, c.Attempt)
				return []decide.Action{c}
			}
			return f.action(a)
		},
		handle: f.handle,
	}
}

// secondCopies sends each first attempt twice.
func secondCopies() filter {
	x := newExtra()
	return x.translate(filter{action: func(a decide.Action) []decide.Action {
		s, ok := a.(decide.Send)
		if !ok {
			return []decide.Action{a}
		}
		x.sentOwn(s.ID)
		if x.own[s.ID] > 1 {
			return []decide.Action{s}
		}
		x.sentMore(s.ID)
		return []decide.Action{s, s}
	}})
}

// mostPersistent is how often a persistent router sends a request to one cache.
const mostPersistent = 6

// persistent sends what was turned away to the same cache again.
func persistent() filter {
	type sending struct {
		decide.Send
		times int
	}
	last := map[int64]*sending{}
	offset := map[int64]int{} // attempts that the module does not know
	return filter{handle: func(m guard.Module, now decide.Time, ev decide.Event) []decide.Action {
		if o, ok := ev.(*decide.AttemptResult); ok {
			s := last[o.ID]
			if s != nil && o.Result == decide.Rejected && !o.Final && s.times < mostPersistent {
				s.times++
				offset[o.ID]++
				return []decide.Action{s.Send}
			}
			other := *o
			other.Attempt = max(0, o.Attempt-offset[o.ID])
			ev = &other
		}
		actions := m.Handle(now, ev)
		for _, a := range actions {
			if s, ok := a.(decide.Send); ok {
				last[s.ID] = &sending{Send: s}
			}
		}
		return actions
	}}
}

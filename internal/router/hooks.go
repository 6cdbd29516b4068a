package router

import (
	"fmt"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/worker"
)

// What hooks take of the router's limits. Each worker holds two descriptors, and a set that loads stands beside the
// old one.
const (
	hookDescriptors = 4
	hookMemory      = 2 // times what a hook and its worker may use
	leastMemoryMB   = 16
)

// hooksMB is the memory that hooks may take, in MiB.
func hooksMB(c hooks.Config) int64 {
	bytes := int64(0)
	for _, h := range c.Hooks {
		bytes += h.Budget.Memory + worker.Own
	}
	return (bytes*hookMemory + 1<<20 - 1) >> 20
}

// Without is the limits without what hooks may use. The error says that too little is left for the router.
func (l Limits) Without(c hooks.Config) (Limits, error) {
	if len(c.Hooks) == 0 {
		return l, nil
	}
	needed := hooksMB(c)
	if l.MemoryMB -= needed; l.MemoryMB < leastMemoryMB {
		return l, fmt.Errorf("hooks: they may take %d MB while a set loads, which leaves %d MB of memory_mb (wanted at least %d)",
			needed, l.MemoryMB, leastMemoryMB)
	}
	if l.Sockets -= hookDescriptors * len(c.Hooks); l.Sockets < leastSockets {
		return l, fmt.Errorf("hooks: their workers leave %d descriptors of sockets (wanted at least %d)", l.Sockets, leastSockets)
	}
	return l, nil
}

// reloadHooks has a new set of hooks take over, where there is room for it.
func (r *Router) reloadHooks(c hooks.Config) {
	if len(c.Hooks) == 0 && r.hooks.Idle() {
		return
	}
	if had, needed := hooksMB(r.cfg.Hooks), hooksMB(c); needed > had {
		r.Log(fmt.Sprintf("SIGHUP: the old hooks stay: the new ones may take %d MB instead of %d, which needs a restart", needed, had))
		return
	}
	if err := r.hooks.Reload(c); err != nil {
		r.Log("SIGHUP: the old hooks stay: " + err.Error())
	}
}

// Hooks tells of each hook, in the order in which they are asked.
func (r *Router) Hooks() []policy.Row { return r.hooks.Status() }

// judge has the hooks look at a request before the module does. It reports whether the request waits for them.
func (r *Router) judge(q *request) bool {
	if r.hooks.Idle() {
		return false
	}
	q.judged = r.hooks.Ask(hooks.Request{ID: q.id, Verb: q.cmd.Verb(), Class: q.cmd.Class, Tenant: q.cmd.Tenant, Key: q.cmd.Key(),
		TimeLeft: q.deadline - r.m.Now(), Size: len(q.cmd.Value()), Value: q.cmd.Value}, func(v hooks.Verdict) {
		r.verdict(q, v)
		r.ProcessEvents()
	})
	return q.judged
}

// verdict takes what the hooks say of a request. What they do not pass never reaches the module: it was never sent.
func (r *Router) verdict(q *request, v hooks.Verdict) {
	if q.judged = false; q.over {
		return
	}
	switch v.Say {
	case plugin.Refuse:
		r.finish(q, frontend.AppendBusy(nil, v.Wait), plugin.WasRefused)
	case plugin.Fail:
		r.finish(q, frontend.AppendFailed(nil, v.Text), plugin.WasFailed)
	default:
		if v.Tenant != "" {
			q.cmd.Tenant = v.Tenant
		}
		r.submit(q)
	}
}

// submit puts a request before the module.
func (r *Router) submit(q *request) {
	c := q.cmd
	q.event = decide.Request{ID: q.id, Class: c.Class, Tenant: c.Tenant, Key: c.KeyHash, HasKey: true,
		Deadline: q.deadline, FirstRequestedAt: q.told.FirstRequestedAt, Cost: c.Cost, Write: c.Write, IdempotencyKeyMissing: c.IdempotencyKeyMissing}
	r.backlog = append(r.backlog, &q.event)
}

// answered has the hooks see a final answer.
func (r *Router) answered(q *request, o plugin.Outcome) {
	if r.hooks.Idle() {
		return
	}
	r.hooks.Answered(hooks.Answer{Verb: q.cmd.Verb(), Class: q.cmd.Class, Tenant: q.cmd.Tenant, Key: q.cmd.Key(),
		Size: len(q.cmd.Value()), Outcome: o, Took: r.m.Now() - q.read})
}

// showList has the hooks see how many caches there are.
func (r *Router) showList() {
	if r.hooks == nil || r.hooks.Idle() {
		return
	}
	up := 0
	for _, h := range r.caches { // any order: they are only counted
		if h.entry.Status == decide.Serving {
			up++
		}
	}
	r.hooks.ListChanged(len(r.caches), up)
}

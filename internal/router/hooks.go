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

// What hooks take of the machine's limits. Each worker has two descriptors, and while a set of hooks is loaded, it stands
// beside the one before.
const (
	descriptorsPerHook = 4
	hookSetsInMemory   = 2
	minMemoryMB        = 16 // that hooks leave to the router
)

const bytesPerMB = 1 << 20

// hooksMB returns the memory that hooks may take, in MiB, rounded up.
func hooksMB(c hooks.Config) int64 {
	bytes := int64(0)
	for _, h := range c.Hooks {
		bytes += h.Budget.Memory + worker.MemoryOverhead
	}
	return (bytes*hookSetsInMemory + bytesPerMB - 1) / bytesPerMB
}

// Without returns the limits less what the hooks may use. The error says that too little is left for the router.
func (l Limits) Without(c hooks.Config) (Limits, error) {
	if len(c.Hooks) == 0 {
		return l, nil
	}
	needed := hooksMB(c)
	l.MemoryMB -= needed
	if l.MemoryMB < minMemoryMB {
		return l, fmt.Errorf("hooks: they may take %d MB while a set loads, which leaves %d MB of memory_mb (wanted at least %d)",
			needed, l.MemoryMB, minMemoryMB)
	}
	l.Sockets -= descriptorsPerHook * len(c.Hooks)
	if l.Sockets < minSockets {
		return l, fmt.Errorf("hooks: their workers leave %d descriptors of sockets (wanted at least %d)", l.Sockets, minSockets)
	}
	return l, nil
}

// limitsBeforeHooks returns the limits of the machine, before Without has taken off what the hooks may use. Another set of hooks
// leaves them as they are.
func (c *Config) limitsBeforeHooks() Limits {
	l := c.Limits
	l.MemoryMB += hooksMB(c.Hooks)
	l.Sockets += descriptorsPerHook * len(c.Hooks.Hooks)
	return l
}

// reloadHooks loads a new set of hooks. The one before stays where the new one needs more memory than the limits were
// reduced by at the start, or is not valid.
func (r *Router) reloadHooks(c hooks.Config) {
	if len(c.Hooks) == 0 && r.hooks.Idle() {
		return
	}
	reserved, needed := hooksMB(r.cfg.Hooks), hooksMB(c)
	if needed > reserved {
		r.logger.Warn("hooks not reloaded: restart needed", "needed_mb", needed, "reserved_mb", reserved)
		return
	}
	if err := r.hooks.Reload(c); err != nil {
		r.logger.Error("hooks not reloaded", "cause", err)
	}
}

// Hooks returns the status of each hook, in the order in which they are consulted.
func (r *Router) Hooks() []policy.HookStatus { return r.hooks.Status() }

// consultHooks has the hooks look at a request before the module gets it. It reports whether the request waits for them:
// applyVerdict goes on with it then.
func (r *Router) consultHooks(q *request) bool {
	if r.hooks.Idle() {
		return false
	}
	hookRequest := hooks.Request{
		ID:       q.id,
		Verb:     q.command.Verb(),
		Class:    q.command.Class,
		Tenant:   q.command.Tenant,
		Key:      q.command.Key(),
		TimeLeft: q.deadline - r.m.Now(),
		Size:     len(q.command.Value()),
		Value:    q.command.Value,
	}
	q.awaitingHooks = r.hooks.Evaluate(hookRequest, func(v hooks.Verdict) {
		r.applyVerdict(q, v)
		r.ProcessEvents()
	})
	return q.awaitingHooks
}

// applyVerdict goes on with a request as the hooks say. One that they end never reaches the module, and was never sent.
func (r *Router) applyVerdict(q *request, v hooks.Verdict) {
	q.awaitingHooks = false
	if q.finished {
		return
	}
	switch v.Decision {
	case plugin.Reject:
		r.finishRequest(q, completion{reply: frontend.AppendBusy(nil, v.RetryAfter), outcome: plugin.OutcomeRejected}.logged(reasonHook))
	case plugin.Fail:
		r.finishRequest(q, completion{reply: frontend.AppendFailed(nil, v.Text), outcome: plugin.OutcomeFailed}.logged(reasonHook))
	default:
		if v.Tenant != "" {
			q.command.Tenant = v.Tenant
		}
		r.submit(q)
	}
}

// notifyHooksOfAnswer shows the hooks a final answer.
func (r *Router) notifyHooksOfAnswer(q *request, outcome plugin.Outcome) {
	if r.hooks.Idle() {
		return
	}
	r.hooks.Answered(hooks.Answer{
		Verb:    q.command.Verb(),
		Class:   q.command.Class,
		Tenant:  q.command.Tenant,
		Key:     q.command.Key(),
		Size:    len(q.command.Value()),
		Outcome: outcome,
		Took:    r.m.Now() - q.readAt,
	})
}

// notifyHooksOfList shows the hooks how many caches there are, and how many of them take requests.
func (r *Router) notifyHooksOfList() {
	if r.hooks == nil || r.hooks.Idle() {
		return
	}
	serving := 0
	for _, e := range r.endpoints { // any order: they are only counted
		if e.entry.Status == decide.Serving {
			serving++
		}
	}
	r.hooks.ListChanged(len(r.endpoints), serving)
}

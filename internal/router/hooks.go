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

// Resources of the machine that hooks use. Each worker has two descriptors, and while a new set of hooks loads, the workers of
// the previous set still run.
const (
	descriptorsPerHook = 4
	hookSetsInMemory   = 2
	minMemoryMB        = 16 // that must remain for the router
)

const bytesPerMB = 1 << 20

// hooksMB returns the memory that hooks may use, in MiB, rounded up.
func hooksMB(c hooks.Config) int64 {
	bytes := int64(0)
	for _, h := range c.Hooks {
		bytes += h.Budget.Memory + worker.MemoryOverhead
	}
	return (bytes*hookSetsInMemory + bytesPerMB - 1) / bytesPerMB
}

// Without returns the limits minus the resources that the hooks may use. It returns an error if too little remains for the
// router.
func (l Limits) Without(c hooks.Config) (Limits, error) {
	if len(c.Hooks) == 0 {
		return l, nil
	}
	needed := hooksMB(c)
	l.MemoryMB -= needed
	if l.MemoryMB < minMemoryMB {
		return l, fmt.Errorf("hooks: up to %d MB used while a set loads, which leaves %d MB of memory_mb (wanted at least %d)",
			needed, l.MemoryMB, minMemoryMB)
	}
	l.Sockets -= descriptorsPerHook * len(c.Hooks)
	if l.Sockets < minSockets {
		return l, fmt.Errorf("hooks: workers leave %d descriptors of sockets (wanted at least %d)", l.Sockets, minSockets)
	}
	return l, nil
}

// limitsBeforeHooks returns the limits of the machine before Without subtracted the resources of the hooks. The result does not
// depend on the set of hooks.
func (c *Config) limitsBeforeHooks() Limits {
	l := c.Limits
	l.MemoryMB += hooksMB(c.Hooks)
	l.Sockets += descriptorsPerHook * len(c.Hooks.Hooks)
	return l
}

// reloadHooks loads a new set of hooks. The previous set remains active if the new set is invalid or needs more memory than was
// reserved for hooks at the start.
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

// Hooks returns the status of each hook, in the order in which the hooks are called.
func (r *Router) Hooks() []policy.HookStatus { return r.hooks.Status() }

// consultHooks passes a request to the hooks before the module receives it. It reports whether the request waits for a verdict;
// if so, applyVerdict continues with the request.
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

// applyVerdict continues with a request according to the verdict of the hooks. A request that the hooks reject or fail never
// reaches the module, and is never sent to a cache.
func (r *Router) applyVerdict(q *request, v hooks.Verdict) {
	q.awaitingHooks = false
	if q.finished {
		return
	}
	switch v.Decision {
	case plugin.Reject:
		r.finishRequest(q, completion{reply: frontend.AppendBusy(nil, v.RetryAfter), outcome: plugin.OutcomeRejected}.withReason(reasonHook))
	case plugin.Fail:
		r.finishRequest(q, completion{reply: frontend.AppendFailed(nil, v.Text), outcome: plugin.OutcomeFailed}.withReason(reasonHook))
	default:
		if v.Tenant != "" {
			q.command.Tenant = v.Tenant
		}
		r.submit(q)
	}
}

// notifyHooksOfAnswer notifies the hooks of a request's final answer.
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

// notifyHooksOfList notifies the hooks of the number of listed caches and of serving caches.
func (r *Router) notifyHooksOfList() {
	if r.hooks == nil || r.hooks.Idle() {
		return
	}
	serving := 0
	for _, e := range r.endpoints { // in any order, since the entries are only counted
		if e.entry.Status == decide.Serving {
			serving++
		}
	}
	r.hooks.ListChanged(len(r.endpoints), serving)
}

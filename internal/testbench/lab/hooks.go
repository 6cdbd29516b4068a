package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"starlingwinch/internal/hooks"
	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/hooks/policy"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

// Settings of the routers' hooks that no script changes.
const (
	hookMaxWaitFraction = 0.1               // maximum wait of a request for hooks, as a fraction of the latency objective
	hookMaxWait         = 50 * millisecond  // maximum wait of a request for hooks
	hookLoadTime        = 100 * millisecond // time limit for loading a hook
	hookMemory          = 1 << 20           // bytes; scripted hooks use none, but the routers' limits include it
)

// hookCalls is implemented by a Node that reports the number of queued and running calls of each hook.
type hookCalls interface{ HookCalls() map[string]int }

// hookScripts runs the scripted hooks, which are the same for all routers.
type hookScripts struct {
	world          *world
	hooks          []script.Hook
	rand           *rand.Rand // decides whether a hook acts on a call
	queueExceeded  map[string]bool
	blockedClasses map[string]bool // classes whose requests a hook never passes; "" for all classes
}

func newHookScripts(w *world) *hookScripts {
	k := &hookScripts{world: w, rand: w.sim.Rand("hooks"), queueExceeded: map[string]bool{}, blockedClasses: map[string]bool{}}
	for _, h := range w.script.Hooks {
		k.hooks = append(k.hooks, h.Usual())
		if h.NeverPasses() {
			k.blockedClasses[h.Class] = true
		}
	}
	return k
}

// name returns the name of a hook, which consists of its number and its kind.
func (k *hookScripts) name(i int) string { return fmt.Sprintf("%d-%s", i+1, k.hooks[i].Kind) }

// config returns the hook configuration of a router.
func (k *hookScripts) config() hooks.Config {
	c := hooks.Config{MaxWaitFraction: hookMaxWaitFraction, MaxWait: hookMaxWait}
	for i, h := range k.hooks {
		p := policy.Hook{Name: k.name(i), RetryAfter: 100 * millisecond, Time: microseconds(h.Time), LoadTime: hookLoadTime,
			Queue: h.Queue, CPUFraction: h.Share}
		if h.Class != "" {
			p.Classes = []string{h.Class}
		}
		if h.OnFailure == script.OnFailureRefuse {
			p.OnFailure = policy.RejectOnFailure
		}
		b := plugin.DefaultBudget
		b.Time, b.LoadTime, b.Memory = p.Time, p.LoadTime, hookMemory
		c.Hooks = append(c.Hooks, hooks.Hook{Hook: p, Engine: "script", Budget: b})
	}
	return c
}

// install creates the hook workers of a router's process that is about to start.
func (k *hookScripts) install(r *router) {
	if len(k.hooks) == 0 {
		return
	}
	r.workers = &hookstest.Script{Load: k.load, Call: func(name string, c *plugin.Call) hookstest.Act {
		k.checkQueues(r)
		return k.act(k.hookNamed(name), c)
	}}
	r.host.Worker = r.workers.Worker(r.host.Machine)
}

// hookNamed finds a hook by its name.
func (k *hookScripts) hookNamed(name string) script.Hook {
	for i := range k.hooks {
		if k.name(i) == name {
			return k.hooks[i]
		}
	}
	return script.Hook{Kind: script.HookPass}
}

func (k *hookScripts) triggers(h script.Hook) bool { return h.OneIn <= 1 || k.rand.IntN(h.OneIn) == 0 }

func (k *hookScripts) load(name string) (points plugin.Points, act hookstest.Act) {
	h := k.hookNamed(name)
	for point, p := range map[string]plugin.Point{script.AtRequest: plugin.OnRequest, script.AtAnswered: plugin.Answered,
		script.AtList: plugin.ListChanged, script.AtUnload: plugin.Unload} { // any order
		if h.At(point) {
			points = points.With(p)
		}
	}
	if !strings.HasPrefix(h.Kind, "load-") || !k.triggers(h) {
		return points, act
	}
	switch h.Kind {
	case script.HookLoadCrash:
		act.Fail = &plugin.Failure{Kind: plugin.NotLoadable, Text: "as its script says"}
	case script.HookLoadHang:
		act.Hang = true
	case script.HookLoadDie:
		act.Exit = true
	}
	return points, act
}

// act returns the action of a hook on a call.
func (k *hookScripts) act(h script.Hook, c *plugin.Call) (a hookstest.Act) {
	a.After = 1 + k.rand.Int64N(50)
	if !k.triggers(h) {
		return a
	}
	judges := c.Point == plugin.OnRequest
	switch h.Kind {
	case script.HookTag:
		a.Verdict.Log = []string{"seen"}
		if judges {
			a.Verdict.Tenant, a.Verdict.Tags = "guest", []string{"tagged"}
		}
	case script.HookRefuse:
		if judges {
			a.Verdict.Decision, a.Verdict.RetryAfter = plugin.Reject, 100*millisecond
		}
	case script.HookFail:
		if judges {
			a.Verdict.Decision, a.Verdict.Text = plugin.Fail, "not like this"
		}
	case script.HookCrash:
		a.Fail = &plugin.Failure{Kind: plugin.Crashed, Text: "as its script says"}
	case script.HookOverrun:
		a.After, a.Fail = microseconds(h.Time), &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "as its script says"}
	case script.HookHang:
		a.Hang = true
	case script.HookSlow:
		a.After = microseconds(h.Delay)
	case script.HookDie:
		a.Exit = true
	case script.HookTwice:
		a.DuplicateReply = true
	case script.HookNonsense:
		a.RawBytes = []byte("\xff\xff\xff\xff no verdict")
	}
	return a
}

// checkQueues reports a hook of a router that has more calls than its queue limit plus one, which allows for the unload call.
// The traffic on the sockets does not show a queue that grows without bound while its hook hangs.
func (k *hookScripts) checkQueues(r *router) {
	node, ok := r.node.(hookCalls)
	if !ok {
		return
	}
	calls := node.HookCalls()
	for i, h := range k.hooks {
		name := k.name(i)
		full := calls[name] > h.Queue+1
		if full && !k.queueExceeded[r.name+name] {
			k.world.reportBroken(Broken{Rule: LongQueue, At: k.world.now(), Router: r.name,
				Text: fmt.Sprintf("hook %s has %d calls, %d allowed", name, calls[name], h.Queue)})
		}
		k.queueExceeded[r.name+name] = full
	}
}

// checkAttempt reports a command that a cache received although a hook rejects or fails each request of the command's class.
func (k *hookScripts) checkAttempt(a rules.Attempt) {
	if k.blockedClasses[""] || k.blockedClasses[a.Class] {
		k.world.reportBroken(Broken{Rule: PastHook, At: k.world.now(), Request: a.ID, Router: a.Router, Cache: a.Cache,
			Text: "no request of class " + a.Class + " is passed by hooks"})
	}
}

// checkWorkers reports a hook with more than two workers: its current one, and one of a hook set that is replacing the
// current set.
func (k *hookScripts) checkWorkers(r *router) {
	if r.workers == nil {
		return
	}
	up := r.workers.RunningWorkers()
	for _, name := range slices.Sorted(maps.Keys(up)) {
		if n := up[name] - 2; n > 0 {
			k.world.watcher.Leftover(k.world.sim.Now(), r.name, "workers of hook "+name, n)
		}
	}
}

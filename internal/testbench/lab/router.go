package lab

import (
	"fmt"
	"strings"

	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/testbench/sim"
)

// router is one router through its lives.
type router struct {
	w    *world
	name string
	zone string
	addr string
	list string // address of discovery
	host *sim.Host
	node Node // nil while none runs

	ending    bool              // after SIGTERM
	life      int               // number of its processes so far
	startedAt Time              // of the process that runs
	workers   *hookstest.Script // of its process; nil where it has no hooks
	stalled   []span
	abroad    bool // has served clients of another zone
}

// resumes is when its machine runs again.
func (r *router) resumes() (at Time) {
	for _, s := range r.stalled {
		at = max(at, s.to)
	}
	return at
}

// span is a stretch of time.
type span struct{ from, to Time }

func newRouter(w *world, i int, zone string) *router {
	r := &router{w: w, name: fmt.Sprintf("r-%d", i+1), zone: zone}
	ip := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
	r.addr = ip + ":7000"
	r.host = w.sim.Host(r.name, ip, sim.HostOptions{Zone: zone, Descriptors: w.s.Fleet.Sockets})
	if o := w.o.State; o.Folder != "" {
		r.host.MakeFolder(o.Folder)
	}
	r.host.Logged = func(line string) {
		w.eyes.say(r.name + ": " + line)
		if strings.Contains(line, stormLine) {
			w.storms = append(w.storms, StormChange{w.now(), r.name, line})
		}
	}
	return r
}

// start starts a process of it.
func (r *router) start() {
	m := r.host.Machine()
	if r.life > 0 {
		m = r.host.Restart()
	}
	r.life++
	r.startedAt = r.w.sim.Now()
	if r.list == "" {
		r.list = r.w.fleet.Lists[r.name]
	}
	r.ending = false
	r.w.hooked.play(r)
	r.w.eyes.RouterUp(r.w.sim.Now(), r.name)
	r.w.fleet.Discovery.Forget(r.name)
	node, err := r.w.o.Node(m, r.config())
	if err != nil {
		r.w.err = fmt.Errorf("router %s does not start: %w", r.name, err)
		return
	}
	r.node = node
	r.w.front.started(r)
}

func (r *router) config() NodeConfig {
	return NodeConfig{JSON: r.w.routerSettings(r).JSON(), Wrap: r.w.o.Wrap, Unguarded: r.w.o.Unguarded, Hooks: r.w.hooked.config(), Operator: r.w.registry.files(r.addr),
		State: r.w.o.State, Storm: r.w.o.Storm}
}

// end ends the process. A clean end is one after a SIGTERM, whether it came by itself or not.
func (r *router) end(clean bool) {
	if r.node == nil {
		return
	}
	r.node = nil
	r.host.Kill()
	r.w.eyes.RouterDown(r.w.sim.Now(), r.name, clean)
	r.w.front.ended(r)
}

// Figures of a planned restart, as the protocol gives them.
const (
	frontKeepsDealing = 300 * millisecond // new connections go on coming for so long after SIGTERM
	killedAfter       = 3900 * millisecond
	restartedAfter    = 100 * millisecond
)

// terminate has it end as after SIGTERM, kills it where it takes too long, and starts a new one.
func (r *router) terminate() {
	if r.node == nil || r.ending {
		return
	}
	r.ending = true
	w, life := r.w, r.life
	w.eyes.say(r.name + " gets SIGTERM")
	w.sim.At(w.sim.Now()+frontKeepsDealing, func() {
		if r.life == life {
			w.front.drop(r)
		}
	})
	over := func() {
		if r.life == life && r.node != nil {
			r.end(true)
			r.back(restartedAfter)
		}
	}
	kill := w.sim.At(w.sim.Now()+killedAfter, func() {
		if r.life == life && r.node != nil {
			w.eyes.say(r.name + " has not ended in time")
		}
		over()
	})
	r.node.Drain(func() {
		// Its own callback goes on after this call: the process ends in a turn of the script.
		w.sim.At(w.sim.Now(), func() {
			kill.Stop()
			over()
		})
	})
}

// kill ends it without a word.
func (r *router) kill() { r.end(false) }

// back starts it again after a while.
func (r *router) back(after Time) {
	life := r.life
	r.w.sim.At(r.w.sim.Now()+after, func() {
		if r.life == life && r.node == nil {
			r.start()
		}
	})
}

// reload has it read its configuration again.
func (r *router) reload() {
	if r.node == nil {
		return
	}
	if err := r.node.Reload(r.config().JSON); err != nil && r.w.err == nil {
		r.w.err = fmt.Errorf("router %s does not take its configuration: %w", r.name, err)
	}
}

// stall keeps it from running.
func (r *router) stall(d Time) {
	if r.node == nil {
		return
	}
	now := r.w.sim.Now()
	r.stalled = append(r.stalled, span{now, now + d})
	r.host.Stall(d)
}

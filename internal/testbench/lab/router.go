package lab

import (
	"fmt"
	"strings"

	"starlingwinch/internal/hooks/hookstest"
	"starlingwinch/internal/testbench/sim"
)

// router is one router across all its successive processes.
type router struct {
	world         *world
	name          string
	zone          string
	addr          string
	discoveryAddr string // address of discovery
	host          *sim.Host
	node          Node // nil while none runs

	terminating      bool              // after SIGTERM
	generation       int               // number of processes started so far
	startedAt        Time              // start of the current process
	workers          *hookstest.Script // hook workers of the current process; nil if there are no hooks
	stalls           []span
	servedOtherZones bool // whether the router has served clients of another zone
}

// resumesAt returns the time at which the router's machine runs again after its last stall, or 0 if it never stalled.
func (r *router) resumesAt() (at Time) {
	for _, s := range r.stalls {
		at = max(at, s.to)
	}
	return at
}

// span is an interval of time.
type span struct{ from, to Time }

func newRouter(w *world, i int, zone string) *router {
	r := &router{world: w, name: fmt.Sprintf("r-%d", i+1), zone: zone}
	ip := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
	r.addr = ip + ":7000"
	r.host = w.sim.Host(r.name, ip, sim.HostOptions{Zone: zone, Descriptors: w.script.Fleet.Sockets})
	if o := w.options.State; o.Folder != "" {
		r.host.MakeFolder(o.Folder)
	}
	r.host.Logged = func(line string) {
		w.observer.logTimeline(r.name + ": " + line)
		if strings.Contains(line, stormLine) {
			w.stormChanges = append(w.stormChanges, StormChange{w.now(), r.name, line})
		}
	}
	return r
}

// start starts a process of the router.
func (r *router) start() {
	m := r.host.Machine()
	if r.generation > 0 {
		m = r.host.Restart()
	}
	r.generation++
	r.startedAt = r.world.sim.Now()
	if r.discoveryAddr == "" {
		r.discoveryAddr = r.world.fleet.Lists[r.name]
	}
	r.terminating = false
	r.world.hooks.install(r)
	r.world.observer.RouterUp(r.world.sim.Now(), r.name)
	r.world.fleet.Discovery.Forget(r.name)
	node, err := r.world.options.Node(m, r.config())
	if err != nil {
		r.world.err = fmt.Errorf("router %s does not start: %w", r.name, err)
		return
	}
	r.node = node
	r.world.front.addWhenServing(r)
}

func (r *router) config() NodeConfig {
	o := r.world.options
	return NodeConfig{
		JSON:      r.world.routerSettings(r).JSON(),
		Wrap:      o.Wrap,
		Unguarded: o.Unguarded,
		Hooks:     r.world.hooks.config(),
		Operator:  r.world.registry.files(r.addr),
		State:     o.State,
		Storm:     o.Storm,
	}
}

// end ends the process. An end after SIGTERM is clean, whether the process exited by itself or was killed.
func (r *router) end(clean bool) {
	if r.node == nil {
		return
	}
	r.node = nil
	r.host.Kill()
	r.world.observer.RouterDown(r.world.sim.Now(), r.name, clean)
	r.world.front.removeLater(r)
}

// Times of a planned restart, as the shutdown protocol defines them.
const (
	frontDrainDelay = 300 * millisecond // time after SIGTERM during which new connections still arrive
	shutdownTimeout = 3900 * millisecond
	restartDelay    = 100 * millisecond
)

// terminate drains the router as after SIGTERM, kills it at shutdownTimeout, and starts a new process.
func (r *router) terminate() {
	if r.node == nil || r.terminating {
		return
	}
	r.terminating = true
	w, generation := r.world, r.generation
	w.observer.logTimeline(r.name + " gets SIGTERM")
	w.sim.At(w.sim.Now()+frontDrainDelay, func() {
		if r.generation == generation {
			w.front.remove(r)
		}
	})
	over := func() {
		if r.generation == generation && r.node != nil {
			r.end(true)
			r.restartAfter(restartDelay)
		}
	}
	kill := w.sim.At(w.sim.Now()+shutdownTimeout, func() {
		if r.generation == generation && r.node != nil {
			w.observer.logTimeline(r.name + " has not ended in time")
		}
		over()
	})
	r.node.Drain(func() {
		// The router's callback is still running after this call, so that the process ends in a separate turn.
		w.sim.At(w.sim.Now(), func() {
			kill.Stop()
			over()
		})
	})
}

// kill ends the process at once.
func (r *router) kill() { r.end(false) }

// restartAfter starts a new process after a delay, unless another one has started before.
func (r *router) restartAfter(after Time) {
	generation := r.generation
	r.world.sim.At(r.world.sim.Now()+after, func() {
		if r.generation == generation && r.node == nil {
			r.start()
		}
	})
}

// reload reloads the router's configuration, as SIGHUP does.
func (r *router) reload() {
	if r.node == nil {
		return
	}
	if err := r.node.Reload(r.config().JSON); err != nil && r.world.err == nil {
		r.world.err = fmt.Errorf("router %s does not take its configuration: %w", r.name, err)
	}
}

// stall stops the router's machine for the duration d.
func (r *router) stall(d Time) {
	if r.node == nil {
		return
	}
	now := r.world.sim.Now()
	r.stalls = append(r.stalls, span{now, now + d})
	r.host.Stall(d)
}

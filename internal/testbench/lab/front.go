package lab

import (
	"slices"
	"strings"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
	"starlingwinch/internal/testbench/standin"
)

// front distributes clients to the routers of their zone, or to all routers if the zone has none. The front adds a router
// once the router has answered PING, and removes a router whose process was killed only after some seconds.
type front struct {
	world   *world
	host    *sim.Host
	serving []*router // in the order of their names
	byZone  map[string][]standin.Target
}

func newFront(w *world) *front {
	return &front{world: w, host: w.host("front", centre()), byZone: map[string][]standin.Target{}}
}

// routers returns the routers that clients of a zone connect to now.
func (f *front) routers(zone string) []standin.Target {
	if targets, ok := f.byZone[zone]; ok {
		return targets
	}
	var near, all []standin.Target
	for _, r := range f.serving {
		t := standin.Target{Name: r.name, Addr: r.addr}
		for range f.weight(r) {
			all = append(all, t)
			if r.zone == zone {
				near = append(near, t)
			}
		}
	}
	if len(near) == 0 {
		near = all
		for _, r := range f.serving {
			r.servedOtherZones = true
		}
	}
	f.byZone[zone] = near
	return near
}

// weight returns the router's share of connections relative to a router of weight 1.
func (f *front) weight(r *router) int {
	if f.world.options.Weight == nil {
		return 1
	}
	return f.world.options.Weight(slices.Index(f.world.routers, r))
}

// addWhenServing sends PING to a router until the router answers, and then adds the router.
func (f *front) addWhenServing(r *router) {
	generation := r.generation
	again := func() {
		f.world.sim.At(f.world.sim.Now()+pingInterval, func() {
			if r.generation == generation && r.node != nil {
				f.addWhenServing(r)
			}
		})
	}
	f.host.Machine().Dial(r.addr, second, func(c machine.Conn, err error) machine.Handler {
		if err != nil {
			again()
			return nil
		}
		p := &ping{conn: c, answered: func(ok bool) {
			switch {
			case r.generation != generation || r.node == nil || r.terminating:
			case ok:
				f.add(r)
			default:
				again()
			}
		}}
		c.Write([]byte("*1\r\n$4\r\nPING\r\n"))
		return p
	})
}

// pingInterval is the wait between two PINGs to a router that does not serve yet.
const pingInterval = 50 * millisecond

func (f *front) add(r *router) {
	if slices.Contains(f.serving, r) {
		return
	}
	f.serving = append(f.serving, r)
	slices.SortFunc(f.serving, func(a, b *router) int { return strings.Compare(a.name, b.name) })
	clear(f.byZone)
}

func (f *front) remove(r *router) {
	f.serving = slices.DeleteFunc(f.serving, func(x *router) bool { return x == r })
	clear(f.byZone)
}

// removeLater removes a router whose process has ended, after the delay that the script sets for the front.
func (f *front) removeLater(r *router) {
	generation := r.generation
	f.world.sim.At(f.world.sim.Now()+microseconds(f.world.script.Clients.Front), func() {
		if r.generation == generation {
			f.remove(r)
		}
	})
}

// ping waits for the answer to a PING.
type ping struct {
	conn     machine.Conn
	got      []byte
	answered func(ok bool)
}

// Writable implements machine.Handler.
func (p *ping) Writable() {}

// Readable implements machine.Handler.
func (p *ping) Readable() {
	var buf [64]byte
	for {
		n, err := p.conn.Read(buf[:])
		p.got = append(p.got, buf[:n]...)
		whole := len(p.got) > 0 && p.got[len(p.got)-1] == '\n'
		if err == machine.ErrWait && !whole {
			return
		}
		if err != nil || whole {
			p.conn.Close()
			p.answered(string(p.got) == "+PONG\r\n")
			return
		}
	}
}

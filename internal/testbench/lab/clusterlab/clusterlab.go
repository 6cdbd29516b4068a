// Package clusterlab plays the views that many routers keep of one another (package fleet) on the virtual network, with
// faults between them, and checks every view against the truth, which it alone knows.
package clusterlab

import (
	"fmt"
	"time"

	"starlingwinch/internal/gossip"
	"starlingwinch/internal/gossip/transport"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

// Time is an instant or a span in microseconds.
type Time = sim.Time

const (
	millisecond = Time(time.Millisecond / time.Microsecond)
	second      = 1000 * millisecond

	port = 7946
	// look is how often views are compared with the truth.
	look = 50 * millisecond
	// hearsay is for how long two routers that reach one another may both hold their views for settled though they
	// differ: the news has reached one of them and is on its way to the other.
	hearsay = 1500 * millisecond
	// pardon is for how long a router may be held faulty that runs and can be reached: until its refutation is heard.
	pardon = 3 * second
	// notice is for how long a router that is down may be held to be here, also by one that is cut off itself.
	notice = 5 * second
)

// Options are what a world is made of.
type Options struct {
	Routers int
	Seeds   int  // so many routers alone are named to the others; 0 for all
	Plain   bool // SWIM without what was added to it
	Defect  gossip.Defect
	// Bend changes a router's configuration; for nothing where it is nil.
	Bend func(i int, c *gossip.Config)
}

// World is a fleet of views.
type World struct {
	Sim   *sim.World
	Nodes []*Node
	o     Options
	bad   map[[2]int]Time // pairs that differ though both are settled, or of which one accuses the other wrongly; since when
	least int             // by which routers divide at least; 0 where they do not divide
	moved Time            // when the truth changed last
	// Broken says what was seen that must not be.
	Broken []string
}

// Node is a router, as far as its view goes.
type Node struct {
	Host    *sim.Host
	Name    string
	Addr    string
	Link    *transport.Transport
	Log     []string
	w       *World
	i       int
	stall   Time // until then it stands still
	peers   []string
	bytes   int // sent by lives that have ended
	divisor *gossip.Divisor
}

// New makes a world of routers that have not started.
func New(seed uint64, o Options) *World {
	w := &World{Sim: sim.New(seed), o: o, bad: map[[2]int]Time{}}
	w.Sim.Far = sim.Link{Latency: 500, Jitter: 500}
	for i := range o.Routers {
		ip := fmt.Sprintf("10.0.%d.%d", i/200, 1+i%200)
		n := &Node{Name: fmt.Sprintf("n%d", i), Addr: fmt.Sprintf("%s:%d", ip, port), w: w, i: i}
		n.Host = w.Sim.Host(n.Name, ip, sim.HostOptions{Zone: n.Name})
		n.Host.Logged = func(line string) {
			if len(n.Log) < 2000 {
				n.Log = append(n.Log, line)
			}
		}
		w.Nodes = append(w.Nodes, n)
	}
	return w
}

// Start starts a router's view on the machine that it has.
func (w *World) Start(i int) {
	n := w.Nodes[i]
	cfg := gossip.DefaultConfig()
	cfg.Name, cfg.PlainSWIM, cfg.Defect = n.Name, w.o.Plain, w.o.Defect
	cfg.Info = gossip.Info{List: 1, Config: 7, Build: 9}
	for j, other := range w.Nodes {
		switch {
		case j == i:
		case w.o.Seeds == 0:
			cfg.Peers = append(cfg.Peers, other.Addr)
		case j < w.o.Seeds:
			cfg.Seeds = append(cfg.Seeds, other.Addr)
		}
	}
	if w.o.Seeds > 0 {
		cfg.Addr = n.Addr
		if len(cfg.Seeds) == 0 { // the only seed has nobody to ask, and takes in who comes
			cfg.Seeds = []string{n.Addr}
		}
	}
	if w.o.Bend != nil {
		w.o.Bend(i, &cfg)
	}
	w.life(n.Host.Machine(), n, cfg)
	w.truth()
}

func (w *World) life(m machine.Machine, n *Node, cfg gossip.Config) {
	l, err := transport.Start(m, n.Addr, cfg, nil)
	if err != nil {
		panic(err) // the world's own mistake
	}
	n.Link, n.peers = l, cfg.Peers
}

// StartAll starts all routers within a span.
func (w *World) StartAll(within Time) {
	for i := range w.Nodes {
		w.Sim.At(w.Sim.Now()+within*Time(i)/Time(len(w.Nodes)), func() { w.Start(i) })
	}
	w.Run(within + millisecond)
}

// Kill ends a router's process at once.
func (w *World) Kill(i int) {
	n := w.Nodes[i]
	if n.Link != nil {
		n.bytes += n.Link.View().Counts().SentBytes
	}
	n.Host.Kill()
	n.Link = nil
	w.truth()
}

// Restart starts a router that was killed, with a clock that is off by so much more.
func (w *World) Restart(i int, clock Time) {
	n := w.Nodes[i]
	if clock != 0 {
		n.Host.StepClock(clock)
	}
	n.Host.Restart()
	w.Start(i)
}

// Leave has a router say that it drains, and end after a while.
func (w *World) Leave(i int, after Time) {
	n := w.Nodes[i]
	n.Link.Leave()
	l := n.Link
	w.Sim.At(w.Sim.Now()+after, func() {
		if n.Link == l {
			l.Close()
			w.Kill(i)
		}
	})
}

// Stall has a router's process stand still.
func (w *World) Stall(i int, d Time) {
	n := w.Nodes[i]
	n.Host.Stall(d)
	n.stall = max(n.stall, w.Sim.Now()+d)
	w.truth()
}

// Cut breaks the way between two routers, in both directions or one.
func (w *World) Cut(i, j int, both bool) {
	w.Sim.Cut(w.Nodes[i].Name, w.Nodes[j].Name)
	if both {
		w.Sim.Cut(w.Nodes[j].Name, w.Nodes[i].Name)
	}
	w.truth()
}

// Partition cuts the fleet into parts: routers with different numbers do not reach one another.
func (w *World) Partition(part func(i int) int) {
	for i := range w.Nodes {
		for j := range w.Nodes {
			if i != j && part(i) != part(j) {
				w.Sim.Cut(w.Nodes[i].Name, w.Nodes[j].Name)
			}
		}
	}
	w.truth()
}

// Heal mends all ways.
func (w *World) Heal() {
	for i := range w.Nodes {
		for j := range w.Nodes {
			if i != j {
				w.Sim.Heal(w.Nodes[i].Name, w.Nodes[j].Name)
			}
		}
	}
	w.truth()
}

// Lossy has datagrams lost, doubled and delayed by chance, everywhere.
func (w *World) Lossy(loss, twice, late float64) {
	for i := range w.Nodes {
		for j := range w.Nodes {
			if i != j {
				l := w.Sim.Link(w.Nodes[i].Name, w.Nodes[j].Name)
				l.Loss, l.Twice, l.Late, l.LateBy = loss, twice, late, 100*millisecond
			}
		}
	}
}

func (w *World) truth() { w.moved = w.Sim.Now() }

// Up reports whether a router runs.
func (n *Node) Up() bool { return n.Link != nil }

// awake reports whether it runs and does not stand still, nor did a moment ago.
func (n *Node) awake() bool { return n.Up() && n.w.Sim.Now() > n.stall+2*second }

// groups are the routers that reach one another both ways, directly or by way of others. Each view should show those
// of its own group, and no others.
func (w *World) groups() (of []int) {
	of = make([]int, len(w.Nodes))
	for i := range of {
		of[i] = -1
	}
	next := 0
	for i := range w.Nodes {
		if of[i] >= 0 || !w.Nodes[i].Up() {
			continue
		}
		of[i] = next
		for queue := []int{i}; len(queue) > 0; queue = queue[1:] {
			for j := range w.Nodes {
				if of[j] < 0 && w.Nodes[j].Up() && w.reach(queue[0], j) && w.reach(j, queue[0]) {
					of[j] = next
					queue = append(queue, j)
				}
			}
		}
		next++
	}
	return of
}

func (w *World) reach(i, j int) bool { return !w.Sim.IsCut(w.Nodes[i].Name, w.Nodes[j].Name) }

// Run plays on, comparing views with the truth now and then.
func (w *World) Run(d Time) {
	every := look * Time(1+len(w.Nodes)/60)
	for end := w.Sim.Now() + d; w.Sim.Now() < end; {
		w.Sim.Run(min(end, w.Sim.Now()+every))
		w.check()
		w.checkShares()
	}
}

// Settle plays on until all views are right and settled, for so long at most, and tells how long it took.
func (w *World) Settle(most Time) (took Time, ok bool) {
	begin := w.Sim.Now()
	for w.Sim.Now() < begin+most {
		if w.Right() == "" {
			return w.Sim.Now() - begin, true
		}
		w.Run(look)
	}
	return most, w.Right() == ""
}

// Right says what keeps the views from being right and settled: nothing, or the first that is wrong.
func (w *World) Right() string {
	of := w.groups()
	digests := map[int]uint64{}
	for i, n := range w.Nodes {
		if !n.Up() {
			continue
		}
		v := n.Link.View()
		here := map[string]bool{}
		for _, m := range v.Members() {
			if m.State.IsAlive() {
				here[m.Name] = true
			}
		}
		for j, other := range w.Nodes {
			if want := of[j] >= 0 && of[j] == of[i]; want != here[other.Name] {
				return fmt.Sprintf("%s holds %s to be here: %v, which is wrong", n.Name, other.Name, here[other.Name])
			}
		}
		settled, _, digest := v.Settled()
		if !settled {
			return n.Name + " is not settled"
		}
		if d, seen := digests[of[i]]; seen && d != digest {
			return fmt.Sprintf("%s holds digest %016x, others %016x", n.Name, digest, d)
		}
		digests[of[i]] = digest
	}
	return ""
}

// check notes what must not be: views that are settled and differ, and routers held faulty that run and are reached.
func (w *World) check() {
	now := w.Sim.Now()
	of := w.groups()
	byName := map[string]int{}
	for i, n := range w.Nodes {
		byName[n.Name] = i
	}
	wrong := func(key [2]int, most Time, is bool, format string, args ...any) {
		since, was := w.bad[key]
		switch {
		case !is:
			delete(w.bad, key)
		case !was:
			w.bad[key] = now
		case now-since > most && (now-w.moved > most || most == notice):
			w.bad[key] = now
			if len(w.Broken) < 20 {
				w.Broken = append(w.Broken, fmt.Sprintf("%.2f s: ", float64(now-sim.Start)/1e6)+fmt.Sprintf(format, args...))
			}
		}
	}
	first := map[int]int{} // a settled router of each group
	for i, n := range w.Nodes {
		if !n.Up() {
			continue
		}
		v := n.Link.View()
		settled, _, digest := v.Settled()
		if settled && n.awake() {
			if k, seen := first[of[i]]; seen {
				_, _, other := w.Nodes[k].Link.View().Settled()
				wrong([2]int{i, -1}, hearsay, digest != other, "%s and %s are settled on views that differ", n.Name, w.Nodes[k].Name)
			} else {
				first[of[i]] = i
			}
		} else {
			delete(w.bad, [2]int{i, -1})
		}
		for _, m := range v.Members() {
			if j, known := byName[m.Name]; known {
				is := m.State == gossip.Faulty && w.Nodes[j].awake() && n.awake() && of[i] == of[j] && w.reach(i, j) && w.reach(j, i)
				wrong([2]int{i, j}, pardon, is, "%s holds %s faulty, which runs and is reached", n.Name, m.Name)
				is = m.State.IsAlive() && !w.Nodes[j].Up() && n.awake()
				wrong([2]int{i, -2 - j}, notice, is, "%s holds %s to be here, which is down", n.Name, m.Name)
			}
		}
	}
}

// Bytes is what a router has sent since it was made.
func (n *Node) Bytes() int {
	if n.Link == nil {
		return n.bytes
	}
	return n.bytes + n.Link.View().Counts().SentBytes
}

// Accusations counts how often a router was taken for faulty, over all views that there are now.
func (w *World) Accusations() (count int) {
	for _, n := range w.Nodes {
		if n.Up() {
			count += n.Link.View().Counts().DeclaredFaulty
		}
	}
	return count
}

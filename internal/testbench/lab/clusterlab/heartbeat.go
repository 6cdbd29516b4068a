package clusterlab

import (
	"fmt"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/sim"
)

// Heartbeats is the plainest way to keep a view, to compare with: each router sends each other one a datagram at a fixed
// pace, and holds those faulty that it has not heard for some of them.
type Heartbeats struct {
	every   Time
	missed  int
	routers []*beater
	w       *sim.World
}

type beater struct {
	h     *Heartbeats
	m     machine.Machine
	conn  machine.PacketConn
	addrs []string
	heard map[string]Time
	sent  int
	timer machine.Timer
}

// beatSize is what a heartbeat holds: a name, an incarnation and a number, as the view's datagrams have them.
const beatSize = 40

// newHeartbeats starts routers on the hosts.
func newHeartbeats(w *sim.World, hosts []*sim.Host, addrs []string, every Time, missed int) (*Heartbeats, error) {
	h := &Heartbeats{every: every, missed: missed, w: w}
	for i, host := range hosts {
		b := &beater{h: h, m: host.Machine(), heard: map[string]Time{}}
		for j, a := range addrs {
			if j != i {
				b.addrs = append(b.addrs, a)
				b.heard[a] = w.Now()
			}
		}
		var err error
		if b.conn, err = b.m.ListenPacket(addrs[i], func(from string, _ []byte) { b.heard[from] = b.m.Now() }); err != nil {
			return nil, fmt.Errorf("heartbeats: %w", err)
		}
		b.timer = b.m.At(b.m.Now()+every*Time(i)/Time(len(hosts)), b.beat)
		h.routers = append(h.routers, b)
	}
	return h, nil
}

func (b *beater) beat() {
	var d [beatSize]byte
	for _, a := range b.addrs {
		if b.conn.Send(a, d[:]) == nil {
			b.sent += len(d)
		}
	}
	b.timer = b.m.At(b.m.Now()+b.h.every, b.beat)
}

// faulty reports whether a router holds another one faulty.
func (b *beater) faulty(addr string) bool {
	return b.m.Now()-b.heard[addr] > b.h.every*Time(b.h.missed)
}

// Compared is what a way to keep a view showed.
type Compared struct {
	Way      string
	Routers  int
	Detected Time    // until all others held a router faulty that was killed
	Accused  int     // routers that run and were held faulty by another one, over half a minute with 20 % of datagrams lost
	Bytes    float64 // a second that each sent, without faults
}

// Compare plays the same for three ways: heartbeats of all to all, SWIM without what was added to it, and the view.
func Compare(seed uint64, routers int) (all []Compared, err error) {
	for _, plain := range []bool{true, false} {
		w := New(seed, Options{Routers: routers, Plain: plain})
		c := Compared{Way: map[bool]string{true: "SWIM", false: "this view"}[plain], Routers: routers}
		w.StartAll(second)
		w.Settle(30 * second)
		w.Run(15 * second)
		c.Bytes = -float64(w.sent())
		w.Run(10 * second)
		c.Bytes = (c.Bytes + float64(w.sent())) / 10 / float64(routers)
		w.Kill(1)
		begin := w.Sim.Now()
		for w.holding("n1") > 0 && w.Sim.Now() < begin+30*second {
			w.Sim.Run(w.Sim.Now() + look)
		}
		c.Detected = w.Sim.Now() - begin
		w.Restart(1, 0)
		w.Settle(20 * second)
		before := w.Accusations()
		w.Lossy(.2, 0, 0)
		w.Sim.Run(w.Sim.Now() + 30*second)
		c.Accused = w.Accusations() - before
		all = append(all, c)
	}
	c, err := compareHeartbeats(seed, routers)
	return append([]Compared{c}, all...), err
}

// holding counts the routers that hold another one to be here.
func (w *World) holding(name string) (n int) {
	for _, x := range w.Nodes {
		if x.Up() {
			for _, m := range x.Link.View().Members() {
				if m.Name == name && m.State.IsAlive() {
					n++
				}
			}
		}
	}
	return n
}

func (w *World) sent() (n int) {
	for _, x := range w.Nodes {
		n += x.Bytes()
	}
	return n
}

// compareHeartbeats gives heartbeats the pace and patience at which they notice a crash about as soon as the view does.
func compareHeartbeats(seed uint64, routers int) (c Compared, err error) {
	const every, missed = 500 * millisecond, 4
	w := New(seed, Options{Routers: routers})
	var hosts []*sim.Host
	var addrs []string
	for _, n := range w.Nodes {
		hosts, addrs = append(hosts, n.Host), append(addrs, n.Addr)
	}
	h, err := newHeartbeats(w.Sim, hosts, addrs, every, missed)
	if err != nil {
		return c, err
	}
	c = Compared{Way: "heartbeats", Routers: routers}
	sum := func(f func(i int, b *beater) int) (n int) {
		for i, b := range h.routers {
			n += f(i, b)
		}
		return n
	}
	sent := func(_ int, b *beater) int { return b.sent }
	w.Sim.Run(w.Sim.Now() + 5*second)
	before := sum(sent)
	w.Sim.Run(w.Sim.Now() + 10*second)
	c.Bytes = float64(sum(sent)-before) / 10 / float64(routers)
	hosts[1].Kill()
	begin := w.Sim.Now()
	for w.Sim.Now() < begin+30*second && sum(func(i int, b *beater) int { return b2i(i != 1 && !b.faulty(addrs[1])) }) > 0 {
		w.Sim.Run(w.Sim.Now() + look)
	}
	c.Detected = w.Sim.Now() - begin
	w.Lossy(.2, 0, 0)
	was := map[[2]int]bool{}
	for end := w.Sim.Now() + 30*second; w.Sim.Now() < end; {
		w.Sim.Run(w.Sim.Now() + look)
		for i, b := range h.routers {
			for j := range addrs {
				if i == j || i == 1 || j == 1 {
					continue
				}
				is := b.faulty(addrs[j])
				c.Accused += b2i(is && !was[[2]int{i, j}])
				was[[2]int{i, j}] = is
			}
		}
	}
	return c, nil
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

package loopback

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"

	"starlingwinch/internal/machine"
)

// Fleet has the routers keep a view of one another, over a relay of the lab's own between each two of them.
type Fleet struct {
	Off   bool // the same faults, and no view: to compare with
	Begin func(*Mesh)
}

// DatagramFaults are what a way does to datagrams, each by chance.
type DatagramFaults struct {
	Lost, Twice, Cut float64
	Late             float64 // by up to LateBy: out of order, too
	LateBy           Time
}

// Mesh is the ways between routers, and what befalls their processes. All calls are made in the run's loop.
type Mesh struct {
	r       *run
	rand    *rand.Rand
	peers   []string               // where each router listens
	faces   [][]machine.PacketConn // faces[i][j]: the address under which i knows j
	links   [][]link               // from i to j
	bytes   []int                  // that each router has sent
	long    int                    // the longest datagram of all
	views   []*viewReader
	closely bool
	// Stopped holds the routers that stand still.
	Stopped map[int]bool
}

type link struct {
	DatagramFaults
	broken bool
}

// newMesh opens the addresses of all pairs.
func newMesh(r *run, routers int) (*Mesh, error) {
	m := &Mesh{r: r, rand: part(r.o.Script.Seed, 9), faces: make([][]machine.PacketConn, routers), links: make([][]link, routers),
		bytes: make([]int, routers), Stopped: map[int]bool{}}
	// A port that was found free for a router stays bound until all relays have theirs, or one of them could get it.
	var held []machine.PacketConn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range routers {
		c, err := r.m.ListenPacket("127.0.0.1:0", func(string, []byte) {})
		if err != nil {
			return nil, err
		}
		held = append(held, c)
		m.peers = append(m.peers, c.Addr())
	}
	for i := range routers {
		m.faces[i], m.links[i] = make([]machine.PacketConn, routers), make([]link, routers)
		for j := range routers {
			if i == j {
				continue
			}
			var err error
			if m.faces[i][j], err = r.m.ListenPacket("127.0.0.1:0", func(_ string, b []byte) { m.relay(i, j, b) }); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// addresses are those of all routers as one of them is told.
func (m *Mesh) addresses(i int) (listen string, peers []string) {
	for j := range m.peers {
		if i == j {
			peers = append(peers, m.peers[i])
		} else {
			peers = append(peers, m.faces[i][j].Addr())
		}
	}
	return m.peers[i], peers
}

// relay carries a datagram from i to j, as their way is.
func (m *Mesh) relay(i, j int, b []byte) {
	m.bytes[i] += len(b)
	m.long = max(m.long, len(b))
	w := &m.links[i][j]
	if w.broken || m.rand.Float64() < w.Lost {
		return
	}
	if m.rand.Float64() < w.Cut && len(b) > 1 {
		b = b[:1+m.rand.IntN(len(b)-1)]
	}
	copies := 1
	if m.rand.Float64() < w.Twice {
		copies = 2
	}
	for range copies {
		if w.LateBy > 0 && m.rand.Float64() < w.Late {
			later := append([]byte(nil), b...)
			m.r.m.At(m.r.m.Now()+1+m.rand.Int64N(w.LateBy), func() { m.deliver(i, j, later) })
			continue
		}
		m.deliver(i, j, b)
	}
}

// deliver hands a datagram to j, from the address under which it knows i. One that is not taken is lost.
func (m *Mesh) deliver(i, j int, b []byte) { _ = m.faces[j][i].Send(m.peers[j], b) }

// Cut breaks the ways between routers of different parts; nil heals all.
func (m *Mesh) Cut(part func(i int) int) {
	for i := range m.links {
		for j := range m.links[i] {
			m.links[i][j].broken = part != nil && part(i) != part(j)
		}
	}
}

// CutOneWay breaks the way from one router to another.
func (m *Mesh) CutOneWay(i, j int) { m.links[i][j].broken = true }

// SetDatagramFaults changes what all ways do to datagrams.
func (m *Mesh) SetDatagramFaults(l DatagramFaults) {
	for i := range m.links {
		for j := range m.links[i] {
			m.links[i][j].DatagramFaults = l
		}
	}
}

// Kill ends a router's process at once; it is started again by Restart.
func (m *Mesh) Kill(i int) { m.r.routers[i].kill(false) }

// Restart starts a router that was killed.
func (m *Mesh) Restart(i int) { m.r.routers[i].start() }

// Drain has a router drain and end. Restart starts it again once Ended reports true.
func (m *Mesh) Drain(i int) { m.r.routers[i].term(false) }

// Ended reports whether a router has no process.
func (m *Mesh) Ended(i int) bool { return m.r.routers[i].state == down }

// Up reports whether a router serves.
func (m *Mesh) Up(i int) bool { return m.r.routers[i].state == serving }

// Stop has a router's process stand still until Continue.
func (m *Mesh) Stop(i int) {
	m.Stopped[i] = true
	m.r.routers[i].signal(syscall.SIGSTOP)
}

// Continue ends a Stop.
func (m *Mesh) Continue(i int) {
	delete(m.Stopped, i)
	m.r.routers[i].signal(syscall.SIGCONT)
}

// At has f called so long from now, unless the run is over by then.
func (m *Mesh) At(after Time, f func()) {
	m.r.m.At(m.r.m.Now()+after, func() {
		if m.r.phase == serviceRunning {
			f()
		}
	})
}

// Now is the time.
func (m *Mesh) Now() Time { return m.r.m.Now() }

// Bytes is what a router has sent to others so far, and the longest datagram of any.
func (m *Mesh) Bytes(i int) (sent, longest int) { return m.bytes[i], m.long }

// Fail ends the run: what was measured is worth nothing.
func (m *Mesh) Fail(format string, args ...any) { m.r.fail(format, args...) }

// begin starts what the run wants of the mesh.
func (m *Mesh) begin() {
	if !m.r.o.Fleet.Off {
		m.watch()
	}
	m.r.o.Fleet.Begin(m)
}

// configureFleet writes a router's file of the kind fleet, and tells it of the others.
func (rt *router) configureFleet(m *Mesh, i int) error {
	rt.set.PeerListen, rt.set.Peers = m.addresses(i)
	if rt.r.o.Fleet.Off {
		return nil
	}
	path := filepath.Join(rt.r.dir, rt.name+"-fleet.toml")
	if err := os.WriteFile(path, []byte("kind = \"fleet\"\nenabled = true\n"), 0o600); err != nil {
		return fmt.Errorf("%s: %w", rt.name, err)
	}
	if len(rt.args) == 0 {
		rt.args = []string{"run"}
	}
	rt.args = append(rt.args, "--operator", path)
	return nil
}

// Processor is the processor time that a router's process has used so far.
func (m *Mesh) Processor(i int) Time {
	if p := m.r.routers[i].proc; p != nil {
		return ticks(p.pid()) * 10 * millisecond
	}
	return 0
}

// Garbage has so many datagrams a second that mean nothing sent to a router, from an address that is nobody's, until
// stop is called, which tells how many were sent.
func (m *Mesh) Garbage(i, rate int) (stop func() int) {
	conn, err := m.r.m.ListenPacket("127.0.0.1:0", func(string, []byte) {})
	if err != nil {
		m.Fail("an address for garbage: %v", err)
		return func() int { return 0 }
	}
	const step = 5 * millisecond
	sent, over, begin := 0, false, m.Now()
	b := make([]byte, 200)
	var more func()
	more = func() {
		if over {
			return
		}
		for due := int(Time(rate) * (m.Now() - begin) / second); sent < due; sent++ {
			for k := range b {
				b[k] = byte(m.rand.Uint32())
			}
			if sent%2 == 0 {
				b[0], b[1] = 1, 1 // which looks like a datagram at first
			}
			_ = conn.Send(m.peers[i], b)
		}
		m.At(step, more)
	}
	more()
	return func() int {
		over = true
		conn.Close()
		return sent
	}
}

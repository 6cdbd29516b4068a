package loopback

import (
	"starlingwinch/internal/gossip"
	"starlingwinch/internal/machine"
)

// The routers' views are read from outside, as any observer reads them: by questions to each router.

const (
	viewInterval        = 100 * millisecond // between two readings of one router's view, where they are looked at closely
	relaxedViewInterval = second            // otherwise, as each reading is work for all
	viewTimeout         = 150 * millisecond
)

// viewReader is what is known of one router's view.
type viewReader struct {
	m           *Mesh
	i           int
	conn        machine.PacketConn
	nonce       uint32
	reading     []gossip.Member
	firstDigest uint64 // the digest at the beginning of the reading
	// View is the last one that was read whole, and At when.
	View    map[string]gossip.Member
	Settled bool
	Digest  uint64
	At      Time
	timer   machine.Timer
}

// watch begins to read all views.
func (m *Mesh) watch() {
	for i := range m.peers {
		w := &viewReader{m: m, i: i}
		conn, err := m.r.m.ListenPacket("127.0.0.1:0", w.receive)
		if err != nil {
			m.r.fail("an address for the observer of %s: %v", m.r.routers[i].name, err)
			return
		}
		w.conn = conn
		m.views = append(m.views, w)
		w.query()
	}
}

// View is the view of a router as it was read last, the observer's time of that, and whether there is one. A view that
// was read while the router ran, before it was killed, stands until it is read again.
func (m *Mesh) View(i int) (view map[string]gossip.Member, settled bool, digest uint64, at Time) {
	w := m.views[i]
	return w.View, w.Settled, w.Digest, w.At
}

// Name is a router's.
func (m *Mesh) Name(i int) string { return m.r.routers[i].name }

// Len is how many routers there are.
func (m *Mesh) Len() int { return len(m.peers) }

func (w *viewReader) query() {
	w.nonce++
	_ = w.conn.Send(w.m.peers[w.i], gossip.EncodeQuery(len(w.reading), w.nonce))
	w.queryAfter(viewTimeout)
}

// queryAfter asks again after a while, from the beginning where no answer has come.
func (w *viewReader) queryAfter(d Time) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = w.m.r.m.At(w.m.r.m.Now()+d, func() {
		if w.m.r.phase != ending {
			w.reading = nil
			w.query()
		}
	})
}

func (w *viewReader) receive(_ string, b []byte) {
	p, err := gossip.DecodePage(b, w.nonce)
	if err != nil || p.First != len(w.reading) {
		return
	}
	if len(w.reading) > 0 && p.Digest != w.firstDigest || len(p.Members) == 0 {
		w.reading = nil
		w.query()
		return
	}
	w.firstDigest = p.Digest
	w.reading = append(w.reading, p.Members...)
	if len(w.reading) < p.Total {
		w.query()
		return
	}
	w.View = make(map[string]gossip.Member, len(w.reading))
	for _, m := range w.reading {
		w.View[m.Name] = m
	}
	w.Settled, w.Digest, w.At = p.Settled, p.Digest, w.m.r.m.Now()
	w.reading = nil
	w.queryAfter(w.m.viewsEvery())
}

// Closely says whether views are to be read often.
func (m *Mesh) Closely(on bool) {
	m.closely = on
	for _, w := range m.views {
		if on && w.reading == nil {
			w.queryAfter(viewInterval)
		}
	}
}

func (m *Mesh) viewsEvery() Time {
	if m.closely {
		return viewInterval
	}
	return relaxedViewInterval
}

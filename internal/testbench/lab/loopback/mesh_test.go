package loopback

import (
	"testing"
	"time"

	"starlingwinch/internal/gossip"
)

// wants waits, until it has failed, for what the views of all routers but some are to say of one.
type wants struct {
	t    *testing.T
	m    *Mesh
	plan []want
	done int
}

type want struct {
	what  string
	begin func(m *Mesh)
	until func(m *Mesh) bool
}

func (w *wants) next() {
	if w.done == len(w.plan) {
		w.m.r.settle()
		return
	}
	x := w.plan[w.done]
	x.begin(w.m)
	at := w.m.Now()
	var look func()
	look = func() {
		switch {
		case x.until(w.m):
			w.t.Logf("%s: after %.2f s", x.what, float64(w.m.Now()-at)/1e6)
			w.done++
			w.next()
		case w.m.Now() > at+20*second:
			w.m.Fail("%s: not within 20 s", x.what)
		default:
			w.m.At(20*millisecond, look)
		}
	}
	look()
}

// all reports whether the views of all routers but one, read since a time, show another one in a state, and are settled.
func all(m *Mesh, since Time, of int, states ...gossip.State) bool {
	for i := range m.Len() {
		if i == of || !m.Up(i) || m.Stopped[i] {
			continue
		}
		view, settled, _, at := m.View(i)
		x, known := view[m.Name(of)]
		is := false
		for _, s := range states {
			is = is || known && x.State == s
		}
		if !is || !settled || at <= since {
			return false
		}
	}
	return true
}

func TestRouterProcessesKeepAViewOfOneAnotherThroughFaults(t *testing.T) {
	s := calm(2 * time.Minute)
	s.Routers, s.Caches = 4, 4
	var since Time
	w := &wants{t: t}
	mark := func(f func(m *Mesh)) func(m *Mesh) {
		return func(m *Mesh) {
			since = m.Now()
			f(m)
		}
	}
	sees := func(of int, states ...gossip.State) func(m *Mesh) bool {
		return func(m *Mesh) bool { return all(m, since, of, states...) }
	}
	var lives []uint64
	w.plan = []want{
		{"all meet", mark(func(m *Mesh) { m.Closely(true) }), sees(2, gossip.Alive)},
		{"one is killed", mark(func(m *Mesh) {
			view, _, _, _ := m.View(0)
			lives = append(lives, view[m.Name(2)].Incarnation)
			m.Kill(2)
		}), sees(2, gossip.Faulty)},
		{"it is back", mark(func(m *Mesh) { m.Restart(2) }), sees(2, gossip.Alive)},
		{"one is stopped", mark(func(m *Mesh) {
			view, _, _, _ := m.View(0)
			lives = append(lives, view[m.Name(2)].Incarnation)
			m.Stop(1)
		}), sees(1, gossip.Faulty)},
		{"it goes on", mark(func(m *Mesh) { m.Continue(1) }), sees(1, gossip.Alive)},
		{"halves are cut off", mark(func(m *Mesh) { m.Cut(func(i int) int { return i / 2 }) }), func(m *Mesh) bool {
			view, settled, _, at := m.View(0)
			return at > since && settled && view[m.Name(1)].State == gossip.Alive && view[m.Name(2)].State == gossip.Faulty
		}},
		{"they meet again", mark(func(m *Mesh) { m.Cut(nil) }), sees(3, gossip.Alive)},
		{"one does not hear another, and nobody is accused", mark(func(m *Mesh) { m.CutOneWay(0, 1) }), func(m *Mesh) bool {
			for i := range m.Len() {
				view, _, _, _ := m.View(i)
				for name, x := range view {
					if !x.State.IsAlive() {
						w.t.Errorf("%s holds %s %v", m.Name(i), name, x.State)
					}
				}
			}
			return m.Now() > since+4*second
		}},
		{"it hears again", mark(func(m *Mesh) { m.Cut(nil) }), sees(1, gossip.Alive)},
		// It starts again only after all have seen it leave: a drain may end before they are settled.
		{"one drains", mark(func(m *Mesh) { m.Drain(3) }), sees(3, gossip.Leaving, gossip.Left)},
		{"it has ended", mark(func(m *Mesh) {}), func(m *Mesh) bool { return m.Ended(3) }},
		{"datagrams are lost, cut and late", mark(func(m *Mesh) {
			m.Restart(3)
			m.SetDatagramFaults(DatagramFaults{Lost: .2, Twice: .2, Late: .2, LateBy: 50 * millisecond, Cut: .1})
		}), func(m *Mesh) bool { return m.Now() > since+3*second }},
		{"and no more", mark(func(m *Mesh) { m.SetDatagramFaults(DatagramFaults{}) }), sees(3, gossip.Alive)},
	}
	r, err := Run(Options{Script: s, Fleet: &Fleet{Begin: func(m *Mesh) { w.m = m; w.next() }}})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.ProcessFaults) > 0 || w.done != len(w.plan) {
		t.Errorf("%d of %d steps were seen, troubles %v", w.done, len(w.plan), r.ProcessFaults)
	}
	if len(lives) == 2 && lives[1] <= lives[0] {
		t.Errorf("incarnation %d after a restart, %d before", lives[1], lives[0])
	}
}

package snapshotstore

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/testbench/sim"
)

const (
	folder      = "/state"
	second Time = 1_000_000
	oldest      = 300 * second
	now0        = sim.Start
	router      = "r-1"
)

// harness is a simulated host with a folder and the store of the process that runs on it.
type harness struct {
	testing.TB
	w *sim.World
	h *sim.Host
	s *Store
}

func newHarness(t testing.TB) *harness {
	d := &harness{TB: t, w: sim.New(1)}
	d.h = d.w.Host("h", "10.0.0.1", sim.HostOptions{})
	d.h.MakeFolder(folder)
	d.s = New(folder, router)
	return d
}

// do runs f on the disk and waits for its end.
func (d *harness) do(f func(machine.Disk)) {
	d.Helper()
	done := false
	d.h.Machine().OnDisk(f, func() { done = true })
	if !d.w.RunUntil(d.w.Now()+100*second, func() bool { return done }) {
		d.Fatal("the work on the disk has no end")
	}
}

// restart starts another process, with a store of its own.
func (d *harness) restart() {
	d.h.Restart()
	d.s = New(folder, router)
}

// open opens the store at an instant.
func (d *harness) open(now Time) (state snapshot.Snapshot, ok bool, notes []string, err error) {
	d.Helper()
	d.do(func(disk machine.Disk) { state, ok, notes, err = d.s.Open(disk, now, oldest) })
	return
}

// mustOpen opens it where nothing may be wrong.
func (d *harness) mustOpen(now Time) (snapshot.Snapshot, bool) {
	d.Helper()
	state, ok, notes, err := d.open(now)
	if err != nil || len(notes) > 0 {
		d.Fatalf("open: %v, %q", err, notes)
	}
	return state, ok
}

func (d *harness) write(s snapshot.Snapshot, now Time) (err error) {
	d.Helper()
	d.do(func(disk machine.Disk) { err = d.s.Write(disk, s, now, oldest) })
	return
}

func (d *harness) mustWrite(s snapshot.Snapshot, now Time) {
	d.Helper()
	if err := d.write(s, now); err != nil {
		d.Fatal(err)
	}
}

// stateOf returns a small state whose figures hold its number.
func stateOf(n int) snapshot.Snapshot {
	at := now0 + Time(n)*second
	s := snapshot.Snapshot{At: at}
	s.Router = decide.Snapshot{OriginLimit: float64(n), OriginMissRatio: .5, RetryBudget: 3, ErrorRatio: .1, LostRatio: .2}
	s.Caches = []snapshot.Endpoint{{
		EndpointSnapshot: decide.EndpointSnapshot{
			ID: "c", StartedAt: 7, ConcurrencyLimit: float64(n), Healthy: true, CachedKeys: []uint64{uint64(n), uint64(n) + 1},
		},
		At: at, KeysAt: at,
	}}
	return s
}

// largeState returns a state of so many caches with so many keys each.
func largeState(caches, keys int) snapshot.Snapshot {
	s := snapshot.Snapshot{At: now0}
	for i := range caches {
		c := snapshot.Endpoint{At: now0, KeysAt: now0}
		c.ID, c.StartedAt, c.ConcurrencyLimit, c.Healthy = fmt.Sprintf("s-%08x", i), now0-Time(i)*second, 4.5, true
		for k := range keys {
			c.CachedKeys = append(c.CachedKeys, uint64(k+1)<<32+uint64(i))
		}
		s.Caches = append(s.Caches, c)
	}
	return s
}

// encoded returns the file of a state.
func encoded(t testing.TB, name string, s snapshot.Snapshot, written Time) []byte {
	t.Helper()
	b, err := Encode(File{Written: written, Router: name, Sections: snapshot.Encode(s)})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

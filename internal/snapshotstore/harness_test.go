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
	folder         = "/state"
	second    Time = 1_000_000
	maxAge         = 300 * second
	startTime      = sim.Start
	router         = "r-1"
)

// harness is a simulated host with a folder, and the store of the process on that host.
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

// do runs f on the disk and waits until f has returned.
func (d *harness) do(f func(machine.Disk)) {
	d.Helper()
	done := false
	d.h.Machine().OnDisk(f, func() { done = true })
	if !d.w.RunUntil(d.w.Now()+100*second, func() bool { return done }) {
		d.Fatal("the disk operation did not finish within 100 s")
	}
}

// restart starts another process with a new store.
func (d *harness) restart() {
	d.h.Restart()
	d.s = New(folder, router)
}

// open opens the store at an instant.
func (d *harness) open(now Time) (state snapshot.Snapshot, ok bool, notes []string, err error) {
	d.Helper()
	d.do(func(disk machine.Disk) { state, ok, notes, err = d.s.Open(disk, now, maxAge) })
	return
}

// mustOpen opens the store and fails the test on an error or a note.
func (d *harness) mustOpen(now Time) (snapshot.Snapshot, bool) {
	d.Helper()
	state, ok, notes, err := d.open(now)
	if err != nil || len(notes) > 0 {
		d.Fatalf("open: got error %v and notes %q, want none", err, notes)
	}
	return state, ok
}

func (d *harness) write(s snapshot.Snapshot, now Time) (err error) {
	d.Helper()
	d.do(func(disk machine.Disk) { err = d.s.Write(disk, s, now, maxAge) })
	return
}

func (d *harness) mustWrite(s snapshot.Snapshot, now Time) {
	d.Helper()
	if err := d.write(s, now); err != nil {
		d.Fatal(err)
	}
}

// stateOf returns a small state with figures and a time that depend on n.
func stateOf(n int) snapshot.Snapshot {
	at := startTime + Time(n)*second
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

// largeState returns a state with a number of caches and a number of keys for each cache.
func largeState(caches, keys int) snapshot.Snapshot {
	s := snapshot.Snapshot{At: startTime}
	for i := range caches {
		c := snapshot.Endpoint{At: startTime, KeysAt: startTime}
		c.ID, c.StartedAt, c.ConcurrencyLimit, c.Healthy = fmt.Sprintf("s-%08x", i), startTime-Time(i)*second, 4.5, true
		for k := range keys {
			c.CachedKeys = append(c.CachedKeys, uint64(k+1)<<32+uint64(i))
		}
		s.Caches = append(s.Caches, c)
	}
	return s
}

// encodeFile returns the encoded file of a state.
func encodeFile(t testing.TB, name string, s snapshot.Snapshot, written Time) []byte {
	t.Helper()
	b, err := Encode(File{Written: written, Router: name, Sections: snapshot.Encode(s)})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

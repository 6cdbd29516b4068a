package timerqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"starlingwinch/internal/testbench/sim"
)

// testOwner owns one entry, and calls a function when it expires.
type testOwner struct {
	entry     Entry
	name      int
	onExpired func(*testOwner)
}

func (o *testOwner) Expired() { o.onExpired(o) }

// testQueue is a queue on a virtual machine.
type testQueue struct {
	world *sim.World
	host  *sim.Host
	queue *Queue
	fired []int
}

func newTestQueue(seed uint64) *testQueue {
	w := sim.New(seed)
	h := w.Host("h", "10.0.0.1", sim.HostOptions{})
	return &testQueue{world: w, host: h, queue: New(h.Machine())}
}

// inLoop runs f in the machine's loop, now.
func (r *testQueue) inLoop(f func()) {
	r.host.Machine().Post(f)
	r.world.Run(r.world.Now())
}

// newOwner returns an owner that records when it expires.
func (r *testQueue) newOwner(name int) *testOwner {
	return &testOwner{name: name, onExpired: func(o *testOwner) { r.fired = append(r.fired, o.name) }}
}

func TestEntriesExpireInOrder(t *testing.T) {
	r := newTestQueue(1)
	r.inLoop(func() {
		for i, at := range []Time{300, 100, 300, 200, 100} {
			o := r.newOwner(i)
			r.queue.Add(&o.entry, r.world.Now()+at, o)
		}
	})
	r.world.Run(r.world.Now() + 10_000)
	if want := []int{1, 4, 3, 0, 2}; !slices.Equal(r.fired, want) {
		t.Errorf("expired %v, want %v", r.fired, want)
	}
}

// TestQueueMatchesMap compares the queue with a map over random additions and removals.
func TestQueueMatchesMap(t *testing.T) {
	for seed := range uint64(50) {
		r, draw := newTestQueue(seed), rand.New(rand.NewPCG(seed, 1))
		var all []*testOwner
		want := map[int]Time{}
		got := map[int]Time{}
		for step := range 400 {
			r.inLoop(func() {
				if o := r.newOwner(step); draw.IntN(3) > 0 || len(all) == 0 {
					o.onExpired = func(o *testOwner) { got[o.name] = r.world.Now() }
					at := r.world.Now() + draw.Int64N(5000)
					r.queue.Add(&o.entry, at, o)
					all, want[step] = append(all, o), at
				} else if o := all[draw.IntN(len(all))]; o.entry.IsSet() {
					r.queue.Remove(&o.entry)
					r.queue.Remove(&o.entry) // does nothing
					delete(want, o.name)
				}
			})
			r.world.Run(r.world.Now() + draw.Int64N(100))
		}
		r.world.Run(r.world.Now() + 10_000)
		for name, at := range want {
			if late := got[name] - at; got[name] == 0 || late < 0 || late > 1000 {
				t.Errorf("seed %d: entry %d, added for %d, expired at %d", seed, name, at, got[name])
			}
		}
		if len(got) != len(want) || r.queue.Len() != 0 {
			t.Errorf("seed %d: %d expired of %d, %d are left", seed, len(got), len(want), r.queue.Len())
		}
		for _, o := range all {
			if o.entry.IsSet() || o.entry.owner != nil {
				t.Fatalf("seed %d: an entry that is not set refers to its owner", seed)
			}
		}
		if n := r.host.Pending(); n != 0 {
			t.Errorf("seed %d: the machine has %d timers for no entry", seed, n)
		}
	}
}

// TestEntryAddedAgainWaitsForAnotherTurn checks that an entry that adds itself again for now lets the loop do other work in
// between.
func TestEntryAddedAgainWaitsForAnotherTurn(t *testing.T) {
	r := newTestQueue(1)
	r.inLoop(func() {
		again := r.newOwner(1)
		again.onExpired = func(o *testOwner) {
			if r.fired = append(r.fired, o.name); len(r.fired) < 6 {
				r.queue.Add(&o.entry, r.world.Now(), o)
				r.host.Machine().Post(func() { r.fired = append(r.fired, 0) })
			}
		}
		r.queue.Add(&again.entry, r.world.Now(), again)
		late := r.newOwner(2)
		r.queue.Add(&late.entry, r.world.Now(), late)
	})
	r.world.Run(r.world.Now() + 10_000)
	if len(r.fired) < 4 || r.fired[0] != 1 || r.fired[1] != 2 || !slices.Contains(r.fired[2:4], 0) {
		t.Errorf("expired %v: nothing else ran in between", r.fired)
	}
}

// TestManyEntriesOfOneTime checks entries that expire together, of which the first ones remove others.
func TestManyEntriesOfOneTime(t *testing.T) {
	r := newTestQueue(1)
	var all []*testOwner
	r.inLoop(func() {
		for i := range 10_000 {
			o := r.newOwner(i)
			o.onExpired = func(o *testOwner) {
				r.fired = append(r.fired, o.name)
				if next := o.name + 1; next < len(all) && next%2 == 1 {
					r.queue.Remove(&all[next].entry)
				}
			}
			all = append(all, o)
			r.queue.Add(&o.entry, r.world.Now()+500, o)
		}
	})
	r.world.Run(r.world.Now() + 10_000)
	if len(r.fired) != 5000 || !slices.IsSorted(r.fired) || r.queue.Len() != 0 {
		t.Errorf("%d expired, in order %v, %d left", len(r.fired), slices.IsSorted(r.fired), r.queue.Len())
	}
}

func TestClosedQueueExpiresNothing(t *testing.T) {
	r := newTestQueue(1)
	r.inLoop(func() {
		for i := range 5 {
			o := r.newOwner(i)
			r.queue.Add(&o.entry, r.world.Now()+Time(i)*100, o)
		}
		r.queue.Close()
	})
	if n := r.host.Pending(); n != 0 || r.queue.Len() != 0 {
		t.Errorf("%d timers and %d entries are left", n, r.queue.Len())
	}
	r.world.Run(r.world.Now() + 10_000)
	if len(r.fired) > 0 {
		t.Errorf("expired %v", r.fired)
	}
}

// BenchmarkRemoveAndAdd is the life of most entries, among others that are set.
func BenchmarkRemoveAndAdd(b *testing.B) {
	for _, others := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			r := newTestQueue(1)
			owners := make([]*testOwner, others)
			r.inLoop(func() {
				for i := range owners {
					owners[i] = r.newOwner(i)
					r.queue.Add(&owners[i].entry, r.world.Now()+1_000_000+Time(i), owners[i])
				}
			})
			b.ReportAllocs()
			r.inLoop(func() {
				for i := range b.N {
					o := owners[i%others]
					r.queue.Remove(&o.entry)
					r.queue.Add(&o.entry, r.world.Now()+1_100_000+Time(i), o)
				}
			})
		})
	}
}

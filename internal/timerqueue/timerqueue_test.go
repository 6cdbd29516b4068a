package timerqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"starlingwinch/internal/testbench/sim"
)

// testOwner owns one entry, and calls onExpired when the entry expires.
type testOwner struct {
	entry     Entry
	name      int
	onExpired func(*testOwner)
}

func (o *testOwner) Expired() { o.onExpired(o) }

// testQueue is a queue on a simulated machine.
type testQueue struct {
	world   *sim.World
	host    *sim.Host
	queue   *Queue
	expired []int // names of the owners whose entries have expired, in order
}

func newTestQueue(seed uint64) *testQueue {
	w := sim.New(seed)
	h := w.Host("h", "10.0.0.1", sim.HostOptions{})
	return &testQueue{world: w, host: h, queue: New(h.Machine())}
}

// inLoop runs f in the machine's event loop at the current time.
func (r *testQueue) inLoop(f func()) {
	r.host.Machine().Post(f)
	r.world.Run(r.world.Now())
}

// newOwner returns an owner that appends its name to expired when its entry expires.
func (r *testQueue) newOwner(name int) *testOwner {
	return &testOwner{name: name, onExpired: func(o *testOwner) { r.expired = append(r.expired, o.name) }}
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
	if want := []int{1, 4, 3, 0, 2}; !slices.Equal(r.expired, want) {
		t.Errorf("got %v, want %v", r.expired, want)
	}
}

// TestQueueMatchesMap compares the queue with a map as a reference over random additions and removals.
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
					r.queue.Remove(&o.entry) // a second Remove does nothing
					delete(want, o.name)
				}
			})
			r.world.Run(r.world.Now() + draw.Int64N(100))
		}
		r.world.Run(r.world.Now() + 10_000)
		for name, at := range want {
			if delay := got[name] - at; got[name] == 0 || delay < 0 || delay > 1000 {
				t.Errorf("seed %d: entry %d: got expiry at %d, want %d", seed, name, got[name], at)
			}
		}
		if len(got) != len(want) || r.queue.Len() != 0 {
			t.Errorf("seed %d: got %d expired entries, want %d; %d entries left, want 0", seed, len(got), len(want), r.queue.Len())
		}
		for _, o := range all {
			if o.entry.IsSet() || o.entry.owner != nil {
				t.Fatalf("seed %d: an entry is still set or refers to its owner", seed)
			}
		}
		if n := r.host.Pending(); n != 0 {
			t.Errorf("seed %d: got %d pending timers for an empty queue, want 0", seed, n)
		}
	}
}

// TestEntryAddedAgainExpiresInLaterTurn checks that an entry that is added again for the current time each time it expires does
// not keep the event loop from other work.
func TestEntryAddedAgainExpiresInLaterTurn(t *testing.T) {
	r := newTestQueue(1)
	r.inLoop(func() {
		readded := r.newOwner(1)
		readded.onExpired = func(o *testOwner) {
			if r.expired = append(r.expired, o.name); len(r.expired) < 6 {
				r.queue.Add(&o.entry, r.world.Now(), o)
				r.host.Machine().Post(func() { r.expired = append(r.expired, 0) })
			}
		}
		r.queue.Add(&readded.entry, r.world.Now(), readded)
		other := r.newOwner(2)
		r.queue.Add(&other.entry, r.world.Now(), other)
	})
	r.world.Run(r.world.Now() + 10_000)
	if len(r.expired) < 4 || r.expired[0] != 1 || r.expired[1] != 2 || !slices.Contains(r.expired[2:4], 0) {
		t.Errorf("got %v, want entries 1 and 2 first, then other work (0) before entry 1 expires twice more", r.expired)
	}
}

// TestExpiringEntriesRemoveOthers checks many entries with the same expiry time, some of which remove the next one when they
// expire.
func TestExpiringEntriesRemoveOthers(t *testing.T) {
	r := newTestQueue(1)
	var all []*testOwner
	r.inLoop(func() {
		for i := range 10_000 {
			o := r.newOwner(i)
			o.onExpired = func(o *testOwner) {
				r.expired = append(r.expired, o.name)
				if next := o.name + 1; next < len(all) && next%2 == 1 {
					r.queue.Remove(&all[next].entry)
				}
			}
			all = append(all, o)
			r.queue.Add(&o.entry, r.world.Now()+500, o)
		}
	})
	r.world.Run(r.world.Now() + 10_000)
	if len(r.expired) != 5000 || !slices.IsSorted(r.expired) || r.queue.Len() != 0 {
		t.Errorf("got %d expired entries, want 5000; sorted %v, want true; %d entries left, want 0", len(r.expired),
			slices.IsSorted(r.expired), r.queue.Len())
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
		t.Errorf("got %d timers and %d entries after Close, want 0 and 0", n, r.queue.Len())
	}
	r.world.Run(r.world.Now() + 10_000)
	if len(r.expired) > 0 {
		t.Errorf("got expired entries %v after Close, want none", r.expired)
	}
}

// BenchmarkRemoveAndAdd measures removing and adding an entry, the usual operations, in queues of several lengths.
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

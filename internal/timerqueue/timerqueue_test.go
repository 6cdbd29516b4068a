package timerqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"starlingwinch/internal/testbench/sim"
)

// owner notes when it is told that its time has come.
type owner struct {
	alarm Entry
	name  int
	due   func(*owner)
}

func (o *owner) Expired() { o.due(o) }

// rig is a clock on a virtual machine.
type rig struct {
	w     *sim.World
	h     *sim.Host
	c     *Queue
	fired []int
}

func newRig(seed uint64) *rig {
	w := sim.New(seed)
	h := w.Host("h", "10.0.0.1", sim.HostOptions{})
	return &rig{w: w, h: h, c: New(h.Machine())}
}

// in runs f in the machine's loop, now.
func (r *rig) in(f func()) {
	r.h.Machine().Post(f)
	r.w.Run(r.w.Now())
}

func (r *rig) owner(name int) *owner {
	return &owner{name: name, due: func(o *owner) { r.fired = append(r.fired, o.name) }}
}

func TestAlarmsFireInTheOrderOfTheirTimesAndThenOfTheirSetting(t *testing.T) {
	r := newRig(1)
	r.in(func() {
		for i, at := range []Time{300, 100, 300, 200, 100} {
			o := r.owner(i)
			r.c.Add(&o.alarm, r.w.Now()+at, o)
		}
	})
	r.w.Run(r.w.Now() + 10_000)
	if want := []int{1, 4, 3, 0, 2}; !slices.Equal(r.fired, want) {
		t.Errorf("fired %v, want %v", r.fired, want)
	}
}

// TestClockAgreesWithAPlainList over random settings and takings back.
func TestClockAgreesWithAPlainList(t *testing.T) {
	for seed := range uint64(50) {
		r, draw := newRig(seed), rand.New(rand.NewPCG(seed, 1))
		var all []*owner
		want := map[int]Time{}
		got := map[int]Time{}
		for step := range 400 {
			r.in(func() {
				if o := r.owner(step); draw.IntN(3) > 0 || len(all) == 0 {
					o.due = func(o *owner) { got[o.name] = r.w.Now() }
					at := r.w.Now() + draw.Int64N(5000)
					r.c.Add(&o.alarm, at, o)
					all, want[step] = append(all, o), at
				} else if o := all[draw.IntN(len(all))]; o.alarm.IsSet() {
					r.c.Remove(&o.alarm)
					r.c.Remove(&o.alarm) // does nothing
					delete(want, o.name)
				}
			})
			r.w.Run(r.w.Now() + draw.Int64N(100))
		}
		r.w.Run(r.w.Now() + 10_000)
		for name, at := range want {
			if late := got[name] - at; got[name] == 0 || late < 0 || late > 1000 {
				t.Errorf("seed %d: alarm %d, wanted at %d, fired at %d", seed, name, at, got[name])
			}
		}
		if len(got) != len(want) || r.c.Len() != 0 {
			t.Errorf("seed %d: %d fired of %d, %d are left", seed, len(got), len(want), r.c.Len())
		}
		for _, o := range all {
			if o.alarm.IsSet() || o.alarm.owner != nil {
				t.Fatalf("seed %d: an alarm that is out holds its owner", seed)
			}
		}
		if n := r.h.Pending(); n != 0 {
			t.Errorf("seed %d: the machine has %d timers for no alarm", seed, n)
		}
	}
}

// TestAlarmThatSetsItselfAnewDoesNotHoldUpTheLoop: others are told in between.
func TestAlarmThatSetsItselfAnewDoesNotHoldUpTheLoop(t *testing.T) {
	r := newRig(1)
	r.in(func() {
		again := r.owner(1)
		again.due = func(o *owner) {
			if r.fired = append(r.fired, o.name); len(r.fired) < 6 {
				r.c.Add(&o.alarm, r.w.Now(), o)
				r.h.Machine().Post(func() { r.fired = append(r.fired, 0) })
			}
		}
		r.c.Add(&again.alarm, r.w.Now(), again)
		late := r.owner(2)
		r.c.Add(&late.alarm, r.w.Now(), late)
	})
	r.w.Run(r.w.Now() + 10_000)
	if len(r.fired) < 4 || r.fired[0] != 1 || r.fired[1] != 2 || !slices.Contains(r.fired[2:4], 0) {
		t.Errorf("fired %v: others had no turn in between", r.fired)
	}
}

// TestTenThousandAlarmsOfOneInstant, some of which the first ones take back.
func TestTenThousandAlarmsOfOneInstant(t *testing.T) {
	r := newRig(1)
	var all []*owner
	r.in(func() {
		for i := range 10_000 {
			o := r.owner(i)
			o.due = func(o *owner) {
				r.fired = append(r.fired, o.name)
				if next := o.name + 1; next < len(all) && next%2 == 1 {
					r.c.Remove(&all[next].alarm)
				}
			}
			all = append(all, o)
			r.c.Add(&o.alarm, r.w.Now()+500, o)
		}
	})
	r.w.Run(r.w.Now() + 10_000)
	if len(r.fired) != 5000 || !slices.IsSorted(r.fired) || r.c.Len() != 0 {
		t.Errorf("%d fired, in order %v, %d left", len(r.fired), slices.IsSorted(r.fired), r.c.Len())
	}
}

func TestClosedClockTellsNobodyAndLeavesNoTimer(t *testing.T) {
	r := newRig(1)
	r.in(func() {
		for i := range 5 {
			o := r.owner(i)
			r.c.Add(&o.alarm, r.w.Now()+Time(i)*100, o)
		}
		r.c.Close()
	})
	if n := r.h.Pending(); n != 0 || r.c.Len() != 0 {
		t.Errorf("%d timers and %d alarms are left", n, r.c.Len())
	}
	r.w.Run(r.w.Now() + 10_000)
	if len(r.fired) > 0 {
		t.Errorf("fired %v", r.fired)
	}
}

// BenchmarkTakenBack is the life of most alarms, among others that are set.
func BenchmarkTakenBack(b *testing.B) {
	for _, others := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprint(others), func(b *testing.B) {
			r := newRig(1)
			held := make([]*owner, others)
			r.in(func() {
				for i := range held {
					held[i] = r.owner(i)
					r.c.Add(&held[i].alarm, r.w.Now()+1_000_000+Time(i), held[i])
				}
			})
			b.ReportAllocs()
			r.in(func() {
				for i := range b.N {
					o := held[i%others]
					r.c.Remove(&o.alarm)
					r.c.Add(&o.alarm, r.w.Now()+1_100_000+Time(i), o)
				}
			})
		})
	}
}

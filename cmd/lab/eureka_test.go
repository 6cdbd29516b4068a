package main

import (
	"fmt"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/loopback"
	"starlingwinch/internal/testbench/lab/script"
)

// The danger: a script that is not legal would be told only to who runs the measurement.
func TestMeasurementsOfTheRegistryAreLegal(t *testing.T) {
	if err := loopback.Check(drainScript(drains)); err != nil {
		t.Error(err)
	}
	for _, s := range []script.Script{silentScript(1, true), silentScript(1, false), flapScript(time.Second, true)} {
		if err := s.Check(); err != nil {
			t.Error(err)
		}
	}
}

// The danger: a cache that is held down as one that flaps gets nothing new, and its drains are in time by themselves.
func TestNoCacheDrainsSoOftenThatItIsHeldDown(t *testing.T) {
	last := map[string]time.Duration{}
	for _, f := range drainScript(drains).Faults {
		if before, again := last[f.Target]; again && f.At-before < 10*time.Second {
			t.Errorf("%s drains at %s and at %s", f.Target, before, f.At)
		}
		last[f.Target] = f.At
	}
	if len(last) != drainCaches {
		t.Errorf("%d caches drain", len(last))
	}
}

func TestDrainsAreSummedUpByTheirLastRequest(t *testing.T) {
	var outs []loopback.Out
	for i := range 200 {
		outs = append(outs, loopback.Out{Last: int64(i) * 1000})
	}
	d := drainsOf(outs)
	if got, want := d.line(), "drains 200 late 0 p50 99ms p99 197ms max 199ms"; got != want {
		t.Errorf("%s, wanted %s", got, want)
	}
	outs[3].Last = maxDrainDelay.Microseconds() + 1
	if d = drainsOf(outs); len(d.late) != 1 || d.most != maxDrainDelay+time.Microsecond {
		t.Errorf("late %v, most %s", d.late, d.most)
	}
	if got, want := drainsOf(nil).line(), "drains 0 late 0 p50 0ms p99 0ms max 0ms"; got != want {
		t.Errorf("%s, wanted %s", got, want)
	}
}

func TestDeltasCostLessThanWholeLists(t *testing.T) {
	for _, n := range []int{10, 100} {
		_, whole, err := costOf(n, "never", 10*time.Second, 0)
		if err != nil {
			t.Fatal(err)
		}
		calls, delta, err := costOf(n, "always", 10*time.Second, 0)
		if err != nil {
			t.Fatal(err)
		}
		if !(delta > 0 && delta < whole/2 && calls > 2 && calls < costCalls) {
			t.Errorf("%d instances: %s", n, fmt.Sprint(calls, whole, delta))
		}
	}
}

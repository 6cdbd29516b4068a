package endpoints

import (
	"testing"
)

// flapOnce drains c1 and brings it back after a time.
func (r *rig) flapOnce(source string, between Time) {
	r.Helper()
	r.changes(source, "c1-")
	r.want("c1", "draining")
	r.after(between)
	r.changes(source, "c1")
}

func TestSingleRestartIsNotSuppressed(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	r.flapOnce("eureka", second)
	r.want("c1", "serving")
}

func TestSuppressionGrowsWithEachFlapUpToMaxSuppress(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	last := Time(0)
	for flap := 1; flap <= 100; flap++ {
		r.flapOnce("eureka", 0)
		row := r.rowOf("c1")
		suppressed := max(0, row.SuppressedUntil-r.at)
		switch {
		case flap < 3 && suppressed != 0:
			t.Errorf("flap %d: suppressed for %d", flap, suppressed)
		case flap >= 3 && (suppressed < last || suppressed == last && suppressed < DefaultDamping().MaxSuppress):
			t.Errorf("flap %d: suppressed for %d, %d before", flap, suppressed, last)
		case suppressed > DefaultDamping().MaxSuppress:
			t.Errorf("flap %d: suppressed for %d", flap, suppressed)
		case flap >= 3:
			r.want("c1", "draining")
		}
		last = suppressed
	}
	if last != DefaultDamping().MaxSuppress {
		t.Errorf("suppressed for %d in the end", last)
	}
	r.after(last-1).want("c1", "draining")
	r.after(1).want("c1", "serving")
}

func TestFlapsAreForgottenOnceStable(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	for range 3 {
		r.flapOnce("eureka", 0)
	}
	r.after(DefaultDamping().MaxSuppress).want("c1", "serving")
	r.flapOnce("eureka", 0)
	r.want("c1", "serving")
	if row := r.rowOf("c1"); row.Flaps != 1 || row.Penalty > 1.1*DefaultDamping().Penalty {
		t.Errorf("%+v", row)
	}
}

// TestDampingPublishesFewChangesOfAFlappingEndpoint: 2 in place of 40. Its drains are published each time.
func TestDampingPublishesFewChangesOfAFlappingEndpoint(t *testing.T) {
	ups := map[bool]int{}
	for _, damped := range []bool{false, true} {
		source := eureka
		source.Damped = damped
		r := newRig(t, source)
		r.full("eureka", "c1", "c2")
		before := r.ups["c1"]
		for range 40 {
			r.flapOnce("eureka", second/4)
			r.after(second / 4)
		}
		ups[damped] = r.ups["c1"] - before
		r.after(DefaultDamping().MaxSuppress).want("c1", "serving")
	}
	if ups[false] != 40 || ups[true] != 2 {
		t.Errorf("serving again %d times without damping and %d times with it, want 40 and 2", ups[false], ups[true])
	}
}

func TestTableExplainsSuppression(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	for range 4 {
		r.flapOnce("eureka", 0)
	}
	if got, want := r.rowOf("c1").Reason, "held down for 20.0 s more after 4 flaps"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// TestRestartKeepsTheFlapsOfItsID also shows that a removal is published during a suppression.
func TestRestartKeepsTheFlapsOfItsID(t *testing.T) {
	r := newRig(t, eureka)
	for start := Time(1); start <= 4; start++ {
		next := claims("c1", "c2")
		next[0].Endpoint.StartedAt = start
		r.handle(&SourceUpdate{Source: "eureka", Full: true, Claims: next})
		if start < 4 {
			r.want("c1", "serving")
			r.full("eureka", "c2")
			r.want("c1", "removed")
		}
	}
	r.want("c1", "removed") // a suppressed endpoint that was removed is not published
	r.after(20*second).want("c1", "serving")
	if e := r.list["c1"]; e.StartedAt != 4 {
		t.Errorf("%+v", e)
	}
}

func TestSourceWithoutDampingSuppressesNothing(t *testing.T) {
	r := newRig(t, platform, eureka)
	r.full("platform", "c1", "c2")
	r.full("eureka", "c1", "c2")
	for range 20 {
		r.flapOnce("platform", second/10)
		r.want("c1", "serving")
	}
}

// TestFlapDuringSuppressionExtendsIt, also with a penalty that has decayed below Suppress (RFC 2439, 4.8.3).
func TestFlapDuringSuppressionExtendsIt(t *testing.T) {
	r := newRigOf(t, Options{Sources: []SourceOptions{eureka}, MassRemoval: DefaultMassRemoval(),
		Damping: Damping{Penalty: 500, Suppress: 2000, Reuse: 250, HalfLife: 10 * second, MaxSuppress: 60 * second}})
	r.full("eureka", "c1", "c2")
	for range 5 {
		r.flapOnce("eureka", 0)
	}
	r.after(20 * second) // 625 by now
	before := r.rowOf("c1").SuppressedUntil
	r.flapOnce("eureka", 0)
	if after := r.rowOf("c1").SuppressedUntil; before == 0 || after <= before {
		t.Errorf("suppressed until %d, and until %d after one more flap", before, after)
	}
}

// TestEachSuppressionEndsAtItsOwnTime: the endpoint that was suppressed first flaps on.
func TestEachSuppressionEndsAtItsOwnTime(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", names(1, 9)...)
	for _, id := range names(1, 9) {
		for range 3 {
			r.changes("eureka", id+"-")
			r.changes("eureka", id)
		}
		r.after(second / 10)
	}
	for range 3 {
		r.flapOnce("eureka", 0)
	}
	if len(r.wakes()) != 0 {
		t.Errorf("a Wake is repeated: %+v", r.actions)
	}
	r.after(16 * second)
	r.wantAll(names(2, 9), "serving")
	r.want("c1", "draining")
	r.after(10*second).want("c1", "serving")
}

package endpoints

import (
	"testing"
)

// flapOnce drains c1 and makes it serving again after downtime.
func (r *rig) flapOnce(source string, downtime Time) {
	r.Helper()
	r.changes(source, "c1-")
	r.want("c1", "draining")
	r.after(downtime)
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
			t.Errorf("flap %d: got a suppression of %d µs, want none", flap, suppressed)
		case flap >= 3 && (suppressed < last || suppressed == last && suppressed < DefaultDamping().MaxSuppress):
			t.Errorf("flap %d: got a suppression of %d µs, want more than the previous %d µs", flap, suppressed, last)
		case suppressed > DefaultDamping().MaxSuppress:
			t.Errorf("flap %d: got a suppression of %d µs, want at most %d µs", flap, suppressed, DefaultDamping().MaxSuppress)
		case flap >= 3:
			r.want("c1", "draining")
		}
		last = suppressed
	}
	if last != DefaultDamping().MaxSuppress {
		t.Errorf("got a last suppression of %d µs, want %d µs", last, DefaultDamping().MaxSuppress)
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
		t.Errorf("got %+v, want 1 flap and a penalty of at most %.0f", row, 1.1*DefaultDamping().Penalty)
	}
}

// TestDampingPublishesFewChangesOfAFlappingEndpoint checks that an endpoint that flaps 40 times is published as serving again 2
// times instead of 40. The helper flapOnce checks that each drain is published.
func TestDampingPublishesFewChangesOfAFlappingEndpoint(t *testing.T) {
	returns := map[bool]int{} // transitions to serving, by whether damping is on
	for _, damped := range []bool{false, true} {
		source := eureka
		source.Damped = damped
		r := newRig(t, source)
		r.full("eureka", "c1", "c2")
		before := r.servingTransitions["c1"]
		for range 40 {
			r.flapOnce("eureka", second/4)
			r.after(second / 4)
		}
		returns[damped] = r.servingTransitions["c1"] - before
		r.after(DefaultDamping().MaxSuppress).want("c1", "serving")
	}
	if returns[false] != 40 || returns[true] != 2 {
		t.Errorf("got %d transitions to serving without damping and %d with damping, want 40 and 2", returns[false], returns[true])
	}
}

func TestTableExplainsSuppression(t *testing.T) {
	r := newRig(t, eureka)
	r.full("eureka", "c1", "c2")
	for range 4 {
		r.flapOnce("eureka", 0)
	}
	if got, want := r.rowOf("c1").Reason, "held down for 20.0 s more after 4 flaps"; got != want {
		t.Errorf("got reason %q, want %q", got, want)
	}
}

// TestRestartKeepsTheFlapsOfItsID checks that an endpoint that restarts with a new start time retains the flaps of its ID. It
// also checks that a removal is published during a suppression.
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
	r.want("c1", "removed") // a removed endpoint is not published as serving during its suppression
	r.after(20*second).want("c1", "serving")
	if e := r.list["c1"]; e.StartedAt != 4 {
		t.Errorf("got %+v, want start time 4", e)
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

// TestFlapDuringSuppressionExtendsIt checks this for a penalty that has decayed below Suppress (RFC 2439, 4.8.3).
func TestFlapDuringSuppressionExtendsIt(t *testing.T) {
	r := newRigWithOptions(t, Options{Sources: []SourceOptions{eureka}, MassRemoval: DefaultMassRemoval(),
		Damping: Damping{Penalty: 500, Suppress: 2000, Reuse: 250, HalfLife: 10 * second, MaxSuppress: 60 * second}})
	r.full("eureka", "c1", "c2")
	for range 5 {
		r.flapOnce("eureka", 0)
	}
	r.after(20 * second) // the penalty has decayed to 625
	before := r.rowOf("c1").SuppressedUntil
	r.flapOnce("eureka", 0)
	if after := r.rowOf("c1").SuppressedUntil; before == 0 || after <= before {
		t.Errorf("got a suppression until %d, and until %d after one more flap; want it extended", before, after)
	}
}

// TestEachSuppressionEndsAtItsOwnTime checks the order of nine suppressions. The endpoint that was suppressed first flaps three
// more times, so that its suppression ends last.
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
		t.Errorf("got actions %+v, want no second Wake for the same time", r.actions)
	}
	r.after(16 * second)
	r.wantAll(names(2, 9), "serving")
	r.want("c1", "draining")
	r.after(10*second).want("c1", "serving")
}

package pacing

import "testing"

// TestAllAreHeardWithinTheBound where discovery can take a call of each client in five seconds, as they start in step and after an
// outage; with exponential backoff the last one is answered later.
func TestAllAreHeardWithinTheBound(t *testing.T) {
	kinds := Kinds()
	own, fullJitter := kinds[len(kinds)-1], kinds[1]
	for _, outage := range []Time{0, 20 * second} {
		w := World{Clients: 32, Capacity: 6.4, Outage: outage, Seed: 1, MaxWait: 60 * second}
		delays, err := Play(w, own)
		if err != nil {
			t.Fatal(err)
		}
		if delays.Unanswered > 0 || delays.Last > 6*second {
			t.Errorf("outage %d: %+v, want all answered within 6 s", outage, delays)
		}
		other, err := Play(w, fullJitter)
		if err != nil {
			t.Fatal(err)
		}
		if other.Last < delays.Last+second {
			t.Errorf("outage %d: with full jitter the last is answered after %d, no later than %d: the world tells them not apart", outage, other.Last, delays.Last)
		}
	}
}

// TestCapacityBoundsHowSoonAllAreHeard: no strategy hears faster than discovery can answer.
func TestCapacityBoundsHowSoonAllAreHeard(t *testing.T) {
	for _, kind := range Kinds() {
		delays, err := Play(World{Clients: 20, Capacity: 5, Seed: 2, MaxWait: 60 * second}, kind)
		if err != nil {
			t.Fatal(err)
		}
		if delays.Last < 3900*second/1000 {
			t.Errorf("%s: 20 calls at 5 a second are answered after %d", kind.Name, delays.Last)
		}
	}
}

// TestLastOfFewIsHeardBeforeDrainsAreDue guards against a discovery that is idle while the last of few clients wait to call again: a client
// counts as notified of a drain after 6 s, and has to act on it within the grace.
func TestLastOfFewIsHeardBeforeDrainsAreDue(t *testing.T) {
	for name, c := range map[string]struct {
		outage Time
		resets bool
		seeds  uint64
	}{
		"resets":      {3 * second / 2, true, 40},
		"long resets": {40 * second, true, 12},
		"long 503":    {40 * second, false, 12},
	} {
		t.Run(name, func(t *testing.T) {
			for _, clients := range []int{4, 8, 16, 24, 30} {
				capacity := max(float64(clients)/5, 1.5) // a call that takes longer leaves no time to queue another one
				w := World{Clients: clients, Capacity: capacity, Outage: c.outage, Resets: c.resets, MaxWait: 60 * second}
				lastOfFewIsHeard(t, w, c.seeds)
			}
		})
	}
}

// lastOfFewIsHeard plays a world with so many seeds. With steady delays, the last of eight clients is late on some.
func lastOfFewIsHeard(t *testing.T, w World, seeds uint64) {
	kinds := Kinds()
	own, steady := kinds[len(kinds)-1], kinds[len(kinds)-2]
	const due = 6*second + grace
	lateBySteady := 0
	for w.Seed = 1; w.Seed <= seeds; w.Seed++ {
		delays, err := Play(w, own)
		if err != nil {
			t.Fatal(err)
		}
		if delays.Last > due {
			t.Errorf("%d clients, seed %d: the last is answered after %d", w.Clients, w.Seed, delays.Last)
		}
		if w.Clients != 8 {
			continue
		}
		other, err := Play(w, steady)
		if err != nil {
			t.Fatal(err)
		}
		if other.Last > due {
			lateBySteady++
		}
	}
	if w.Clients == 8 && lateBySteady == 0 {
		t.Error("none is late with steady delays: the world does not tell them apart")
	}
}

package clusterlab

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/gossip"
)

// The hard cases of the fleet's view, each on a few seeds.

// met is a world of thirty routers that have met, for each seed.
func met(t *testing.T, f func(t *testing.T, w *World)) {
	t.Helper()
	if !largeToo && !strings.Contains(t.Name(), "TwoRouters") && !strings.Contains(t.Name(), "Stopped") {
		t.Skip("played without the race detector by .ci/run")
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, Options{Routers: 30})
			w.StartAll(second)
			settled(t, w, 3*second)
			f(t, w)
			for _, b := range w.Broken {
				t.Error(b)
			}
		})
	}
}

// settled fails where not all views are right and settled within the span.
func settled(t *testing.T, w *World, within Time) {
	t.Helper()
	if took, ok := w.Settle(within); !ok {
		t.Fatalf("after %.2f s: %s", float64(took)/1e6, w.Right())
	}
}

// stays fails where views do not stay right: with what must not have been seen.
func stays(t *testing.T, w *World, d Time) {
	t.Helper()
	accused := w.Accusations()
	w.Run(d)
	if w.Accusations() != accused {
		t.Errorf("%d more routers were held faulty", w.Accusations()-accused)
	}
}

func TestAOneWayLinkAccusesNobody(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Cut(0, 1, false)
		stays(t, w, 20*second)
		settled(t, w, 3*second)
	})
}

func TestARingOfOneWayLinksAccusesNobody(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for i := range w.Nodes {
			w.Cut(i, (i+1)%len(w.Nodes), false)
		}
		stays(t, w, 20*second)
		settled(t, w, 3*second)
	})
}

func TestAStoppedRouterWakesUpAndAccusesNobody(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Stall(4, 5*second)
		w.Run(5 * second)
		accused := w.Nodes[4].Link.View().Counts().DeclaredFaulty
		settled(t, w, 1500*millisecond)
		stays(t, w, 5*second)
		if n := w.Nodes[4].Link.View().Counts(); n.DeclaredFaulty != accused || n.Stalls != 1 {
			t.Errorf("%d accusations and %d stalls noticed by the one that was stopped", n.DeclaredFaulty-accused, n.Stalls)
		}
	})
}

func TestTenOfThirtyStoppedAtOnceWakeUp(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for i := range 10 {
			w.Stall(i, 5*second)
		}
		w.Run(5 * second)
		settled(t, w, 3*second)
		stays(t, w, 5*second)
	})
}

func TestKilledAndBackThreeTimesTheOldLifeNeverWins(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for _, clock := range []Time{0, -10 * second, 0} {
			w.Kill(7)
			w.Run(100 * millisecond)
			w.Restart(7, clock)
			w.Run(100 * millisecond)
		}
		settled(t, w, 3*second)
		self := w.Nodes[7].Link.View().Members()[indexOf(w.Nodes[7].Link.View().Members(), "n7")]
		for _, n := range w.Nodes {
			list := n.Link.View().Members()
			if m := list[indexOf(list, "n7")]; m.Incarnation != self.Incarnation {
				t.Errorf("%s believes incarnation %d of n7, which has %d", n.Name, m.Incarnation, self.Incarnation)
			}
		}
	})
}

func indexOf(list []gossip.Member, name string) int {
	return slices.IndexFunc(list, func(m gossip.Member) bool { return m.Name == name })
}

func TestPartitionsMeetAgainByThemselves(t *testing.T) {
	for name, part := range map[string]func(i int) int{
		"halves":    func(i int) int { return i % 2 },
		"thirds":    func(i int) int { return i % 3 },
		"one alone": func(i int) int { return min(i, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			met(t, func(t *testing.T, w *World) {
				w.Partition(part)
				settled(t, w, 4*second)
				w.Run(20 * second)
				w.Heal()
				settled(t, w, 3*second)
				stays(t, w, 5*second)
			})
		})
	}
}

func TestAPartitionThatHealsForAMomentOnly(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		halves := func(i int) int { return i % 2 }
		w.Partition(halves)
		w.Run(6 * second)
		w.Heal()
		w.Run(300 * millisecond)
		w.Partition(halves)
		settled(t, w, 6*second)
		w.Heal()
		settled(t, w, 3*second)
	})
}

func TestASecondPartitionAcrossTheFirst(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Partition(func(i int) int { return i % 2 })
		w.Run(3 * second)
		w.Partition(func(i int) int { return i / 15 })
		settled(t, w, 5*second)
		w.Heal()
		settled(t, w, 3*second)
	})
}

func TestAJoinOnTheSmallerSideOfAPartition(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Kill(2)
		settled(t, w, 4*second)
		w.Partition(func(i int) int { return min(1, i/8) })
		w.Run(5 * second)
		w.Restart(2, 0)
		settled(t, w, 4*second)
		w.Heal()
		settled(t, w, 3*second)
	})
}

func TestAllMeetByOneSeed(t *testing.T) {
	for seed := range uint64(seeds) {
		w := New(seed, Options{Routers: 30, Seeds: 1})
		w.StartAll(second)
		settled(t, w, 8*second) // each has to be told of all others by those that it can ask
		w.Kill(0)               // the seed: the others know one another by now
		settled(t, w, 4*second)
		stays(t, w, 5*second)
	}
}

func TestALossyNetworkHoldsNobodyFaulty(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Lossy(.3, .2, .2)
		stays(t, w, 60*second)
		w.Lossy(0, 0, 0)
		settled(t, w, 3*second)
	})
}

func TestAMemberRemovedFromTheConfigurationOfHalf(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		gone := w.Nodes[5].Addr
		for i, n := range w.Nodes {
			if i%2 == 0 && i != 5 {
				n.Link.Peers(slices.DeleteFunc(slices.Clone(n.peers), func(a string) bool { return a == gone }))
			}
		}
		stays(t, w, 20*second)
		settled(t, w, 3*second)
	})
}

func TestTwoRoutersWithOneNameTheLaterOneStays(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		w.Kill(9)
		w.Run(second)
		w.o.Bend = func(i int, c *gossip.Config) {
			if i == 9 {
				c.Name = "n3"
			}
		}
		w.Restart(9, 0)
		w.Run(5 * second)
		if !w.Nodes[3].Link.View().Retired() || w.Nodes[9].Link.View().Retired() {
			t.Errorf("retired: the earlier one %v, the later one %v", w.Nodes[3].Link.View().Retired(), w.Nodes[9].Link.View().Retired())
		}
		raised := w.Nodes[9].Link.View().Counts().Refuted
		w.Run(10 * second)
		if more := w.Nodes[9].Link.View().Counts().Refuted - raised; more > 0 {
			t.Errorf("the two go on refuting each other, %d times in 10 s", more)
		}
		w.Broken = nil // what is wrong here is the name
	})
}

func TestARollingRestartOfAllThirty(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for i := range w.Nodes {
			w.Leave(i, 700*millisecond)
			w.Run(900 * millisecond)
			w.Restart(i, 0)
			w.Run(300 * millisecond)
		}
		settled(t, w, 3*second)
		for i, n := range w.Nodes {
			if c := n.Link.View().Counts(); c.DeclaredFaulty > 0 {
				t.Errorf("n%d held %d routers faulty that had said they leave", i, c.DeclaredFaulty)
			}
		}
	})
}

func TestSevenInTenKilledAtOnceAndBack(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for i := range 21 {
			w.Kill(i)
		}
		w.Run(second)
		for i := range 21 {
			w.Restart(i, 0)
		}
		settled(t, w, 4*second)
		w.Run(5 * second)
	})
}

func TestThreeHundredCostAsMuchAsThirty(t *testing.T) {
	if !largeToo {
		t.Skip("played without the race detector by .ci/run")
	}
	rate := func(n int) float64 {
		w := New(1, Options{Routers: n})
		w.StartAll(second)
		settled(t, w, 20*second)
		w.Run(10 * second) // what is news is told by then
		before := 0
		for _, x := range w.Nodes {
			before += x.Bytes()
		}
		w.Run(10 * second)
		for _, x := range w.Nodes {
			before -= x.Bytes()
		}
		for _, b := range w.Broken {
			t.Error(b)
		}
		return -float64(before) / 10 / float64(n)
	}
	few, many := rate(30), rate(300)
	if few > 2000 || many > 2000 || many > 1.1*few || many < .9*few {
		t.Errorf("%.0f bytes a second for each of thirty routers, %.0f of three hundred", few, many)
	}
}

// Whoever missed that a router has left learns it from the others, and need not find out alone.
func TestThatARouterHasLeftIsToldToThoseThatMissedIt(t *testing.T) {
	met(t, func(t *testing.T, w *World) {
		for i := range w.Nodes { // n5 hears nothing while n7 goes
			if i != 5 {
				w.Cut(i, 5, false)
			}
		}
		w.Leave(7, 100*millisecond)
		w.Run(400 * millisecond)
		w.Heal()
		w.Run(4 * second)
		list := w.Nodes[5].Link.View().Members()
		if m := list[indexOf(list, "n7")]; m.State != gossip.Left {
			t.Errorf("4 s later n5 holds n7 %v", m.State)
		}
		if n := w.Nodes[5].Link.View().Counts().DeclaredFaulty; n > 0 {
			t.Errorf("it accused %d", n)
		}
	})
}

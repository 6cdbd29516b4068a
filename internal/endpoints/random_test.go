package endpoints

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

// randomClaims names some of n caches, in any condition.
func randomClaims(rnd *rand.Rand, n int, bad float64) []Claim {
	var all []Claim
	for _, i := range rnd.Perm(n)[:rnd.IntN(n+1)] {
		c := Claim{Address: fmt.Sprintf("10.0.0.%d:%d", rnd.IntN(3), i+1), Reason: "word",
			Endpoint: decide.Endpoint{ID: fmt.Sprintf("c%d", i), Zone: "a", Weight: 1, StartedAt: Time(rnd.IntN(2))}}
		if rnd.Float64() < bad {
			c.Endpoint.Status = decide.Status(1 + rnd.IntN(2))
		}
		if c.Endpoint.Status != decide.Serving && rnd.IntN(2) == 0 {
			c.Address = ""
		}
		all = append(all, c)
	}
	return all
}

// TestPlatformAloneIsPublishedAsItSpeaks, in the same turn: a plain replay of its lists holds the same caches.
func TestPlatformAloneIsPublishedAsItSpeaks(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newRigOf(t, Options{Sources: []SourceOptions{platform}})
		list, addrs := map[string]decide.Endpoint{}, map[string]string{}
		for step := range 60 {
			r.after(Time(rnd.Int64N(second)))
			ev := &SourceUpdate{Source: "platform", Full: rnd.IntN(3) == 0, Claims: randomClaims(rnd, 12, 0.3)}
			if rnd.IntN(10) == 0 {
				r.lost("platform")
			}
			named := map[string]bool{}
			if ev.Full && rnd.IntN(4) == 0 {
				ev.Unreadable = []string{"c3", "c99"}
				named["c3"] = true
			}
			for _, c := range ev.Claims {
				id := c.Endpoint.ID
				named[id] = true
				if c.Endpoint.Status == decide.Removed {
					delete(list, id)
					delete(addrs, id)
					continue
				}
				list[id] = c.Endpoint
				if c.Address != "" {
					addrs[id] = c.Address
				}
			}
			if ev.Full {
				maps.DeleteFunc(list, func(id string, _ decide.Endpoint) bool { return !named[id] })
				maps.DeleteFunc(addrs, func(id string, _ string) bool { return !named[id] })
			}
			r.tell(ev)
			if !maps.Equal(r.list, list) {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, r.list, list)
			}
			for id := range list {
				if r.addrs[id] != addrs[id] {
					t.Fatalf("seed %d, step %d: %s at %q, want %q", seed, step, id, r.addrs[id], addrs[id])
				}
			}
		}
	}
}

// oracle knows which caches must not take work: those of which a source's latest word is bad. It does not
// look at how the module works that out.
type oracle struct {
	bad    map[string]map[string]bool // by source, then cache: false for one that it says takes work
	missed map[string]map[string]Time // left out by a source that is checked, once so far
}

func newOracle(sources ...string) *oracle {
	o := &oracle{bad: map[string]map[string]bool{}, missed: map[string]map[string]Time{}}
	for _, s := range sources {
		o.bad[s], o.missed[s] = map[string]bool{}, map[string]Time{}
	}
	return o
}

func (o *oracle) hear(now Time, ev *SourceUpdate, checked bool) {
	bad, missed := o.bad[ev.Source], o.missed[ev.Source]
	named := map[string]bool{}
	for _, c := range ev.Claims {
		id := c.Endpoint.ID
		bad[id] = c.Endpoint.Status != decide.Serving
		named[id] = true
		delete(missed, id)
	}
	if !ev.Full {
		return
	}
	for id := range bad {
		since, again := missed[id]
		switch {
		case named[id] || bad[id]:
		case !checked, again && (ev.Repeat || now-since >= DefaultMassRemoval().ConfirmWithin):
			bad[id] = true
			delete(missed, id)
		case !again:
			missed[id] = now
		}
	}
}

// randomEvent is anything that one of three sources may tell.
func randomEvent(rnd *rand.Rand, caches int) Event {
	name := []string{"platform", "eureka", "file"}[rnd.IntN(3)]
	if rnd.IntN(8) == 0 {
		return &SourceUnavailable{Source: name, Reason: "timed out"}
	}
	ev := &SourceUpdate{Source: name, Full: rnd.IntN(2) == 0, Claims: randomClaims(rnd, caches, 0.1)}
	ev.Repeat = ev.Full && name == "eureka" && rnd.IntN(2) == 0
	return ev
}

// TestNoCacheTakesWorkOfWhichASourceHasBadNews, from the turn on in which it is told.
func TestNoCacheTakesWorkOfWhichASourceHasBadNews(t *testing.T) {
	const caches = 10
	taken := 0
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		r := newRig(t, platform, eureka, fixed)
		o := newOracle("platform", "eureka", "file")
		for step := range 120 {
			r.after(Time(rnd.Int64N(2 * second)))
			ev := randomEvent(rnd, caches)
			if h, is := ev.(*SourceUpdate); is {
				o.hear(r.at, h, h.Source == "eureka")
			}
			r.tell(ev)
			for id, e := range r.list {
				for source, words := range o.bad {
					if e.Status == decide.Serving && words[id] {
						t.Fatalf("seed %d, step %d: %s takes work, and %s says no", seed, step, id, source)
					}
				}
				if e.Status == decide.Serving {
					taken++
				}
			}
		}
		// In the end all sources agree, and when it has been quiet for long enough all caches take work.
		all := names(0, caches-1)
		for _, source := range []string{"platform", "eureka", "file"} {
			r.full(source, all...)
		}
		r.after(DefaultDamping().MaxSuppress).wantAll(all, "up")
		for _, s := range r.Sources(r.at) {
			if s.Caches != caches || s.Up != caches || s.Unconfirmed != 0 {
				t.Fatalf("seed %d: the books are wrong: %+v", seed, s)
			}
		}
		if r.up != caches || r.gone.Len() != 0 || len(r.held) != 0 {
			t.Fatalf("seed %d: %d up, %d gone, %d held", seed, r.up, r.gone.Len(), len(r.held))
		}
	}
	if taken < 10_000 {
		t.Errorf("only %d times was a cache that takes work looked at", taken)
	}
}

// TestEqualEventsGiveEqualActions, also where so many caches have gone that some are forgotten.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(50) {
		run := func() (all [][]Action, rows []Row) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			r := newRigOf(t, Options{Sources: []SourceOptions{platform, eureka, fixed}, Damping: DefaultDamping(),
				MassRemoval: DefaultMassRemoval(), MaxRemoved: 5, MaxEndpoints: 30})
			for range 100 {
				r.after(Time(rnd.Int64N(second)))
				all = append(all, r.tell(randomEvent(rnd, 40)))
			}
			return all, r.Table(r.at)
		}
		one, rows := run()
		two, again := run()
		if !reflect.DeepEqual(one, two) || !reflect.DeepEqual(rows, again) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// TestMemoryIsBounded. The danger: caches come and go under ever new names, for weeks.
func TestMemoryIsBounded(t *testing.T) {
	r := newRigOf(t, Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval(),
		MaxEndpoints: 100, MaxRemoved: 1000})
	for i := 0; i < 100_000; i += 50 {
		r.at += second / 100
		var gone []string
		for _, id := range names(i, i+49) {
			gone = append(gone, id+"x")
		}
		for range 3 { // so that they are held down
			r.changes("eureka", names(i, i+49)...)
			r.changes("eureka", gone...)
		}
		r.changes("platform", fmt.Sprintf("c%dx", i+1_000_000)) // gone before anyone knew it
		if len(r.caches) > 1100 || r.gone.Len() > 1000 || len(r.held) > len(r.caches) {
			t.Fatalf("%d caches, %d gone, %d held", len(r.caches), r.gone.Len(), len(r.held))
		}
	}
	r.changes("eureka", names(2_000_000, 2_000_300)...)
	if len(r.list) != 100 {
		t.Errorf("%d caches handed on, the bound is 100", len(r.list))
	}
	r.at += 2 * keepGone
	if r.tell(&Tick{}); r.gone.Len() != 0 || len(r.caches) != 100 {
		t.Errorf("%d caches are remembered after a long time", r.gone.Len())
	}
}

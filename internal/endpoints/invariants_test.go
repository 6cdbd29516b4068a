package endpoints

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"starlingwinch/decide"
)

// randomClaims are claims on some of n endpoints, a fraction of them drains and removals.
func randomClaims(rnd *rand.Rand, n int, downgraded float64) []Claim {
	var all []Claim
	for _, i := range rnd.Perm(n)[:rnd.IntN(n+1)] {
		c := Claim{Address: fmt.Sprintf("10.0.0.%d:%d", rnd.IntN(3), i+1), Reason: "word",
			Endpoint: decide.Endpoint{ID: fmt.Sprintf("c%d", i), Zone: "a", Weight: 1, StartedAt: Time(rnd.IntN(2))}}
		if rnd.Float64() < downgraded {
			c.Endpoint.Status = decide.Status(1 + rnd.IntN(2))
		}
		if c.Endpoint.Status != decide.Serving && rnd.IntN(2) == 0 {
			c.Address = ""
		}
		all = append(all, c)
	}
	return all
}

// TestSingleSourceIsPublishedAsItIs, in the same turn: a plain replay of its lists gives the same endpoints.
func TestSingleSourceIsPublishedAsItIs(t *testing.T) {
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newRigOf(t, Options{Sources: []SourceOptions{platform}})
		list, addrs := map[string]decide.Endpoint{}, map[string]string{}
		for step := range 60 {
			r.after(Time(rnd.Int64N(second)))
			ev := &SourceUpdate{Source: "platform", Full: rnd.IntN(3) == 0, Claims: randomClaims(rnd, 12, 0.3)}
			if rnd.IntN(10) == 0 {
				r.unavailable("platform")
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
			r.handle(ev)
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

// oracle knows which endpoints must not be serving: those that the latest claim of a source drains or removes. It shares no
// code with the Merger.
type oracle struct {
	unusable map[string]map[string]bool // by source, then endpoint: false for one that it claims to be serving
	omitted  map[string]map[string]Time // omitted once so far by a source that must confirm a mass removal
}

func newOracle(sources ...string) *oracle {
	o := &oracle{unusable: map[string]map[string]bool{}, omitted: map[string]map[string]Time{}}
	for _, s := range sources {
		o.unusable[s], o.omitted[s] = map[string]bool{}, map[string]Time{}
	}
	return o
}

func (o *oracle) update(now Time, ev *SourceUpdate, confirms bool) {
	unusable, omitted := o.unusable[ev.Source], o.omitted[ev.Source]
	named := map[string]bool{}
	for _, c := range ev.Claims {
		id := c.Endpoint.ID
		unusable[id] = c.Endpoint.Status != decide.Serving
		named[id] = true
		delete(omitted, id)
	}
	if !ev.Full {
		return
	}
	for id := range unusable {
		since, again := omitted[id]
		switch {
		case named[id] || unusable[id]:
		case !confirms, again && (ev.Repeat || now-since >= DefaultMassRemoval().ConfirmWithin):
			unusable[id] = true
			delete(omitted, id)
		case !again:
			omitted[id] = now
		}
	}
}

// randomEvent is any event of one of three sources.
func randomEvent(rnd *rand.Rand, caches int) Event {
	name := []string{"platform", "eureka", "file"}[rnd.IntN(3)]
	if rnd.IntN(8) == 0 {
		return &SourceUnavailable{Source: name, Reason: "timed out"}
	}
	ev := &SourceUpdate{Source: name, Full: rnd.IntN(2) == 0, Claims: randomClaims(rnd, caches, 0.1)}
	ev.Repeat = ev.Full && name == "eureka" && rnd.IntN(2) == 0
	return ev
}

// TestNoEndpointServesThatASourceDrainsOrRemoves, from the turn of the update on.
func TestNoEndpointServesThatASourceDrainsOrRemoves(t *testing.T) {
	const caches = 10
	checked := 0
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		r := newRig(t, platform, eureka, fixed)
		o := newOracle("platform", "eureka", "file")
		for step := range 120 {
			r.after(Time(rnd.Int64N(2 * second)))
			ev := randomEvent(rnd, caches)
			if h, is := ev.(*SourceUpdate); is {
				o.update(r.at, h, h.Source == "eureka")
			}
			r.handle(ev)
			for id, e := range r.list {
				for source, unusable := range o.unusable {
					if e.Status == decide.Serving && unusable[id] {
						t.Fatalf("seed %d, step %d: %s is serving, and %s drains or removes it", seed, step, id, source)
					}
				}
				if e.Status == decide.Serving {
					checked++
				}
			}
		}
		// In the end all sources agree, and once the suppressions are over all endpoints are serving.
		all := names(0, caches-1)
		for _, source := range []string{"platform", "eureka", "file"} {
			r.full(source, all...)
		}
		r.after(DefaultDamping().MaxSuppress).wantAll(all, "serving")
		for _, s := range r.Sources(r.at) {
			if s.Caches != caches || s.Up != caches || s.Unconfirmed != 0 {
				t.Fatalf("seed %d: wrong counters: %+v", seed, s)
			}
		}
		if r.serving != caches || r.removed.Len() != 0 || len(r.suppressed) != 0 {
			t.Fatalf("seed %d: %d serving, %d removed, %d suppressed", seed, r.serving, r.removed.Len(), len(r.suppressed))
		}
	}
	if checked < 10_000 {
		t.Errorf("only %d checks of a serving endpoint", checked)
	}
}

// textual returns actions in a form that reflect.DeepEqual compares whole: of a text in a slog.Value it sees one byte.
func textual(actions []Action) []any {
	all := make([]any, len(actions))
	for i, a := range actions {
		all[i] = a
		if line, is := a.(Log); is {
			all[i] = fmt.Sprint(line.Level, line.Message, line.Attrs)
		}
	}
	return all
}

// TestEqualEventsGiveEqualActions, also where so many endpoints were removed that some are forgotten.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	for seed := range uint64(50) {
		run := func() (all [][]any, rows []Row) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			r := newRigOf(t, Options{Sources: []SourceOptions{platform, eureka, fixed}, Damping: DefaultDamping(),
				MassRemoval: DefaultMassRemoval(), MaxRemoved: 5, MaxEndpoints: 30})
			for range 100 {
				r.after(Time(rnd.Int64N(second)))
				all = append(all, textual(r.handle(randomEvent(rnd, 40))))
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

// TestMemoryIsBounded where endpoints come and go under ever new ids.
func TestMemoryIsBounded(t *testing.T) {
	r := newRigOf(t, Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval(),
		MaxEndpoints: 100, MaxRemoved: 1000})
	for i := 0; i < 100_000; i += 50 {
		r.at += second / 100
		var removed []string
		for _, id := range names(i, i+49) {
			removed = append(removed, id+"x")
		}
		for range 3 { // so that they are suppressed
			r.changes("eureka", names(i, i+49)...)
			r.changes("eureka", removed...)
		}
		r.changes("platform", fmt.Sprintf("c%dx", i+1_000_000)) // removed before any source named it
		if len(r.endpoints) > 1100 || r.removed.Len() > 1000 || len(r.suppressed) > len(r.endpoints) {
			t.Fatalf("%d endpoints, %d removed, %d suppressed", len(r.endpoints), r.removed.Len(), len(r.suppressed))
		}
	}
	r.changes("eureka", names(2_000_000, 2_000_300)...)
	if len(r.list) != 100 {
		t.Errorf("%d endpoints published, the bound is 100", len(r.list))
	}
	r.at += 2 * minRemovedRetention
	r.handle(&Tick{})
	if r.removed.Len() != 0 || len(r.endpoints) != 100 {
		t.Errorf("%d removed endpoints are remembered after a long time", r.removed.Len())
	}
}

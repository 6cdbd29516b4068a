package eureka

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/endpoints"
)

// told reports whether one of the claims reads so.
func told(want string) func(h *endpoints.SourceUpdate) bool {
	return func(h *endpoints.SourceUpdate) bool { return strings.Contains(words(h.Claims), want) }
}

func TestFullListThenDeltas(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	h := f.waitHeard(second, "the list", full)
	if got := words(h.Claims); got != "a up, bb up" {
		t.Errorf("told %s", got)
	}
	if e := h.Claims[0]; e.Address != "10.1.0.1:6379" || e.Endpoint.Zone != "z1" || e.Endpoint.Cell != 3 || e.Endpoint.Weight != 1.5 ||
		e.LastSeen != 1_750_000_000*second {
		t.Errorf("the claim is %+v", e)
	}
	for _, step := range []struct{ id, status, want string }{
		{"bb", "OUT_OF_SERVICE", "bb draining (OUT_OF_SERVICE)"},
		{"ccc", "UP", "ccc up"},
		{"bb", "UP", "bb up"},
		{"a", "DOWN", "a draining (DOWN)"},
		{"a", "", "a removed (DELETED)"},
	} {
		at := f.Now()
		fl.set(step.id, step.status)
		h := f.waitHeard(second, step.want, told(step.want))
		if words(h.Claims) != step.want || h.Full {
			t.Errorf("told %s (full: %v), want %s", words(h.Claims), h.Full, step.want)
		}
		if took := f.Now() - at; took > 400*millisecond {
			t.Errorf("%s was told after %d ms", step.want, took/1000)
		}
	}
	if s := c.Status(); s.Fulls != 1 || s.Mismatches != 0 || s.Failures != 0 || s.Server != "http://10.0.0.1:8761/eureka" {
		t.Errorf("status %+v, calls %v, log %q", s, r.paths(), f.log)
	}
}

func TestRepeatedDeltaTellsNothingNew(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	f.follow(options(r))
	f.waitHeard(second, "the list", full)
	fl.set("a", "DOWN")
	fl.set("bb", "")
	f.waitHeard(second, "the drain", told("a draining"))
	from := len(f.events)
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if h, ok := e.(*endpoints.SourceUpdate); !ok || h.Full || len(h.Claims) > 0 {
			t.Fatalf("told %+v", e)
		}
	}
	if len(f.events)-from < 20 {
		t.Errorf("%d signs of life in 10 s", len(f.events)-from)
	}
}

func TestHashMismatchTakesTheFullList(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb", "ccc")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	f.waitHeard(second, "the list", full)
	fl.set("bb", "DOWN")
	fl.changes = nil // that delta is lost
	h := f.waitHeard(second, "the full list", full)
	if got := words(h.Claims); got != "a up, bb draining (DOWN), ccc up" {
		t.Errorf("told %s", got)
	}
	if s := c.Status(); s.Mismatches != 1 {
		t.Errorf("%d mismatches", s.Mismatches)
	}
	f.after(5 * second)
	if s := c.Status(); s.Fulls != 2 {
		t.Errorf("%d full lists", s.Fulls)
	}
}

func TestDeltasThatNeverAddUpAreLeftAloneForAWhile(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", func(a asked) answer {
		got := fl.script(a)
		if a.path == "/apps/delta" {
			got.body = list(1, nil, nil)
		}
		return got
	})
	f.follow(options(r))
	f.after(50 * second)
	deltas := 0
	for _, path := range r.paths() {
		if path == "/apps/delta" {
			deltas++
		}
	}
	if deltas != mostStrikes {
		t.Errorf("%d deltas in 50 s", deltas)
	}
	if n := len(r.calls); n > 50*1000/240+1 {
		t.Errorf("%d calls in 50 s", n)
	}
	fl.set("a", "DOWN")
	f.waitHeard(second, "the drain", told("a draining"))
}

func TestOldDeltaTakesNoBadNewsBack(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	old := ""
	r := f.registry("r", "10.0.0.1", func(a asked) answer {
		if old != "" {
			return answer{status: 200, body: old}
		}
		return fl.script(a)
	})
	f.follow(options(r))
	f.waitHeard(second, "the list", full)
	fl.set("a", "UP")
	f.waitHeard(second, "a delta", func(h *endpoints.SourceUpdate) bool { return !h.Full })
	kept := list(fl.version, fl.nodes, fl.changes)
	fl.set("a", "DOWN")
	f.waitHeard(second, "the drain", told("a draining"))
	fl.set("bb", "")
	f.waitHeard(second, "the departure", told("bb removed"))
	from := len(f.events)
	old = kept // as another server behind the same address that lags
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if h, ok := e.(*endpoints.SourceUpdate); ok && (told("a up")(h) || told("bb up")(h)) {
			t.Fatalf("told %s", words(h.Claims))
		}
	}
	f.waitHeard(lag+second, "the word of a registry that keeps to it", told("a up"))
}

func TestDeltaOfALowerVersionTakesTheFullList(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	fl.version = 100
	f.after(2 * second)
	fl.version = 5 // another process, or a kept answer
	f.after(2 * second)
	if s := c.Status(); s.Fulls != 2 || s.Mismatches != 1 {
		t.Errorf("status %+v", s)
	}
}

// TestChangeThatTheHashCodeDoesNotTell is one that leaves as many instances of each status as before.
func TestChangeThatTheHashCodeDoesNotTellIsFoundByTheNextFullList(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	fl.set("bb", "DOWN")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.FullEvery = 10 * second
	f.follow(o)
	f.waitHeard(second, "the list", full)
	fl.set("a", "DOWN")
	fl.set("bb", "UP")
	fl.changes = nil
	f.waitHeard(11*second, "both", told("a draining (DOWN), bb up"))
}

func TestFullListAfterALongSilence(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.FullEvery = 60 * minute
	c := f.follow(o)
	f.after(2 * minute)
	if n := c.Status().Fulls; n != 1 {
		t.Fatalf("%d full lists", n)
	}
	f.client.Stall(4 * minute) // as long as servers keep changes
	f.after(4*minute + second)
	if s := c.Status(); s.Fulls != 2 || s.Failures != 0 {
		t.Errorf("status %+v", s)
	}
}

func TestLargeApplicationIsFollowedByDeltas(t *testing.T) {
	f, fl := newField(t), newFleet(manyIDs(100)...)
	whole := true
	r := f.registry("r", "10.0.0.1", func(a asked) answer {
		if a.path == "/apps" && !whole {
			return answer{status: 500}
		}
		return fl.script(a)
	})
	o := options(r)
	o.Application = "CACHE"
	f.follow(o)
	f.after(10 * second)
	if got := r.paths()[:4]; !slices.Equal(got, []string{"/apps/CACHE", "/apps", "/apps/delta", "/apps/delta"}) {
		t.Errorf("calls %v", got)
	}
	whole = false // as where it has grown beyond the bounds
	fl.changes = []node{{id: "i1", status: "DOWN", updated: fl.clock + 1}}
	f.after(10 * second)
	from := len(r.calls)
	f.after(10 * second)
	if len(r.calls)-from < 20 || slices.ContainsFunc(r.paths()[from:], func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("calls %v", r.paths()[from:])
	}
}

func TestRegistryWithoutDeltasIsAskedForWholeLists(t *testing.T) {
	for _, status := range []int{403, 404} {
		f, fl := newField(t), newFleet("a", "bb")
		r := f.registry("r", "10.0.0.1", func(a asked) answer {
			if a.path == "/apps/delta" {
				return answer{status: status}
			}
			return fl.script(a)
		})
		f.follow(options(r))
		f.after(20 * second)
		fl.set("bb", "STARTING")
		f.waitHeard(500*millisecond, "the drain", told("bb draining (STARTING)"))
		if f.losts() > 0 || !slices.Equal(r.paths()[:3], []string{"/apps", "/apps/delta", "/apps"}) ||
			slices.Contains(r.paths()[2:], "/apps/delta") {
			t.Errorf("after %d: %d times lost, %v", status, f.losts(), r.paths()[:4])
		}
	}
}

func TestOneApplicationIsAskedForAlone(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application = "cache"
	f.follow(o)
	f.waitHeard(second, "the list", full)
	fl.set("a", "OUT_OF_SERVICE")
	f.waitHeard(500*millisecond, "the drain", told("a draining"))
	fl.set("a", "")
	fl.set("bb", "")
	h := f.waitHeard(500*millisecond, "the empty list", func(h *endpoints.SourceUpdate) bool { return h.Full && len(h.Claims) == 0 })
	if h.Repeat || f.losts() > 0 || slices.ContainsFunc(r.paths(), func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("%d times lost, calls %v", f.losts(), r.paths())
	}
}

func TestWholeListThatStaysTheSameIsASignOfLifeOnly(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Delta = DeltaNever
	f.follow(o)
	f.waitHeard(second, "the list", full)
	f.after(10 * second)
	for _, e := range f.events[1:] {
		if h, ok := e.(*endpoints.SourceUpdate); !ok || h.Full || len(h.Claims) > 0 {
			t.Fatalf("told %+v", e)
		}
	}
	if len(f.events) < 25 {
		t.Errorf("%d events in 10 s", len(f.events))
	}
}

func TestUnknownApplicationIsNoEmptyList(t *testing.T) {
	f, fl := newField(t), newFleet("a")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application = "CASH"
	f.follow(o)
	f.after(5 * second)
	if f.losts() != 1 || len(f.events) != 1 {
		t.Errorf("events %v", f.events)
	}
}

func TestDeltasOfOtherApplicationsAreLeftOut(t *testing.T) {
	f, fl := newField(t), newFleet("a", "bb")
	fl.nodes = append(fl.nodes, node{id: "x", status: "UP", updated: fl.clock, app: "OTHER"})
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application, o.Delta = "CACHE", DeltaAlways
	c := f.follow(o)
	if got := words(f.waitHeard(second, "the list", full).Claims); got != "a up, bb up" {
		t.Errorf("told %s", got)
	}
	fl.nodes[2].status, fl.nodes[2].updated = "DOWN", fl.clock+1
	fl.changes = append(fl.changes, fl.nodes[2])
	fl.version++
	f.after(second)
	fl.set("bb", "DOWN")
	f.waitHeard(500*millisecond, "the drain", told("bb draining"))
	if s := c.Status(); s.Fulls != 1 || s.Mismatches != 0 {
		t.Errorf("status %+v", s)
	}
	for _, e := range f.events {
		if h, ok := e.(*endpoints.SourceUpdate); ok && strings.Contains(words(h.Claims), "x") {
			t.Errorf("told %s", words(h.Claims))
		}
	}
}

func TestVirtualAddressPicksInstances(t *testing.T) {
	f, fl := newField(t), newFleet("a")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.VIP = "cache"
	f.follow(o)
	if got := words(f.waitHeard(second, "the list", full).Claims); got != "a up" || r.calls[0].path != "/vips/cache" {
		t.Errorf("told %s, asked for %v", got, r.paths())
	}
}

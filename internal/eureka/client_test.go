package eureka

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/endpoints"
)

// hasClaim matches an update with this text among its claims.
func hasClaim(want string) func(h *endpoints.SourceUpdate) bool {
	return func(h *endpoints.SourceUpdate) bool { return strings.Contains(claimTexts(h.Claims), want) }
}

func TestFullListThenDeltas(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	h := f.waitUpdate(second, "the list", isFull)
	if got := claimTexts(h.Claims); got != "a up, bb up" {
		t.Errorf("reported %s", got)
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
		h := f.waitUpdate(second, step.want, hasClaim(step.want))
		if claimTexts(h.Claims) != step.want || h.Full {
			t.Errorf("reported %s (full: %v), want %s", claimTexts(h.Claims), h.Full, step.want)
		}
		if took := f.Now() - at; took > 400*millisecond {
			t.Errorf("%s was reported after %d ms", step.want, took/1000)
		}
	}
	if s := c.Status(); s.FullCalls != 1 || s.Mismatches != 0 || s.Failures != 0 || s.Server != "http://10.0.0.1:8761/eureka" {
		t.Errorf("status %+v, calls %v, log %q", s, r.paths(), f.log)
	}
}

func TestRepeatedDeltaReportsNoClaims(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fl.set("a", "DOWN")
	fl.set("bb", "")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
	from := len(f.events)
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if h, ok := e.(*endpoints.SourceUpdate); !ok || h.Full || len(h.Claims) > 0 {
			t.Fatalf("reported %+v", e)
		}
	}
	if len(f.events)-from < 20 {
		t.Errorf("%d updates in 10 s", len(f.events)-from)
	}
}

func TestHashMismatchFetchesFullList(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb", "ccc")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fl.set("bb", "DOWN")
	fl.changes = nil // the delta that has it is lost
	h := f.waitUpdate(second, "the full list", isFull)
	if got := claimTexts(h.Claims); got != "a up, bb draining (DOWN), ccc up" {
		t.Errorf("reported %s", got)
	}
	if s := c.Status(); s.Mismatches != 1 {
		t.Errorf("%d mismatches", s.Mismatches)
	}
	f.after(5 * second)
	if s := c.Status(); s.FullCalls != 2 {
		t.Errorf("%d full lists", s.FullCalls)
	}
}

func TestInconsistentDeltasAreNotPolledForAWhile(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", func(a request) response {
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
	if deltas != maxDeltaMismatches {
		t.Errorf("%d deltas in 50 s", deltas)
	}
	if n := len(r.calls); n > 50*1000/240+1 {
		t.Errorf("%d calls in 50 s", n)
	}
	fl.set("a", "DOWN")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
}

func TestOutdatedDeltaRevertsNoDrain(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	old := ""
	r := f.registry("r", "10.0.0.1", func(a request) response {
		if old != "" {
			return response{status: 200, body: old}
		}
		return fl.script(a)
	})
	f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fl.set("a", "UP")
	f.waitUpdate(second, "a delta", func(h *endpoints.SourceUpdate) bool { return !h.Full })
	outdated := list(fl.version, fl.nodes, fl.changes)
	fl.set("a", "DOWN")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
	fl.set("bb", "")
	f.waitUpdate(second, "the departure", hasClaim("bb removed"))
	from := len(f.events)
	old = outdated // as from another server behind the same address that lags
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if h, ok := e.(*endpoints.SourceUpdate); ok && (hasClaim("a up")(h) || hasClaim("bb up")(h)) {
			t.Fatalf("reported %s", claimTexts(h.Claims))
		}
	}
	f.waitUpdate(maxReplicationLag+second, "the list of a registry that goes on to send it", hasClaim("a up"))
}

func TestDeltaOfLowerVersionFetchesFullList(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	c := f.follow(options(r))
	fl.version = 100
	f.after(2 * second)
	fl.version = 5 // another process, or a cached response
	f.after(2 * second)
	if s := c.Status(); s.FullCalls != 2 || s.Mismatches != 1 {
		t.Errorf("status %+v", s)
	}
}

// TestFullListFindsChangeThatHashCodeMisses: the change leaves as many instances of each status as before.
func TestFullListFindsChangeThatHashCodeMisses(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	fl.set("bb", "DOWN")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.FullListInterval = 10 * second
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	fl.set("a", "DOWN")
	fl.set("bb", "UP")
	fl.changes = nil
	f.waitUpdate(11*second, "both", hasClaim("a draining (DOWN), bb up"))
}

func TestLongGapFetchesFullList(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.FullListInterval = 60 * minute
	c := f.follow(o)
	f.after(2 * minute)
	if n := c.Status().FullCalls; n != 1 {
		t.Fatalf("%d full lists", n)
	}
	f.client.Stall(4 * minute) // as long as servers keep changes
	f.after(4*minute + second)
	if s := c.Status(); s.FullCalls != 2 || s.Failures != 0 {
		t.Errorf("status %+v", s)
	}
}

func TestLargeApplicationIsFollowedByDeltas(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet(numberedIDs(100)...)
	whole := true
	r := f.registry("r", "10.0.0.1", func(a request) response {
		if a.path == "/apps" && !whole {
			return response{status: 500}
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
	fl.changes = []scriptedInstance{{id: "i1", status: "DOWN", updated: fl.clock + 1}}
	f.after(10 * second)
	from := len(r.calls)
	f.after(10 * second)
	if len(r.calls)-from < 20 || slices.ContainsFunc(r.paths()[from:], func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("calls %v", r.paths()[from:])
	}
}

func TestRegistryWithoutDeltasIsPolledForFullLists(t *testing.T) {
	for _, status := range []int{403, 404} {
		f, fl := newRig(t), newScriptedFleet("a", "bb")
		r := f.registry("r", "10.0.0.1", func(a request) response {
			if a.path == "/apps/delta" {
				return response{status: status}
			}
			return fl.script(a)
		})
		f.follow(options(r))
		f.after(20 * second)
		fl.set("bb", "STARTING")
		f.waitUpdate(500*millisecond, "the drain", hasClaim("bb draining (STARTING)"))
		if f.unavailableEvents() > 0 || !slices.Equal(r.paths()[:3], []string{"/apps", "/apps/delta", "/apps"}) ||
			slices.Contains(r.paths()[2:], "/apps/delta") {
			t.Errorf("after %d: %d times unavailable, %v", status, f.unavailableEvents(), r.paths()[:4])
		}
	}
}

func TestApplicationFilterPollsThatApplicationOnly(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application = "cache"
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	fl.set("a", "OUT_OF_SERVICE")
	f.waitUpdate(500*millisecond, "the drain", hasClaim("a draining"))
	fl.set("a", "")
	fl.set("bb", "")
	h := f.waitUpdate(500*millisecond, "the empty list", func(h *endpoints.SourceUpdate) bool { return h.Full && len(h.Claims) == 0 })
	if h.Repeat || f.unavailableEvents() > 0 || slices.ContainsFunc(r.paths(), func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("%d times unavailable, calls %v", f.unavailableEvents(), r.paths())
	}
}

func TestUnchangedFullListReportsNoClaims(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Delta = DeltaNever
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	f.after(10 * second)
	for _, e := range f.events[1:] {
		if h, ok := e.(*endpoints.SourceUpdate); !ok || h.Full || len(h.Claims) > 0 {
			t.Fatalf("reported %+v", e)
		}
	}
	if len(f.events) < 25 {
		t.Errorf("%d events in 10 s", len(f.events))
	}
}

func TestUnknownApplicationIsNotAnEmptyList(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application = "CASH"
	f.follow(o)
	f.after(5 * second)
	if f.unavailableEvents() != 1 || len(f.events) != 1 {
		t.Errorf("events %v", f.events)
	}
}

func TestDeltasOfOtherApplicationsAreDropped(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a", "bb")
	fl.nodes = append(fl.nodes, scriptedInstance{id: "x", status: "UP", updated: fl.clock, app: "OTHER"})
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.Application, o.Delta = "CACHE", DeltaAlways
	c := f.follow(o)
	if got := claimTexts(f.waitUpdate(second, "the list", isFull).Claims); got != "a up, bb up" {
		t.Errorf("reported %s", got)
	}
	fl.nodes[2].status, fl.nodes[2].updated = "DOWN", fl.clock+1
	fl.changes = append(fl.changes, fl.nodes[2])
	fl.version++
	f.after(second)
	fl.set("bb", "DOWN")
	f.waitUpdate(500*millisecond, "the drain", hasClaim("bb draining"))
	if s := c.Status(); s.FullCalls != 1 || s.Mismatches != 0 {
		t.Errorf("status %+v", s)
	}
	for _, e := range f.events {
		if h, ok := e.(*endpoints.SourceUpdate); ok && strings.Contains(claimTexts(h.Claims), "x") {
			t.Errorf("reported %s", claimTexts(h.Claims))
		}
	}
}

func TestVIPFilterSelectsInstances(t *testing.T) {
	f, fl := newRig(t), newScriptedFleet("a")
	r := f.registry("r", "10.0.0.1", fl.script)
	o := options(r)
	o.VIP = "cache"
	f.follow(o)
	if got := claimTexts(f.waitUpdate(second, "the list", isFull).Claims); got != "a up" || r.calls[0].path != "/vips/cache" {
		t.Errorf("reported %s, paths %v", got, r.paths())
	}
}

package eureka

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/internal/endpoints"
)

// hasClaim returns a function that reports whether an update has a claim with this text.
func hasClaim(want string) func(update *endpoints.SourceUpdate) bool {
	return func(update *endpoints.SourceUpdate) bool { return strings.Contains(claimTexts(update.Claims), want) }
}

func TestFullListThenDeltas(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	c := f.follow(options(r))
	update := f.waitUpdate(second, "the list", isFull)
	if got := claimTexts(update.Claims); got != "a up, bb up" {
		t.Errorf("reported %s, want a up, bb up", got)
	}
	if e := update.Claims[0]; e.Address != "10.1.0.1:6379" || e.Endpoint.Zone != "z1" || e.Endpoint.Cell != 3 || e.Endpoint.Weight != 1.5 ||
		e.LastSeen != 1_750_000_000*second {
		t.Errorf("got claim %+v", e)
	}
	for _, step := range []struct{ id, status, want string }{
		{"bb", "OUT_OF_SERVICE", "bb draining (OUT_OF_SERVICE)"},
		{"ccc", "UP", "ccc up"},
		{"bb", "UP", "bb up"},
		{"a", "DOWN", "a draining (DOWN)"},
		{"a", "", "a removed (DELETED)"},
	} {
		at := f.Now()
		fleet.set(step.id, step.status)
		update := f.waitUpdate(second, step.want, hasClaim(step.want))
		if claimTexts(update.Claims) != step.want || update.Full {
			t.Errorf("reported %s (full: %v), want %s", claimTexts(update.Claims), update.Full, step.want)
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
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fleet.set("a", "DOWN")
	fleet.set("bb", "")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
	from := len(f.events)
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if update, ok := e.(*endpoints.SourceUpdate); !ok || update.Full || len(update.Claims) > 0 {
			t.Fatalf("reported %+v", e)
		}
	}
	if len(f.events)-from < 20 {
		t.Errorf("%d updates in 10 s, want at least 20", len(f.events)-from)
	}
}

func TestHashMismatchFetchesFullList(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb", "ccc")
	r := f.registry("r", "10.0.0.1", fleet.script)
	c := f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fleet.set("bb", "DOWN")
	fleet.changes = nil // deltas don't hold the change
	update := f.waitUpdate(second, "the full list", isFull)
	if got := claimTexts(update.Claims); got != "a up, bb draining (DOWN), ccc up" {
		t.Errorf("reported %s", got)
	}
	if s := c.Status(); s.Mismatches != 1 {
		t.Errorf("%d mismatches, want 1", s.Mismatches)
	}
	f.after(5 * second)
	if s := c.Status(); s.FullCalls != 2 {
		t.Errorf("%d calls for a full list, want 2", s.FullCalls)
	}
}

func TestInconsistentDeltasPauseDeltaPolling(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", func(a request) response {
		got := fleet.script(a)
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
		t.Errorf("%d calls for deltas in 50 s, want %d", deltas, maxDeltaMismatches)
	}
	if n := len(r.calls); n > 50*1000/240+1 {
		t.Errorf("%d calls in 50 s, want at most %d", n, 50*1000/240+1)
	}
	fleet.set("a", "DOWN")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
}

func TestOutdatedDeltaRevertsNoDrain(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	staleBody := ""
	r := f.registry("r", "10.0.0.1", func(a request) response {
		if staleBody != "" {
			return response{status: 200, body: staleBody}
		}
		return fleet.script(a)
	})
	f.follow(options(r))
	f.waitUpdate(second, "the list", isFull)
	fleet.set("a", "UP")
	f.waitUpdate(second, "a delta", func(update *endpoints.SourceUpdate) bool { return !update.Full })
	outdated := list(fleet.version, fleet.nodes, fleet.changes)
	fleet.set("a", "DOWN")
	f.waitUpdate(second, "the drain", hasClaim("a draining"))
	fleet.set("bb", "")
	f.waitUpdate(second, "the removal", hasClaim("bb removed"))
	from := len(f.events)
	staleBody = outdated // as from a lagging server behind the same address
	f.after(10 * second)
	for _, e := range f.events[from:] {
		if update, ok := e.(*endpoints.SourceUpdate); ok && (hasClaim("a up")(update) || hasClaim("bb up")(update)) {
			t.Fatalf("reported %s", claimTexts(update.Claims))
		}
	}
	f.waitUpdate(maxReplicationLag+second, "the outdated status after the replication lag", hasClaim("a up"))
}

func TestDeltaOfLowerVersionFetchesFullList(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	c := f.follow(options(r))
	fleet.version = 100
	f.after(2 * second)
	fleet.version = 5 // as from a restarted server or a cached response
	f.after(2 * second)
	if s := c.Status(); s.FullCalls != 2 || s.Mismatches != 1 {
		t.Errorf("status %+v, want 2 calls for a full list and 1 mismatch", s)
	}
}

// TestFullListFindsChangeThatHashCodeMisses covers a change that leaves the number of instances of each status, and so the hash
// code, the same.
func TestFullListFindsChangeThatHashCodeMisses(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	fleet.set("bb", "DOWN")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.FullListInterval = 10 * second
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	fleet.set("a", "DOWN")
	fleet.set("bb", "UP")
	fleet.changes = nil
	f.waitUpdate(11*second, "both changes", hasClaim("a draining (DOWN), bb up"))
}

func TestLongGapFetchesFullList(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.FullListInterval = 60 * minute
	c := f.follow(o)
	f.after(2 * minute)
	if n := c.Status().FullCalls; n != 1 {
		t.Fatalf("%d calls for a full list, want 1", n)
	}
	f.client.Stall(4 * minute) // servers forget changes after 3 min
	f.after(4*minute + second)
	if s := c.Status(); s.FullCalls != 2 || s.Failures != 0 {
		t.Errorf("status %+v, want 2 calls for a full list and no failure", s)
	}
}

func TestLargeApplicationIsFollowedByDeltas(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet(numberedIDs(100)...)
	hasFullList := true
	r := f.registry("r", "10.0.0.1", func(a request) response {
		if a.path == "/apps" && !hasFullList {
			return response{status: 500}
		}
		return fleet.script(a)
	})
	o := options(r)
	o.Application = "CACHE"
	f.follow(o)
	f.after(10 * second)
	if got := r.paths()[:4]; !slices.Equal(got, []string{"/apps/CACHE", "/apps", "/apps/delta", "/apps/delta"}) {
		t.Errorf("first calls %v, want the application, the full list, then deltas", got)
	}
	hasFullList = false // as if the full list exceeded the size bounds
	fleet.changes = []scriptedInstance{{id: "i1", status: "DOWN", updated: fleet.clock + 1}}
	f.after(10 * second)
	from := len(r.calls)
	f.after(10 * second)
	if len(r.calls)-from < 20 || slices.ContainsFunc(r.paths()[from:], func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("calls %v, want at least 20, all for /apps/CACHE", r.paths()[from:])
	}
}

func TestRegistryWithoutDeltasIsPolledForFullLists(t *testing.T) {
	for _, status := range []int{403, 404} {
		f, fleet := newFixture(t), newScriptedFleet("a", "bb")
		r := f.registry("r", "10.0.0.1", func(a request) response {
			if a.path == "/apps/delta" {
				return response{status: status}
			}
			return fleet.script(a)
		})
		f.follow(options(r))
		f.after(20 * second)
		fleet.set("bb", "STARTING")
		f.waitUpdate(500*millisecond, "the drain", hasClaim("bb draining (STARTING)"))
		if f.unavailableEvents() > 0 || !slices.Equal(r.paths()[:3], []string{"/apps", "/apps/delta", "/apps"}) ||
			slices.Contains(r.paths()[2:], "/apps/delta") {
			t.Errorf("after HTTP %d: %d times unavailable, calls %v", status, f.unavailableEvents(), r.paths()[:4])
		}
	}
}

func TestApplicationFilterPollsThatApplicationOnly(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.Application = "cache"
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	fleet.set("a", "OUT_OF_SERVICE")
	f.waitUpdate(500*millisecond, "the drain", hasClaim("a draining"))
	fleet.set("a", "")
	fleet.set("bb", "")
	isEmpty := func(update *endpoints.SourceUpdate) bool { return update.Full && len(update.Claims) == 0 }
	update := f.waitUpdate(500*millisecond, "the empty list", isEmpty)
	if update.Confirmation || f.unavailableEvents() > 0 || slices.ContainsFunc(r.paths(), func(p string) bool { return p != "/apps/CACHE" }) {
		t.Errorf("repeat %v, %d times unavailable, calls %v", update.Confirmation, f.unavailableEvents(), r.paths())
	}
}

func TestUnchangedFullListReportsNoClaims(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.Delta = DeltaNever
	f.follow(o)
	f.waitUpdate(second, "the list", isFull)
	f.after(10 * second)
	for _, e := range f.events[1:] {
		if update, ok := e.(*endpoints.SourceUpdate); !ok || update.Full || len(update.Claims) > 0 {
			t.Fatalf("reported %+v", e)
		}
	}
	if len(f.events) < 25 {
		t.Errorf("%d events in 10 s, want at least 25", len(f.events))
	}
}

func TestUnknownApplicationIsNotAnEmptyList(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.Application = "CASH"
	f.follow(o)
	f.after(5 * second)
	if f.unavailableEvents() != 1 || len(f.events) != 1 {
		t.Errorf("events %v, want one SourceUnavailable", f.events)
	}
}

func TestDeltasOfOtherApplicationsAreDropped(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a", "bb")
	fleet.nodes = append(fleet.nodes, scriptedInstance{id: "x", status: "UP", updated: fleet.clock, app: "OTHER"})
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.Application, o.Delta = "CACHE", DeltaAlways
	c := f.follow(o)
	if got := claimTexts(f.waitUpdate(second, "the list", isFull).Claims); got != "a up, bb up" {
		t.Errorf("reported %s", got)
	}
	fleet.nodes[2].status, fleet.nodes[2].updated = "DOWN", fleet.clock+1
	fleet.changes = append(fleet.changes, fleet.nodes[2])
	fleet.version++
	f.after(second)
	fleet.set("bb", "DOWN")
	f.waitUpdate(500*millisecond, "the drain", hasClaim("bb draining"))
	if s := c.Status(); s.FullCalls != 1 || s.Mismatches != 0 {
		t.Errorf("status %+v", s)
	}
	for _, e := range f.events {
		if update, ok := e.(*endpoints.SourceUpdate); ok && strings.Contains(claimTexts(update.Claims), "x") {
			t.Errorf("reported %s, want nothing on x", claimTexts(update.Claims))
		}
	}
}

func TestVIPFilterSelectsInstances(t *testing.T) {
	f, fleet := newFixture(t), newScriptedFleet("a")
	r := f.registry("r", "10.0.0.1", fleet.script)
	o := options(r)
	o.VIP = "cache"
	f.follow(o)
	if got := claimTexts(f.waitUpdate(second, "the list", isFull).Claims); got != "a up" || r.calls[0].path != "/vips/cache" {
		t.Errorf("reported %s, paths %v", got, r.paths())
	}
}

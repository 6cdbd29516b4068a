package router

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestUnreadableEntryKeepsEndpoint applies a full list with an invalid entry. The router must keep the cache of that entry,
// because the list names it.
func TestUnreadableEntryKeepsEndpoint(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	r.applyList(2, true, host("c1", "cache.example.org:1", "in_service"), host("c2", cache.Addr(), "terminating"))
	r.Do(func() {
		if h := r.r.endpoints["c1"]; h == nil || h.entry.Status != decide.Serving || h.address != cache.Addr() {
			t.Errorf("got %+v for c1, want the serving endpoint of the first list", h)
		}
		if h := r.r.endpoints["c2"]; h == nil || h.entry.Status == decide.Serving {
			t.Errorf("got %+v for c2, want a draining endpoint", h)
		}
	})
	r.applyList(3, true, host("c2", cache.Addr(), "in_service"))
	r.Do(func() {
		if r.r.endpoints["c1"] != nil {
			t.Error("c1 is still listed after a full list without it")
		}
	})
}

// steppingMachine is a machine whose system clock the test sets.
type steppingMachine struct {
	machine.Machine
	wall atomic.Int64
}

func (m *steppingMachine) Wall() Time { return m.wall.Load() }

// newSteppedClockRouter returns a scripted router and the system clock of its machine, which the test sets.
func newSteppedClockRouter(t *testing.T, addr string) (r *scriptedRouter, wall *atomic.Int64) {
	r = newScriptedRouter(t, addr, nil)
	m := &steppingMachine{Machine: r.Loop}
	r.Do(func() {
		m.wall.Store(r.Now())
		r.r.m = m
	})
	return r, &m.wall
}

// withStart returns the line of a cache with another start time.
func withStart(line string, at decide.Time) string {
	return strings.Replace(line, `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, at/1000), 1)
}

// TestClockStepKeepsEndpointAge steps the system clock. A known cache must keep its age, and a new cache must have the age
// between its listed start and the new clock.
func TestClockStepKeepsEndpointAge(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := newSteppedClockRouter(t, cache.Addr())
	const hour = 3600 * 1_000_000
	started := wall.Load() - 5_000_000
	startOf := func(name string) (at decide.Time) {
		r.Do(func() { at = r.r.endpoints[name].entry.StartedAt })
		return at
	}
	r.applyList(2, false, withStart(host("c2", cache.Addr(), "in_service"), started))
	before := startOf("c2")
	for step, by := range []decide.Time{hour, -2 * hour} {
		wall.Add(by)
		r.applyList(3+step, false, withStart(host("c2", cache.Addr(), "in_service"), started))
		if got := startOf("c2"); got != before {
			t.Errorf("clock step of %d us moved the start of a known cache by %d us, want 0", by, got-before)
		}
		name := fmt.Sprint("n", step)
		r.applyList(5+step, false, withStart(host(name, cache.Addr(), "in_service"), wall.Load()-2_000_000))
		age := decide.Time(0)
		r.Do(func() { age = r.Now() - r.r.endpoints[name].entry.StartedAt })
		if age < 1_990_000 || age > 60_000_000 {
			t.Errorf("after a clock step of %d us, a cache that started 2 s ago has age %d us", by, age)
		}
	}
}

// TestClockStepKeepsStartedCacheInSlowStart steps the clock of the router's machine alone. A cache that starts after the step
// must be young enough to be in slow start.
func TestClockStepKeepsStartedCacheInSlowStart(t *testing.T) {
	const hour = 3600 * 1_000_000
	for _, by := range []decide.Time{hour, -hour, 5_000_000, -5_000_000} {
		cache := newFakeCache(t)
		r, wall := newSteppedClockRouter(t, cache.Addr())
		started := wall.Load() - 2_000_000
		wall.Add(by)
		r.applyList(2, false, withStart(host("c2", cache.Addr(), "in_service"), started))
		r.Do(func() {
			if age := r.Now() - r.r.endpoints["c2"].entry.StartedAt; age < 0 || age > 60_000_000 {
				t.Errorf("after a clock step of %d us, a cache that started 2 s ago has age %d us", by, age)
			}
		})
	}
}

// TestFutureStartCountsAsNow lists a cache that starts in the future: the start counts as now until a list corrects it.
func TestFutureStartCountsAsNow(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := newSteppedClockRouter(t, cache.Addr())
	r.applyList(2, false, withStart(host("c2", cache.Addr(), "in_service"), wall.Load()+3600*1_000_000))
	r.Do(func() {
		if at := r.r.endpoints["c2"].entry.StartedAt; at > r.Now() {
			t.Errorf("start is %d us in the future, want now at the latest", at-r.Now())
		}
	})
	r.applyList(3, false, host("c2", cache.Addr(), "in_service"))
	r.Do(func() {
		if at := r.r.endpoints["c2"].entry.StartedAt; at != 0 {
			t.Errorf("got start %d after the correction, want 0", at)
		}
	})
}

// TestLargeListAppliedInPieces checks that the router applies a large list over several turns, with drains and removals first,
// so that other work runs between the turns.
func TestLargeListAppliedInPieces(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	const caches = 4 * maxEndpointsPerTurn
	var lines []string
	for i := range caches {
		lines = append(lines, host(fmt.Sprint("n", i), cache.Addr(), "in_service"))
	}
	lines = append(lines, host("c1", cache.Addr(), "terminating"))
	h := parse(t, hosts(2, true, lines...))
	r.Do(func() {
		r.r.sources.ApplyDiscovery(h)
		if r.isServing("c1") {
			t.Error("the drain of c1 was not applied in the first turn")
		}
		if n := len(r.r.endpoints); n > maxEndpointsPerTurn+1 {
			t.Errorf("%d caches are known after one turn, want at most %d", n, maxEndpointsPerTurn+1)
		}
	})
	// The pending rest of the older list must not undo a newer list.
	r.applyList(3, false, host("n1999", cache.Addr(), "terminating"))
	r.Until("end of the pending lists", func() bool { return len(r.r.pendingLists) == 0 })
	r.Do(func() {
		if n := len(r.r.endpoints); n != caches+1 {
			t.Errorf("%d caches are known, want %d", n, caches+1)
		}
		if r.isServing("n1999") {
			t.Error("the rest of the older list replaced the newer drain of n1999")
		}
	})
	r.applyList(4, true, host("c1", cache.Addr(), "in_service"))
	r.Until("removal of all other caches", func() bool { return len(r.r.endpoints) == 1 })
}

// TestEndpointChangesLogged checks that the router logs each change of an endpoint with its cause.
func TestEndpointChangesLogged(t *testing.T) {
	cache := newFakeCache(t)
	lines := make(routertest.Lines, 1000)
	r := newLoggedScriptedRouter(t, cache.Addr(), nil, lines)
	const noServingEndpoint = `msg="no serving endpoint left"`
	want := func(text string) {
		t.Helper()
		for {
			line := strings.TrimRight(receive(t, lines, "line"), "\n")
			_, got, ok := strings.Cut(line, `msg="endpoint `)
			if strings.Contains(line, noServingEndpoint) {
				got, ok = noServingEndpoint, true
			}
			if !ok || strings.HasPrefix(got, "source ") {
				continue // the line is about a call of discovery
			}
			if got != text {
				t.Errorf("logged %q, want %q", got, text)
			}
			return
		}
	}
	status := func(endpoint, status, reason string) string {
		return fmt.Sprintf("status changed\" endpoint=%s status=%s source=discovery reason=%s", endpoint, status, reason)
	}
	want(status("c1", "serving", "in_service"))
	r.applyList(2, false, host("c2", cache.Addr(), "in_service"), host("c1", cache.Addr(), "terminating"))
	want(status("c1", "draining", "terminating")) // before c2, though c2 comes first in the list
	want(status("c2", "serving", "in_service"))
	r.applyList(3, true, host("c1", cache.Addr(), "terminating"))
	want(noServingEndpoint)
	want(status("c2", "removed", `"left out of its list"`))
	r.applyList(4, true, host("c1", cache.Addr(), "in_service"))
	want(status("c1", "serving", "in_service"))
}

// TestDrainAtEndOfLargeListAppliedInSameTurn lists a drain as the last of many entries. A Send to that cache in the same turn
// must have the result NotSent.
func TestDrainAtEndOfLargeListAppliedInSameTurn(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	q := r.sendRead()
	var lines []string
	for i := range 200 {
		lines = append(lines, host(fmt.Sprintf("b%03d", i), "127.0.0.1:1", "in_service"))
	}
	list := parse(t, hosts(9, true, append(lines, host("c1", cache.Addr(), "terminating"))...))
	r.Do(func() {
		r.r.sources.ApplyDiscovery(list)
		r.r.perform(decide.Send{ID: q.id, Cache: "c1"})
		r.r.ProcessEvents()
	})
	r.wantResult(decide.NotSent)
	select {
	case <-cache.Commands:
		t.Error("the draining cache received a command")
	default:
	}
	r.Do(func() {
		if len(r.r.endpoints) != 201 {
			t.Errorf("%d caches are known, want 201", len(r.r.endpoints))
		}
	})
}

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

// TestUnreadableEntryKeepsEndpoint lists an entry that is not valid in a full list: its cache is not removed, as the
// list names it.
func TestUnreadableEntryKeepsEndpoint(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.list(2, true, host("c1", "cache.example.org:1", "in_service"), host("c2", cache.Addr(), "terminating"))
	r.Do(func() {
		if h := r.r.endpoints["c1"]; h == nil || h.entry.Status != decide.Serving || h.address != cache.Addr() {
			t.Errorf("c1 is %+v", h)
		}
		if h := r.r.endpoints["c2"]; h == nil || h.entry.Status == decide.Serving {
			t.Errorf("c2 is %+v", h)
		}
	})
	r.list(3, true, host("c2", cache.Addr(), "in_service"))
	r.Do(func() {
		if r.r.endpoints["c1"] != nil {
			t.Error("c1, which the list leaves out, is still there")
		}
	})
}

// steppingMachine is a machine whose system clock the test sets.
type steppingMachine struct {
	machine.Machine
	wall atomic.Int64
}

func (m *steppingMachine) Wall() Time { return m.wall.Load() }

// steppedRig is a rig whose system clock the test sets.
func steppedRig(t *testing.T, addr string) (r *rig, wall *atomic.Int64) {
	r = newRig(t, addr, nil)
	m := &steppingMachine{Machine: r.Loop}
	r.Do(func() {
		m.wall.Store(r.Now())
		r.r.m = m
	})
	return r, &m.wall
}

func since(line string, at decide.Time) string {
	return strings.Replace(line, `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, at/1000), 1)
}

// TestClockStepKeepsEndpointAge steps the system clock: a known cache keeps its age, and a new one has the age that
// the list and the new clock give together.
func TestClockStepKeepsEndpointAge(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := steppedRig(t, cache.Addr())
	const hour = 3600 * 1_000_000
	started := wall.Load() - 5_000_000
	start := func(name string) (at decide.Time) {
		r.Do(func() { at = r.r.endpoints[name].entry.StartedAt })
		return at
	}
	r.list(2, false, since(host("c2", cache.Addr(), "in_service"), started))
	before := start("c2")
	for step, by := range []decide.Time{hour, -2 * hour} {
		wall.Add(by)
		r.list(3+step, false, since(host("c2", cache.Addr(), "in_service"), started))
		if got := start("c2"); got != before {
			t.Errorf("after a step of %d its start moved by %d", by, got-before)
		}
		name := fmt.Sprint("n", step)
		r.list(5+step, false, since(host(name, cache.Addr(), "in_service"), wall.Load()-2_000_000))
		age := decide.Time(0)
		r.Do(func() { age = r.Now() - r.r.endpoints[name].entry.StartedAt })
		if age < 1_990_000 || age > 60_000_000 {
			t.Errorf("after a step of %d a cache of 2 s is %d old", by, age)
		}
	}
}

// TestClockStepKeepsStartedCacheInSlowStart steps the clock of this machine alone; a cache that starts after that is
// in slow start.
func TestClockStepKeepsStartedCacheInSlowStart(t *testing.T) {
	const hour = 3600 * 1_000_000
	for _, by := range []decide.Time{hour, -hour, 5_000_000, -5_000_000} {
		cache := newFakeCache(t)
		r, wall := steppedRig(t, cache.Addr())
		started := wall.Load() - 2_000_000
		wall.Add(by)
		r.list(2, false, since(host("c2", cache.Addr(), "in_service"), started))
		r.Do(func() {
			if age := r.Now() - r.r.endpoints["c2"].entry.StartedAt; age < 0 || age > 60_000_000 {
				t.Errorf("after a step of %d a cache of 2 s is %d old", by, age)
			}
		})
	}
}

// TestFutureStartCountsAsNow lists a start in the future, which counts as now until the list corrects it.
func TestFutureStartCountsAsNow(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := steppedRig(t, cache.Addr())
	r.list(2, false, since(host("c2", cache.Addr(), "in_service"), wall.Load()+3600*1_000_000))
	r.Do(func() {
		if at := r.r.endpoints["c2"].entry.StartedAt; at > r.Now() {
			t.Errorf("it starts in %d", at-r.Now())
		}
	})
	r.list(3, false, host("c2", cache.Addr(), "in_service"))
	r.Do(func() {
		if at := r.r.endpoints["c2"].entry.StartedAt; at != 0 {
			t.Errorf("after the correction its start is %d", at)
		}
	})
}

// TestLargeListAppliedInPieces applies a large list over several turns, with other work between them, removals and
// drains first.
func TestLargeListAppliedInPieces(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	const caches = 4 * maxEndpointsPerTurn
	var lines []string
	for i := range caches {
		lines = append(lines, host(fmt.Sprint("n", i), cache.Addr(), "in_service"))
	}
	lines = append(lines, host("c1", cache.Addr(), "terminating"))
	h := parse(t, hosts(2, true, lines...))
	r.Do(func() {
		r.r.sources.ApplyDiscovery(h)
		if r.up("c1") {
			t.Error("the drain waits for the rest of the list")
		}
		if n := len(r.r.endpoints); n > maxEndpointsPerTurn+1 {
			t.Errorf("%d caches were taken in one turn", n)
		}
	})
	// A newer list that comes meanwhile is not overtaken by the rest of the old one.
	r.list(3, false, host("n1999", cache.Addr(), "terminating"))
	r.Until("the whole list", func() bool { return len(r.r.pendingLists) == 0 })
	r.Do(func() {
		if n := len(r.r.endpoints); n != caches+1 {
			t.Errorf("%d caches are known", n)
		}
		if r.up("n1999") {
			t.Error("the newer list was overtaken")
		}
	})
	r.list(4, true, host("c1", cache.Addr(), "in_service"))
	r.Until("the end of all others", func() bool { return len(r.r.endpoints) == 1 })
}

// TestEndpointChangesLogged logs each change of an endpoint with its cause.
func TestEndpointChangesLogged(t *testing.T) {
	cache := newFakeCache(t)
	lines := make(routertest.Lines, 1000)
	r := newLoggedRig(t, cache.Addr(), nil, lines)
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
				continue // of the calls, not of the endpoints
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
	r.list(2, false, host("c2", cache.Addr(), "in_service"), host("c1", cache.Addr(), "terminating"))
	want(status("c1", "draining", "terminating")) // before c2, though c2 comes first in the list
	want(status("c2", "serving", "in_service"))
	r.list(3, true, host("c1", cache.Addr(), "terminating"))
	want(noServingEndpoint)
	want(status("c2", "removed", `"left out of its list"`))
	r.list(4, true, host("c1", cache.Addr(), "in_service"))
	want(status("c1", "serving", "in_service"))
}

// TestDrainAtEndOfLargeListAppliedInSameTurn lists a drain as the last of many entries: a send to that cache in the
// same turn is not sent.
func TestDrainAtEndOfLargeListAppliedInSameTurn(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	q := r.request()
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
	r.want(decide.NotSent)
	select {
	case <-cache.Commands:
		t.Error("a command went to a cache that drains")
	default:
	}
	r.Do(func() {
		if len(r.r.endpoints) != 201 {
			t.Errorf("%d caches are known", len(r.r.endpoints))
		}
	})
}

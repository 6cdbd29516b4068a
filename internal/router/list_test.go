package router

import (
	"context"
	"fmt"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
)

// TestOneBadEntryLosesNoDrain. The danger: a list with one entry that can't be read is thrown away
// whole, and the drains in it with it.
func TestOneBadEntryLosesNoDrain(t *testing.T) {
	drains := host("c1", "127.0.0.1:1", "terminating")
	for _, c := range []struct{ bad, fault string }{
		{host("c2", "cache.example.org:1", "in_service"), "endpoints[0].address"},
		{host("c2", "", "in_service"), "endpoints[0].address"},
		{host("c2", "127.0.0.1:2", "odd"), "endpoints[0].status"},
		{host("", "127.0.0.1:2", "in_service"), "endpoints[0].name"},
		{host("c1", "127.0.0.1:1", "in_service"), "endpoints[1].name"}, // twice: the worse news counts
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"weight":1`, `"weight":-1`, 1), "endpoints[0].weight"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"group":1`, `"group":"x"`, 1), "endpoints[0].group"},
		{strings.Replace(host("c2", "127.0.0.1:2", "in_service"), `"since_ms":0`, `"since_ms":-1`, 1), "endpoints[0].since_ms"},
		{`17`, "endpoints[0]"},
	} {
		h, err := parseHosts([]byte(hosts(9, true, c.bad, drains)))
		if err != nil {
			t.Errorf("%s: %v", c.bad, err)
			continue
		}
		drained := false
		for _, e := range h.entries {
			drained = drained || e.ID == "c1" && e.Condition == decide.Draining
		}
		if !drained || len(h.faults) != 1 || !strings.HasPrefix(h.faults[0], c.fault) {
			t.Errorf("%s: drained %v, faults %q", c.bad, drained, h.faults)
		}
	}
	h, err := parseHosts([]byte(hosts(9, true, host("c1", "nowhere", "terminating"))))
	if err != nil || len(h.entries) != 1 || h.entries[0].Condition != decide.Draining {
		t.Errorf("a drain with a bad address: %+v, %v", h, err)
	}
}

// TestEntryThatCannotBeReadStaysAsItIs: a whole list names it, so it has not gone.
func TestEntryThatCannotBeReadStaysAsItIs(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.list(2, true, host("c1", "cache.example.org:1", "in_service"), host("c2", cache.addr(), "terminating"))
	r.do(func() {
		if u := r.l.upstreams["c1"]; u == nil || !u.up || u.gone || u.addr != cache.addr() {
			t.Errorf("c1 is %+v", u)
		}
		if u := r.l.upstreams["c2"]; u == nil || u.up {
			t.Errorf("c2 is %+v", u)
		}
	})
	r.list(3, true, host("c2", cache.addr(), "in_service"))
	r.do(func() {
		if u := r.l.upstreams["c1"]; u != nil && !u.gone {
			t.Error("c1, which the list leaves out, is still there")
		}
	})
}

// TestDiscoveryThatStartsAnewIsAskedForTheWholeList. The danger: its versions begin again at a low
// one, and the changes after the old one never come.
func TestDiscoveryThatStartsAnewIsAskedForTheWholeList(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	r := start(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = 1_000_000
	}))
	receive(t, calls, "call").reply <- hosts(41, false, host("c1", cache.addr(), "in_service"))
	receive(t, calls, "watch").reply <- hosts(3, false)
	again := receive(t, calls, "call after the answer that does not follow")
	if again.query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", again.query)
	}
	again.reply <- hosts(3, true, host("c1", cache.addr(), "terminating"))
	if c := receive(t, calls, "watch"); !strings.Contains(c.query, "after=3&") {
		t.Errorf("call %s", c.query)
	}
	c := dial(t, r.addr)
	c.send(get("r1"))
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("after the drain: %q", got)
	}
}

// TestDiscoveryThatAnswersAtOnceIsCalledAtAPace, and the watch goes on: the next call comes within
// the 200 ms that the protocol allows.
func TestDiscoveryThatAnswersAtOnceIsCalledAtAPace(t *testing.T) {
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, hosts(5, false))
	}))
	defer srv.Close()
	const span = time.Second
	ctx, stop := context.WithTimeout(context.Background(), span)
	defer stop()
	answers := 0
	newDiscovery(srv.Listener.Addr().String(), limits.Default().Discovery).watch(ctx, 5, func(hostList) { answers++ })
	most := int64(callBurst + span/callPause + 1)
	if n := calls.Load(); n > most || answers < 2 {
		t.Errorf("%d calls in %v, at most %d wanted; %d answers", n, span, most, answers)
	}
	if callPause >= 200*time.Millisecond {
		t.Errorf("a pause of %v ends the watch", callPause)
	}
}

// TestPushedListsAreAskedForToo: the agent that has them says nothing by itself. A mode that nobody knows is no
// reason never to ask.
func TestPushedListsAreAskedForToo(t *testing.T) {
	for _, mode := range []string{"automatic", "subscrbe", ""} {
		addr, calls := newFakeDiscovery(t)
		start(t, testConfig(t, addr, func(in map[string]any) { in["settings"].(map[string]any)["discovery"] = mode }))
		receive(t, calls, "call in mode "+mode)
	}
}

// stepped is a rig whose system clock the test sets.
func stepped(t *testing.T, addr string) (r *rig, wall *atomic.Int64) {
	r, wall = newRig(t, addr, nil), &atomic.Int64{}
	r.do(func() {
		wall.Store(r.l.now)
		r.l.wall = wall.Load
	})
	return r, wall
}

func since(line string, at decide.Time) string {
	return strings.Replace(line, `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, at/1000), 1)
}

// TestClockThatStepsLeavesWarmthAlone: a cache that is known stays as old as it is, and one that
// is new is as old as the list and the clock together say.
func TestClockThatStepsLeavesWarmthAlone(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := stepped(t, cache.addr())
	const hour = 3600 * 1_000_000
	started := wall.Load() - 5_000_000
	start := func(name string) (at decide.Time) {
		r.do(func() { at = r.l.upstreams[name].entry.Start })
		return at
	}
	r.list(2, false, since(host("c2", cache.addr(), "in_service"), started))
	before := start("c2")
	for step, by := range []decide.Time{hour, -2 * hour} {
		wall.Add(by)
		r.list(3+step, false, since(host("c2", cache.addr(), "in_service"), started))
		if got := start("c2"); got != before {
			t.Errorf("after a step of %d its start moved by %d", by, got-before)
		}
		name := fmt.Sprint("n", step)
		r.list(5+step, false, since(host(name, cache.addr(), "in_service"), wall.Load()-2_000_000))
		age := decide.Time(0)
		r.do(func() { age = r.l.now - r.l.upstreams[name].entry.Start })
		if age < 1_990_000 || age > 60_000_000 {
			t.Errorf("after a step of %d a cache of 2 s is %d old", by, age)
		}
	}
}

// TestStartInTheFutureIsNow, until the list corrects it.
func TestStartInTheFutureIsNow(t *testing.T) {
	cache := newFakeCache(t)
	r, wall := stepped(t, cache.addr())
	r.list(2, false, since(host("c2", cache.addr(), "in_service"), wall.Load()+3600*1_000_000))
	r.do(func() {
		if at := r.l.upstreams["c2"].entry.Start; at > r.l.now {
			t.Errorf("it starts in %d", at-r.l.now)
		}
	})
	r.list(3, false, host("c2", cache.addr(), "in_service"))
	r.do(func() {
		if at := r.l.upstreams["c2"].entry.Start; at != 0 {
			t.Errorf("after the correction its start is %d", at)
		}
	})
}

// TestLargeListIsTakenInPieces, with other work between them and bad news first.
func TestLargeListIsTakenInPieces(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	const caches = 4 * listPiece
	var lines []string
	for i := range caches {
		lines = append(lines, host(fmt.Sprint("n", i), cache.addr(), "in_service"))
	}
	lines = append(lines, host("c1", cache.addr(), "terminating"))
	h, err := parseHosts([]byte(hosts(2, true, lines...)))
	if err != nil {
		t.Fatal(err)
	}
	r.do(func() {
		r.l.learn(h, h.kind())
		if r.l.upstreams["c1"].up {
			t.Error("the drain waits for the rest of the list")
		}
		if n := len(r.l.upstreams); n > listPiece+1 {
			t.Errorf("%d caches were taken in one turn", n)
		}
	})
	// A newer list that comes meanwhile is not overtaken by the rest of the old one.
	r.list(3, false, host("n1999", cache.addr(), "terminating"))
	r.until("the whole list", func() bool { return len(r.l.lists) == 0 })
	r.do(func() {
		if n := len(r.l.upstreams); n != caches+1 {
			t.Errorf("%d caches are known", n)
		}
		if r.l.upstreams["n1999"].up {
			t.Error("the newer list was overtaken")
		}
	})
	r.list(4, true, host("c1", cache.addr(), "in_service"))
	r.until("the end of all others", func() bool { return len(r.l.upstreams) == 1 })
}

// TestListPastItsBound: the first caches are used, drains past the bound are heard.
func TestListPastItsBound(t *testing.T) {
	var lines []string
	for i := range mostCaches + 5 {
		lines = append(lines, host(fmt.Sprint("n", i), "127.0.0.1:1", "in_service"))
	}
	lines = append(lines, host("c1", "127.0.0.1:1", "terminating"))
	h, err := parseHosts([]byte(hosts(2, true, lines...)))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(h.entries); n != mostCaches+1 || h.entries[n-1].ID != "c1" || len(h.faults) != 1 {
		t.Errorf("%d entries, faults %q", n, h.faults)
	}
}

type lineWriter chan string

func (w lineWriter) Write(b []byte) (int, error) {
	select {
	case w <- string(b):
	default:
	}
	return len(b), nil
}

// logged is what is logged from now on.
func logged(t *testing.T) <-chan string {
	t.Helper()
	w := make(lineWriter, 1000)
	log.SetOutput(w)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return w
}

// TestChangesOfTheListAreLogged, each with its cause.
func TestChangesOfTheListAreLogged(t *testing.T) {
	cache := newFakeCache(t)
	lines := logged(t)
	r := newRig(t, cache.addr(), nil)
	want := func(text string) {
		t.Helper()
		for {
			_, got, ok := strings.Cut(receive(t, lines, "line"), "list of caches: ")
			if ok && strings.TrimSpace(got) != text {
				t.Errorf("logged %q, want %q", got, text)
			}
			if ok {
				return
			}
		}
	}
	want("c1 takes work")
	r.list(2, false, host("c2", cache.addr(), "in_service"), host("c1", cache.addr(), "terminating"))
	want("c2 takes work")
	want("c1 drains")
	r.list(3, true, host("c1", cache.addr(), "terminating"))
	want("c2 has gone from the list")
	want("none is left that takes work")
	r.list(4, true, host("c1", cache.addr(), "in_service"))
	want("c1 takes work")
}

// FuzzParseHosts: whatever comes, it is read or refused, and what is taken is legal.
func FuzzParseHosts(f *testing.F) {
	f.Add([]byte(hosts(1, true, host("c1", "127.0.0.1:1", "in_service"))))
	f.Add([]byte(`{"index":1,"endpoints":[{"name":3},[],null,{"name":"a","status":"terminated"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := parseHosts(raw)
		if err != nil {
			return
		}
		if len(h.entries) != len(h.addrs) {
			t.Fatal("entries and addresses differ in number")
		}
		for i, e := range h.entries {
			if e.ID == "" || e.Start < 0 || !(e.Size >= 0) || e.Condition == decide.Up && h.addrs[i] == "" {
				t.Fatalf("taken: %+v at %q", e, h.addrs[i])
			}
		}
	})
}

// TestDeadFleetIsLoggedWithItsCause, and its return.
func TestDeadFleetIsLoggedWithItsCause(t *testing.T) {
	lines := logged(t)
	r := newRig(t, newFakeCache(t).addr(), nil)
	want := func(text string) {
		t.Helper()
		for !strings.Contains(receive(t, lines, "line: "+text), text) {
		}
	}
	end := func(result decide.Result, times int) {
		r.do(func() {
			for range times {
				r.l.upstreams["c1"].seen(result, 0)
			}
		})
	}
	end(decide.NoConnection, troubleRow)
	want("c1 serves nothing: refused")
	want("none of 1 caches serves: 1 refused")
	end(decide.NotSent, troubleRow) // tells nothing
	end(decide.NoAnswer, troubleRow)
	want("c1 serves nothing: hung")
	end(decide.Served, 1)
	want("c1 serves again")
	r.do(func() {
		if r.l.inTrouble != 0 {
			t.Errorf("%d caches in trouble", r.l.inTrouble)
		}
	})
}

package standin

import (
	"fmt"
	"strings"
	"testing"
)

// registry is a discovery service in a lab, with one cache in the list.
type registry struct {
	*lab
	d     *Discovery
	notes *notes
	addr  string
}

func newRegistry(t *testing.T, o DiscoveryOptions) *registry {
	t.Helper()
	l := newLab()
	r := &registry{lab: l, notes: &notes{l: l}}
	r.d = NewDiscovery(l, o, r.notes)
	var err error
	if r.addr, err = r.d.Open("127.0.0.1:0", "r-1"); err != nil {
		t.Fatal(err)
	}
	r.d.Add(Entry{Name: "s-1", Address: "10.1.0.1:1", Zone: "a", Type: "m", Group: 2, Weight: 1})
	l.run(t, o.Delay)
	return r
}

func hosts(query string) string {
	return "GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: d\r\n\r\n"
}

// body returns the body of the single answer received.
func body(t *testing.T, w *peer) string {
	t.Helper()
	got := w.take()
	head, rest, ok := strings.Cut(got, "\r\n\r\n")
	if !ok || !strings.HasPrefix(head, "HTTP/1.1 200 OK\r\n") ||
		!strings.Contains(head, fmt.Sprintf("Content-Length: %d", len(rest))) {
		t.Errorf("got %q, want one complete answer", got)
	}
	return rest
}

func entry(name, addr, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":2,"status":%q,"weight":1,"since_ms":0}`,
		name, addr, status)
}

func listOf(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

var first = entry("s-1", "10.1.0.1:1", InService)

func TestDiscoveryFullListThenWatch(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	w := r.dial(t, r.addr)
	w.send(t, hosts(""))
	r.run(t, 0)
	expect(t, "the whole list", body(t, w), listOf(2, true, first))
	r.notes.has(t, "listed r-1 s-1 true", 1)

	w.send(t, hosts("?after=2&wait_ms=20000"))
	r.run(t, 19*Second)
	expect(t, "a watch with nothing to tell", w.take(), "")
	r.run(t, 2*Second)
	expect(t, "when its time is up", body(t, w), listOf(2, false))

	w.send(t, hosts("?after=2&wait_ms=20000"))
	r.run(t, Second)
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 0)
	expect(t, "a change", body(t, w), listOf(3, false, entry("s-1", "10.1.0.1:1", Terminating)))
	r.notes.has(t, "listed r-1 s-1 false", 1)

	r.d.Remove("s-1")
	w.send(t, hosts("?after=3&wait_ms=20000"))
	r.run(t, 0)
	expect(t, "its end among changes", body(t, w), listOf(4, false, entry("s-1", "10.1.0.1:1", Terminated)))
	w.send(t, hosts(""))
	r.run(t, 0)
	expect(t, "and not on the whole list", body(t, w), listOf(4, true))
}

func TestReplaceIsOneVersion(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	r.d.Replace("s-1", Entry{Name: "s-0", Addresses: map[string]string{"r-1": "10.1.0.2:1"}, Address: "10.1.0.3:1",
		Zone: "a", Type: "m", Group: 2, Weight: 1})
	w := r.dial(t, r.addr)
	w.send(t, hosts("?after=2&wait_ms=1"))
	r.run(t, 0)
	expect(t, "both lines", body(t, w), listOf(3, false, entry("s-0", "10.1.0.2:1", InService),
		entry("s-1", "10.1.0.1:1", Terminated)))
}

func TestChangesAppearAfterDelay(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{Delay: 2 * Second})
	w := r.dial(t, r.addr)
	w.send(t, hosts("?after=2&wait_ms=60000"))
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 1900*Millisecond)
	expect(t, "before the delay", w.take(), "")
	r.run(t, 200*Millisecond)
	expect(t, "after it", body(t, w), listOf(3, false, entry("s-1", "10.1.0.1:1", Terminating)))

	r.d.Stale(5 * Second)
	r.d.SetStatus("s-1", InService)
	w.send(t, hosts("?after=3&wait_ms=60000"))
	r.run(t, 6900*Millisecond)
	expect(t, "while stale", w.take(), "")
	r.run(t, 200*Millisecond)
	expect(t, "so much later", body(t, w), listOf(4, false, first))
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 3*Second)
	r.d.Stale(0)
	if r.d.Index() != 5 {
		t.Error("delayed change is not in the list after the delay ended")
	}
}

func TestVersionAheadGetsFullList(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	r.d.SetStatus("s-1", Terminating)
	r.d.SetStatus("s-1", InService)
	w := r.dial(t, r.addr)
	w.send(t, hosts("?after=4&wait_ms=60000"))
	r.run(t, Second)
	expect(t, "while versions agree", w.take(), "")
	r.d.VersionBack(2)
	r.run(t, 0)
	expect(t, "once the version went back", body(t, w), listOf(2, true, first))
}

func TestDiscoveryDownRejectsOrResets(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	w := r.dial(t, r.addr)
	w.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, Second)
	r.d.Down(true, false)
	r.run(t, 0)
	if got := w.take(); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("watch: got %q", got)
	}
	w.send(t, hosts(""))
	r.run(t, 0)
	if got := w.take(); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("call: got %q", got)
	}
	r.d.Down(true, true)
	r.run(t, 0)
	if v := r.dial(t, r.addr); w.end == nil || v.end == nil {
		t.Error("connections are open, want closed")
	}
	r.d.Down(false, false)
	v := r.dial(t, r.addr)
	v.send(t, hosts(""))
	r.run(t, 0)
	expect(t, "afterwards", body(t, v), listOf(2, true, first))
}

func TestSilentDiscoveryAnswersAfterwards(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	w, v := r.dial(t, r.addr), r.dial(t, r.addr)
	w.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, 0)
	r.d.Silent(true)
	v.send(t, hosts(""))
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 10*Second)
	expect(t, "while silent", w.take()+v.take(), "")
	r.d.Silent(false)
	r.run(t, Second)
	gone := entry("s-1", "10.1.0.1:1", Terminating)
	expect(t, "the watch", body(t, w), listOf(3, false, gone))
	expect(t, "the call", body(t, v), listOf(3, true, gone))
}

func TestWatchAnsweredAtOnce(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	r.d.AnswerAtOnce(true)
	w := r.dial(t, r.addr)
	w.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, 0)
	expect(t, "at once", body(t, w), listOf(2, false))
}

func TestDiscoveryMove(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	w := r.dial(t, r.addr)
	got, err := r.d.Move([]string{"127.0.0.1:0"})
	r.run(t, 0)
	if err != nil || len(got) != 1 || w.end == nil || r.dial(t, r.addr).err == nil {
		t.Fatalf("got addresses %v, error %v, end of the old connection %v", got, err, w.end)
	}
	v := r.dial(t, got[0])
	v.send(t, hosts(""))
	r.run(t, 0)
	expect(t, "there", body(t, v), listOf(2, true, first))
}

// callersOf opens a listener for each router and makes a call for the whole list at each, all at the same instant.
func (r *registry) callersOf(t *testing.T, routers ...string) (all []*peer) {
	t.Helper()
	for _, name := range routers {
		addr, err := r.d.Open("127.0.0.1:0", name)
		if err != nil {
			t.Fatal(err)
		}
		w := r.dial(t, addr)
		w.send(t, hosts(""))
		all = append(all, w)
	}
	return all
}

// TestCallsQueueAndAreRejectedAtOnce rejects calls whose answer would take longer than the timeout. Rejections cost work too.
func TestCallsQueueAndAreRejectedAtOnce(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{CallCost: 400 * Millisecond, RejectCost: 100 * Millisecond, Timeout: Second})
	all := r.callersOf(t, "r-1", "r-2", "r-3", "r-4")
	r.run(t, 10*Millisecond)
	for i, want := range []string{"", "", "503", "503"} {
		if got := all[i].take(); got == "" != (want == "") || !strings.Contains(got, want) {
			t.Errorf("call %d at once: got %.20q, want %q", i, got, want)
		}
	}
	r.run(t, 395*Millisecond)
	if all[0].take() == "" || all[1].take() != "" {
		t.Error("calls are not processed one at a time")
	}
	r.run(t, 200*Millisecond)
	// 800 ms of work and 200 ms of rejections were reserved 600 ms ago: another call adds 400 ms.
	late := r.callersOf(t, "r-5", "r-6")
	r.run(t, 700*Millisecond)
	if got := all[1].take() + late[0].take(); strings.Count(got, "HTTP/1.1 200") != 1 {
		t.Errorf("before the reserved work is done: got %.40q", got)
	}
	r.run(t, 200*Millisecond)
	if got := late[0].take(); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("after its work is done, the call got %.20q", got)
	}
}

// TestRejectedCallEndsWatchOfRouter rejects a call, which ends the watch of its router but not the watch of another router.
func TestRejectedCallEndsWatchOfRouter(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{CallCost: 400 * Millisecond, Timeout: Second, Routers: []string{"r-1", "r-2"}})
	other, err := r.d.Open("127.0.0.1:0", "r-2")
	if err != nil {
		t.Fatal(err)
	}
	watch, kept := r.dial(t, r.addr), r.dial(t, other)
	watch.send(t, hosts("?after=2&wait_ms=60000"))
	kept.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, 10*Millisecond)
	newer := r.dial(t, r.addr)
	newer.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, 10*Millisecond)
	for what, w := range map[string]*peer{"the newer call": newer, "the older one": watch} {
		if got := w.take(); !strings.HasPrefix(got, "HTTP/1.1 503") {
			t.Errorf("%s: got %.20q, want 503", what, got)
		}
	}
	expect(t, "another router's watch", kept.take(), "")
}

// TestContinuedWatchNeedsNoAdmission continues a watch while discovery is overloaded; a call after a pause counts as a new call.
func TestContinuedWatchNeedsNoAdmission(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{CallCost: 400 * Millisecond, Timeout: 500 * Millisecond, Routers: []string{"r-1"}})
	w := r.dial(t, r.addr)
	w.send(t, hosts(""))
	r.run(t, 400*Millisecond)
	w.take()
	for range 3 {
		r.callersOf(t, "other") // overloads discovery again
		w.send(t, hosts("?after=2&wait_ms=300"))
		r.run(t, 305*Millisecond)
		expect(t, "a watch that goes on", body(t, w), listOf(2, false))
	}
	r.run(t, 700*Millisecond)
	r.callersOf(t, "other")
	w.send(t, hosts("?after=2&wait_ms=300"))
	r.run(t, 10*Millisecond)
	if got := w.take(); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("call after a pause: got %.20q, want 503", got)
	}
}

// TestNotifiedAfter also covers a router whose calls all fail. The time counts from the end of an outage of discovery, and from
// when the router can reach discovery.
func TestNotifiedAfter(t *testing.T) {
	cut := true
	r := newRegistry(t, DiscoveryOptions{NotifiedAfter: 6 * Second, Routers: []string{"r-1", "r-2"},
		Reachable: func(router string) (Time, bool) { return 0, router == "r-1" || !cut }})
	r.run(t, 7*Second)
	r.notes.has(t, "listed r-1 s-1 true", 1)
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 5900*Millisecond)
	r.notes.has(t, "listed r-1 s-1 false", 0)
	r.run(t, 200*Millisecond)
	r.notes.has(t, "listed r-1 s-1 false", 1)
	r.notes.has(t, "listed r-2 s-1 false", 0)
	cut = false
	r.run(t, 6*Second)
	r.notes.has(t, "listed r-2 s-1 false", 1)

	r.d.Down(true, false)
	r.d.SetStatus("s-1", InService)
	r.run(t, 30*Second)
	r.notes.has(t, "listed r-1 s-1 true", 1)
	r.d.Down(false, false)
	r.run(t, 5900*Millisecond)
	r.notes.has(t, "listed r-1 s-1 true", 1)
	r.run(t, 200*Millisecond)
	r.notes.has(t, "listed r-1 s-1 true", 2)
}

func TestMalformedListNotifiesNobody(t *testing.T) {
	for _, how := range []BadEntry{BadName, BadAddress, BadStatus, BadSince, BadShape, BadJSON} {
		r := newRegistry(t, DiscoveryOptions{})
		good := listOf(2, true, first)
		r.d.Spoil(how)
		w := r.dial(t, r.addr)
		w.send(t, hosts(""))
		r.run(t, 0)
		if got := body(t, w); got == good || got == "" {
			t.Errorf("%s: got %q", how, got)
		}
		r.notes.has(t, "listed r-1 s-1 true", 0)
	}
}

func TestRouterWithoutCallsCountsAsNotified(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{Routers: []string{"r-1", "r-2"}, PollInterval: 6 * Second})
	w := r.dial(t, r.addr)
	w.send(t, hosts(""))
	r.run(t, 0)
	w.send(t, hosts("?after=2&wait_ms=60000"))
	r.run(t, Second)
	r.d.Silent(true) // r-1 waits without an answer
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 20*Second)
	r.notes.has(t, "listed r-1 s-1 false", 0)
	r.notes.has(t, "listed r-2 s-1 false", 1)
}

func TestInvalidCallsAreRejected(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{})
	for _, c := range []struct{ in, want string }{
		{"POST /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n", "405"},
		{"GET /other HTTP/1.1\r\nHost: d\r\n\r\n", "404"},
		{"GET /discovery/hosts HTTP/1.1\r\n\r\n", "400"},
		{"GET /discovery/hosts HTTP/1.0\r\nHost: d\r\n\r\n", "505"},
		{"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nContent-Length: 4\r\n\r\nbody", "400"},
		{hosts("?after=x"), "400"},
		{hosts("?after=-1"), "400"},
		{hosts("?after=1&wait_ms=1e9"), "400"},
		{"GET /" + strings.Repeat("x", maxHeadBytes), "431"},
	} {
		w := r.dial(t, r.addr)
		w.send(t, c.in)
		r.run(t, 0)
		if got := w.take(); !strings.HasPrefix(got, "HTTP/1.1 "+c.want) || w.end == nil {
			t.Errorf("%.40q: got %.20q, want %s and a closed connection", c.in, got, c.want)
		}
	}
}

// TestPushedListsNotifyAtOnce covers a router without calls and a restarted router too. While the agent is
// silent no router is notified, and calls that arrive or wait then are never answered.
func TestPushedListsNotifyAtOnce(t *testing.T) {
	r := newRegistry(t, DiscoveryOptions{Pushed: true, Routers: []string{"r-1"}, PollInterval: Second, CallCost: Second})
	r.notes.has(t, "listed r-1 s-1 true", 1)
	r.d.SetStatus("s-1", Terminating)
	r.run(t, 0)
	r.notes.has(t, "listed r-1 s-1 false", 1)
	r.d.Forget("r-1")
	r.notes.has(t, "listed r-1 s-1 false", 2)

	waits, asks := r.dial(t, r.addr), r.dial(t, r.addr)
	waits.send(t, hosts("?after=3&wait_ms=60000"))
	r.run(t, Millisecond)
	r.d.Down(true, true)
	r.d.SetStatus("s-1", InService)
	asks.send(t, hosts(""))
	r.run(t, 10*Second)
	r.notes.has(t, "listed r-1 s-1 true", 1)
	r.d.Down(false, true)
	r.run(t, 0)
	r.notes.has(t, "listed r-1 s-1 true", 2)
	r.run(t, 70*Second)
	expect(t, "to calls of before the return", waits.take()+asks.take(), "")
	again := r.dial(t, r.addr)
	again.send(t, hosts(""))
	r.run(t, Millisecond)
	expect(t, "to a call after it, at no cost", body(t, again), listOf(4, true, first))
}

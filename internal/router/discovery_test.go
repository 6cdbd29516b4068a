package router

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
)

// answers is a discovery that hands each call to the test.
type call struct {
	query string
	reply chan string // a body, or empty for 503
}

func newFakeDiscovery(t *testing.T) (addr string, calls chan call) {
	t.Helper()
	calls = make(chan call)
	over := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := call{r.URL.String(), make(chan string, 1)}
		select {
		case calls <- c:
		case <-over:
			return
		}
		select {
		case body := <-c.reply:
			if body == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprint(w, body)
		case <-over:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() {
		close(over)
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String(), calls
}

// TestWatchGoesOn: each answer is followed by a call for what comes after it, and
// what it tells takes effect.
func TestWatchGoesOn(t *testing.T) {
	cache := newFakeCache(t)
	addr, calls := newFakeDiscovery(t)
	r := start(t, testConfig(t, addr, nil))
	first := receive(t, calls, "call")
	if want := "/discovery/hosts?after=1&wait_ms=20000"; first.query != want {
		t.Errorf("call %s, want %s", first.query, want)
	}
	first.reply <- hosts(7, false, host("c1", cache.addr(), "in_service"))
	second := receive(t, calls, "call")
	if want := "/discovery/hosts?after=7&wait_ms=20000"; second.query != want {
		t.Errorf("call %s, want %s", second.query, want)
	}
	c := dial(t, r.addr)
	c.send(get("r1"))
	receive(t, cache.commands, "command").reply(t, served)
	c.want("value")
	second.reply <- hosts(9, true) // a whole list without the cache: it is gone
	receive(t, calls, "call")
	receive(t, cache.ended, "end of the idle connection")
	c.send(get("r2"))
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestWatchWithoutAKnownList asks for the whole list first.
func TestWatchWithoutAKnownList(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	start(t, testConfig(t, addr, func(in map[string]any) { delete(in, "known") }))
	if c := receive(t, calls, "call"); c.query != "/discovery/hosts" {
		t.Errorf("call %s", c.query)
	}
}

// TestBadAnswersAreFailedCalls: the module hears of each as of a call that failed.
func TestBadAnswersAreFailedCalls(t *testing.T) {
	for _, body := range []string{"", "not JSON", "{}", `{"index":5}`, `{"index":-5,"snapshot":true,"endpoints":[]}`,
		hosts(3, false), // older than what is known
		hosts(9, true, host("", "127.0.0.1:1", "in_service")), // nothing in it can be used
	} {
		addr, calls := newFakeDiscovery(t)
		told := make(chan hostList, 1)
		failed := make(chan error, 1)
		go func() {
			failed <- newDiscovery(addr, limits.Default().Discovery).watch(context.Background(), 5, func(h hostList) { told <- h })
		}()
		receive(t, calls, "call").reply <- body
		select {
		case err := <-failed:
			if err == nil {
				t.Errorf("%q: no error", body)
			}
		case h := <-told:
			t.Errorf("%q was taken: %+v", body, h)
		}
	}
}

// TestFailedWatchIsAskedForAgain at the module's own pace.
func TestFailedWatchIsAskedForAgain(t *testing.T) {
	addr, calls := newFakeDiscovery(t)
	start(t, testConfig(t, addr, func(in map[string]any) {
		in["settings"].(map[string]any)["rules"].(map[string]any)["askEvery"] = 1_000_000
	}))
	receive(t, calls, "call").reply <- ""
	if c := receive(t, calls, "second call"); !strings.Contains(c.query, "after=1&") {
		t.Errorf("call %s", c.query)
	}
}

func TestParseHosts(t *testing.T) {
	h, err := parseHosts([]byte(`{"index":43,"snapshot":false,"endpoints":[
		{"name":"s1","address":"127.0.0.1:6379","zone":"z","group":3,"status":"terminating","weight":2.5,"since_ms":17},
		{"name":"s2","address":"","zone":"z","group":3,"status":"terminated"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []decide.Entry{{ID: "s1", Zone: "z", Cell: 3, Size: 2.5, Start: 17000, Condition: decide.Draining},
		{ID: "s2", Zone: "z", Cell: 3, Size: 1, Condition: decide.Removed}}
	if h.index != 43 || h.kind() != decide.ListChanges || len(h.entries) != 2 || h.entries[0] != want[0] || h.entries[1] != want[1] {
		t.Errorf("got %+v", h)
	}
}

// moved is the configuration with discovery at another address.
func moved(cfg *Config, addr string) *Config {
	next := *cfg
	next.Discovery = addr
	return &next
}

// TestReloadAsksTheNewDiscoveryForAll, more than once, and lets go of the old one.
func TestReloadAsksTheNewDiscoveryForAll(t *testing.T) {
	first, second := newFakeCache(t), newFakeCache(t)
	oldAddr, oldCalls := newFakeDiscovery(t)
	newAddr, newCalls := newFakeDiscovery(t)
	cfg := testConfig(t, oldAddr, nil, host("c1", first.addr(), "in_service"))
	r := start(t, cfg)
	receive(t, oldCalls, "call")
	r.srv.Reload(moved(cfg, newAddr))
	c := receive(t, newCalls, "call to the new discovery")
	if c.query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", c.query)
	}
	c.reply <- hosts(0, true, host("c2", second.addr(), "in_service")) // its versions are its own
	if c := receive(t, newCalls, "watch"); c.query != "/discovery/hosts?after=0&wait_ms=20000" {
		t.Errorf("call %s", c.query)
	}
	cl := dial(t, r.addr)
	cl.send(get("r1"))
	receive(t, second.commands, "command").reply(t, served)
	cl.want("value")
	r.srv.Reload(moved(cfg, oldAddr))
	if c := receive(t, oldCalls, "call after the second SIGHUP"); c.query != "/discovery/hosts" {
		t.Errorf("call %s, want the whole list", c.query)
	}
}

// TestLateAnswerOfTheOldDiscovery is not heard: here it is on its way to the loop as discovery moves.
func TestLateAnswerOfTheOldDiscovery(t *testing.T) {
	cache := newFakeCache(t)
	oldAddr, oldCalls := newFakeDiscovery(t)
	newAddr, newCalls := newFakeDiscovery(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Discovery = oldAddr })
	r.do(func() { r.l.watch() })
	late := receive(t, oldCalls, "call")
	r.do(func() {
		late.reply <- hosts(50, true)
		for deadline := time.Now().Add(patience); len(r.l.events) == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		r.l.reload(moved(r.l.cfg, newAddr))
	})
	receive(t, newCalls, "call to the new discovery")
	r.do(func() {
		if r.l.index != noIndex || !r.l.upstreams["c1"].up {
			t.Errorf("version %d, c1 up %v: the old list was taken", r.l.index, r.l.upstreams["c1"].up)
		}
	})
}

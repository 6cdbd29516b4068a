package endpointsource

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/testbench/routertest"
)

// owner keeps the merged list.
type owner struct {
	caches  map[string]decide.Endpoint
	addrs   map[string]string
	settled int
	failed  int
}

func (o *owner) Publish(p endpoints.Publish) {
	for i, e := range p.Endpoints {
		o.caches[e.ID], o.addrs[e.ID] = e, p.Addresses[i]
	}
}
func (o *owner) DiscoveryAnswered()                    {}
func (o *owner) DiscoveryCallEnded(string, int64, int) {}
func (o *owner) DiscoveryFailed()                      { o.failed++ }
func (o *owner) ProcessEvents()                        { o.settled++ }

// rig is sources that run on a machine of their own, with a file among them.
type rig struct {
	*routertest.Loop
	t       *testing.T
	sources *Sources
	owner   *owner
	path    string
}

func newRig(t *testing.T, order []string, discoveryAddr string) *rig {
	t.Helper()
	return newEditedRig(t, order, discoveryAddr, nil)
}

// newPushedRig has lists pushed to the agent at an address; c1 takes work, as last known.
func newPushedRig(t *testing.T, agent string, edit func(*Config)) *rig {
	t.Helper()
	return newEditedRig(t, []string{endpoints.Discovery}, agent, func(c *Config) {
		c.DiscoveryOptions.Pushed, c.DiscoveryOptions.Grace = true, 400_000
		var err error
		if c.LastKnown, err = discovery.Parse([]byte(routertest.Hosts(3, true, routertest.Host("c1", "127.0.0.1:7001", "in_service")))); err != nil {
			t.Fatal(err)
		}
		if edit != nil {
			edit(c)
		}
	})
}

func newEditedRig(t *testing.T, order []string, discoveryAddr string, edit func(*Config)) *rig {
	t.Helper()
	r := &rig{Loop: routertest.NewLoop(t, nil), t: t, path: filepath.Join(t.TempDir(), "caches.json"),
		owner: &owner{caches: map[string]decide.Endpoint{}, addrs: map[string]string{}}}
	cfg := Config{Discovery: discoveryAddr, DiscoveryOptions: discovery.Options{Discovery: limits.Default().Discovery},
		LastKnown: discovery.List{Index: discovery.NoIndex}, Endpoints: endpoints.DefaultConfig()}
	cfg.Endpoints.Order, cfg.Endpoints.File = order, r.path
	if edit != nil {
		edit(&cfg)
	}
	r.Do(func() {
		var err error
		if r.sources, err = New(r.Real, cfg, r.owner); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() { r.Do(func() { r.sources.Stop() }) })
	return r
}

// start starts the sources, and has the platform's discovery asked as their owner does.
func (r *rig) start() {
	r.t.Helper()
	r.Do(func() {
		r.sources.Start()
		r.sources.Watch()
	})
}

func (r *rig) write(text string) {
	r.t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// want waits for what the merged list says of a cache.
func (r *rig) want(name string, cond decide.Status, addr string) {
	r.t.Helper()
	r.Until(name, func() bool {
		e, known := r.owner.caches[name]
		return known && e.Status == cond && (addr == "" || r.owner.addrs[name] == addr)
	})
}

func TestFileIsReadAtTheStartAndAgain(t *testing.T) {
	r := newRig(t, []string{endpoints.File}, "127.0.0.1:1")
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"),
		routertest.Host("c2", "127.0.0.1:7002", "in_service")))
	r.start()
	r.want("c1", decide.Serving, "127.0.0.1:7001")
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7003", "in_service")))
	r.Do(func() { r.sources.ReloadFile() })
	r.want("c1", decide.Serving, "127.0.0.1:7003")
	r.want("c2", decide.Removed, "")
}

// TestFileThatCannotBeUsedChangesNothing, whatever is wrong with it.
func TestFileThatCannotBeUsedChangesNothing(t *testing.T) {
	r := newRig(t, []string{endpoints.File}, "127.0.0.1:1")
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7001", "in_service")))
	r.start()
	r.want("c1", decide.Serving, "127.0.0.1:7001")
	for _, text := range []string{"", "{", `{"index":1,"endpoints":[{"name":""}]}`} {
		r.write(text)
		settled := 0
		r.Do(func() {
			settled = r.owner.settled
			r.sources.ReloadFile()
		})
		r.Until("the end of the reading", func() bool { return r.owner.settled > settled })
		r.want("c1", decide.Serving, "127.0.0.1:7001")
		r.Do(func() {
			if _, rows := r.sources.Table(); rows[0].UnavailableFor < 0 {
				t.Errorf("%q was taken", text)
			}
		})
	}
}

// TestOneSourcesBadNewsKeepsWorkAway, and the first in the order says where a cache is.
func TestOneSourcesBadNewsKeepsWorkAway(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.Discovery, endpoints.File}, addr)
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7009", "in_service"),
		routertest.Host("c2", "127.0.0.1:7002", "terminating")))
	r.start()
	first := routertest.Receive(t, calls, "call")
	first.Reply <- routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"),
		routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c1", decide.Serving, "127.0.0.1:7001")
	r.want("c2", decide.Draining, "")
}

// TestPlatformIsNotAskedWhereTheOrderLeavesItOut.
func TestPlatformIsNotAskedWhereTheOrderLeavesItOut(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.File}, addr)
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7001", "in_service")))
	r.Do(func() {
		r.sources.Start()
		r.sources.Watch()
		r.sources.SetDiscovery(addr)
	})
	r.want("c1", decide.Serving, "127.0.0.1:7001")
	select {
	case c := <-calls:
		t.Errorf("asked %s", c.Query)
	default:
	}
	r.Do(func() {
		if r.owner.failed > 0 {
			t.Error("a call failed that nobody made")
		}
	})
}

// TestWatchThatIsOpenIsKept: another call would end it where discovery turns that one away.
func TestWatchThatIsOpenIsKept(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.Discovery}, addr)
	r.start()
	first := routertest.Receive(t, calls, "the first call")
	r.Do(r.sources.Watch) // while it is not answered yet
	first.Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
	r.want("c1", decide.Serving, "")
	watch := routertest.Receive(t, calls, "the watch")
	r.Do(r.sources.Watch) // while it waits
	watch.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	next := routertest.Receive(t, calls, "the next call")
	if !strings.Contains(next.Query, "?after=8&") || len(calls) > 0 {
		t.Errorf("asked %s, and %d calls more: want the one that goes on with the watch", next.Query, len(calls))
	}
	if r.owner.failed != 0 {
		t.Errorf("%d calls failed", r.owner.failed)
	}
}

// TestWatchThatFallsSilentIsAskedForWhatItMissed, in one call, and where that is silent too for the whole list: a discovery that
// has started anew has nothing to say of what comes after the old versions.
func TestWatchThatFallsSilentIsAskedForWhatItMissed(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.Discovery}, addr)
	r.Do(func() {
		r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = 200*time.Millisecond, 100*time.Millisecond
	})
	r.start()
	ask := func(after string) routertest.Call {
		t.Helper()
		c := routertest.Receive(t, calls, "call")
		if after == "" && strings.Contains(c.Query, "?") || after != "" && !strings.Contains(c.Query, "?after="+after+"&") {
			t.Fatalf("asked %s, want what comes after %q", c.Query, after)
		}
		return c
	}
	again := func(failures int) {
		t.Helper()
		r.Until("the silence", func() bool { return r.owner.failed == failures })
		r.Do(r.sources.Watch)
	}
	ask("").Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
	ask("7") // silent from its beginning
	again(1)
	c := ask("7")
	c.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	ask("8")
	again(2)
	ask("8") // silent to that too
	again(3)
	ask("").Reply <- routertest.Hosts(3, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.want("c1", decide.Removed, "")
}

// TestLapsedWatchIsHeardUntilTheNextOneAnswers. The danger: discovery writes a drain to a watch just as the router gives it up for
// another. It counts as told, and the next call, which hangs, brings it when it is too late.
func TestLapsedWatchIsHeardUntilTheNextOneAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		first bool // the one that has lapsed is answered first
	}{{"the old one answers", true}, {"the new one answers", false}} {
		t.Run(c.name, func(t *testing.T) {
			addr, calls := routertest.Discovery(t)
			r := newRig(t, []string{endpoints.Discovery}, addr)
			r.Do(func() {
				r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = 20*time.Millisecond, 20*time.Millisecond
			})
			r.start()
			routertest.Receive(t, calls, "the first call").Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
			old := routertest.Receive(t, calls, "the watch")
			r.Until("its silence", func() bool { return r.owner.failed == 1 })
			r.Do(func() {
				r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = time.Minute, time.Minute
				r.sources.Watch()
			})
			again := routertest.Receive(t, calls, "the watch, opened anew")
			one, other := again, old
			if c.first {
				one, other = old, again
			}
			one.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
			r.want("c1", decide.Draining, "")
			routertest.Receive(t, other.Gone, "end of the other one")
			next := routertest.Receive(t, calls, "the next call")
			if !strings.Contains(next.Query, "?after=8&") {
				t.Errorf("asked %s, want what comes after 8", next.Query)
			}
			r.Do(func() {
				if r.sources.previous != nil || r.sources.watching == nil || r.owner.failed != 1 {
					t.Errorf("lapsed %v, watching %v, failed %d", r.sources.previous, r.sources.watching, r.owner.failed)
				}
			})
		})
	}
}

// TestWhatAnAgentHasGoesBeforeTheListAsLastKnown. The danger: what it has counts as told from a process's first moment on, and
// the router sends to a cache that drained before its start.
func TestWhatAnAgentHasGoesBeforeTheListAsLastKnown(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newPushedRig(t, addr, func(c *Config) { c.DiscoveryOptions.Grace = 800_000_000 })
	r.start()
	first := routertest.Receive(t, calls, "the first call")
	if strings.Contains(first.Query, "?") {
		t.Errorf("asked %s, which may wait", first.Query)
	}
	r.Do(func() {
		if len(r.owner.caches) > 0 {
			t.Errorf("%v is published before the agent has spoken", r.owner.caches)
		}
	})
	first.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		r.sources.useLastKnown()
		if _, old := r.owner.caches["c1"]; old {
			t.Error("the list as last known is published behind a newer one")
		}
	})
}

// TestListAsLastKnownServesWhereNoAgentSpeaks: at once where there is none, after a while where it is silent.
func TestListAsLastKnownServesWhereNoAgentSpeaks(t *testing.T) {
	for name, agent := range map[string]string{"none": routertest.Refusing(t), "silent": routertest.SilentDiscovery(t)} {
		t.Run(name, func(t *testing.T) {
			r := newPushedRig(t, agent, func(c *Config) {
				if c.DiscoveryOptions.AnswerTime = time.Hour; name == "silent" {
					c.DiscoveryOptions.AnswerTime = 300 * time.Millisecond
				}
			})
			r.start()
			r.want("c1", decide.Serving, "127.0.0.1:7001")
		})
	}
}

// TestSilentAgentIsAskedAgainAndAgain, without its owner, and each call that is answered counts. The danger: it is silent while
// discovery is down, and what it gets at the return counts as told; a pause that grows with each failure lasts longer than the grace.
func TestSilentAgentIsAskedAgainAndAgain(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newPushedRig(t, addr, nil)
	r.start()
	var latest routertest.Call
	for range 8 {
		latest = routertest.Receive(t, calls, "call")
	}
	latest.Reply <- routertest.Hosts(9, true, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	watch := routertest.Receive(t, calls, "the watch") // which falls silent
	if !strings.Contains(watch.Query, "?after=9&") {
		t.Errorf("asked %s", watch.Query)
	}
	again := routertest.Receive(t, calls, "the next call")
	if strings.Contains(again.Query, "?") {
		t.Errorf("asked %s after a silence, want the whole list: its versions may have begun anew", again.Query)
	}
	again.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		if r.owner.failed != 0 {
			t.Errorf("the owner is to ask again, %d times", r.owner.failed)
		}
	})
	r.Do(func() { r.sources.Stop() })
	r.Do(func() {
		if r.sources.again != nil {
			t.Error("a call is due after the end")
		}
	})
}

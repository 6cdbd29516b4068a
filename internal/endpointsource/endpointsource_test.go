package endpointsource

import (
	"errors"
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

// owner records what Sources reports.
type owner struct {
	endpoints map[string]decide.Endpoint // the merged list
	addresses map[string]string          // by endpoint
	turns     int                        // calls of ProcessEvents
	failures  int                        // calls of DiscoveryFailed
	cause     error                      // of the latest one
}

func (o *owner) Publish(p endpoints.Publish) {
	for i, e := range p.Endpoints {
		o.endpoints[e.ID], o.addresses[e.ID] = e, p.Addresses[i]
	}
}
func (o *owner) DiscoveryAnswered()                    {}
func (o *owner) DiscoveryCallEnded(string, int64, int) {}
func (o *owner) DiscoveryFailed(err error)             { o.failures, o.cause = o.failures+1, err }
func (o *owner) ProcessEvents()                        { o.turns++ }

// rig runs Sources on a loop of its own, with a file that the test writes.
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

// newPushedRig has lists pushed to the agent at an address; the list as last known has c1 serving.
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
		owner: &owner{endpoints: map[string]decide.Endpoint{}, addresses: map[string]string{}}}
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

// start starts the sources and makes the first discovery call, as their owner does.
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

// want waits until the merged list has an endpoint with this status, and at this address unless it is empty.
func (r *rig) want(name string, status decide.Status, addr string) {
	r.t.Helper()
	r.Until(name, func() bool {
		e, known := r.owner.endpoints[name]
		return known && e.Status == status && (addr == "" || r.owner.addresses[name] == addr)
	})
}

func TestFileIsReadAtStartAndOnReload(t *testing.T) {
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

func TestReloadFileKeepsListWhenFileIsInvalid(t *testing.T) {
	r := newRig(t, []string{endpoints.File}, "127.0.0.1:1")
	r.write(routertest.Hosts(1, true, routertest.Host("c1", "127.0.0.1:7001", "in_service")))
	r.start()
	r.want("c1", decide.Serving, "127.0.0.1:7001")
	for _, text := range []string{"", "{", `{"index":1,"endpoints":[{"name":""}]}`} {
		r.write(text)
		turns := 0
		r.Do(func() {
			turns = r.owner.turns
			r.sources.ReloadFile()
		})
		r.Until("the end of the reading", func() bool { return r.owner.turns > turns })
		r.want("c1", decide.Serving, "127.0.0.1:7001")
		r.Do(func() {
			if _, rows := r.sources.Table(); rows[0].UnavailableFor < 0 {
				t.Errorf("%q was accepted", text)
			}
		})
	}
}

// TestDrainOfAnySourceDrainsEndpoint also shows that the first source of the order sets the address.
func TestDrainOfAnySourceDrainsEndpoint(t *testing.T) {
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

func TestDiscoveryIsNotPolledUnlessInOrder(t *testing.T) {
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
		t.Errorf("polled with %s", c.Query)
	default:
	}
	r.Do(func() {
		if r.owner.failures > 0 {
			t.Error("a call that was not made is reported as failed")
		}
	})
}

// TestWatchKeepsOpenCall: where discovery rejects a second call, it ends the first one too.
func TestWatchKeepsOpenCall(t *testing.T) {
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
		t.Errorf("polled with %s, and %d calls more: want the one that continues the watch", next.Query, len(calls))
	}
	if r.owner.failures != 0 {
		t.Errorf("%d calls failed", r.owner.failures)
	}
}

// TestSilentWatchResumesFromItsVersionThenFromFullList: the call after a silence asks for the changes that were missed. Where
// that is silent too, discovery may have restarted and numbered its versions anew, so that the full list is fetched.
func TestSilentWatchResumesFromItsVersionThenFromFullList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.Discovery}, addr)
	r.Do(func() {
		r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = 200*time.Millisecond, 100*time.Millisecond
	})
	r.start()
	receive := func(after string) routertest.Call {
		t.Helper()
		c := routertest.Receive(t, calls, "call")
		if after == "" && strings.Contains(c.Query, "?") || after != "" && !strings.Contains(c.Query, "?after="+after+"&") {
			t.Fatalf("polled with %s, want the changes after %q", c.Query, after)
		}
		return c
	}
	again := func(failures int) {
		t.Helper()
		r.Until("the silence", func() bool { return r.owner.failures == failures })
		r.Do(r.sources.Watch)
	}
	receive("").Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
	receive("7") // not answered
	again(1)
	c := receive("7")
	c.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	receive("8")
	again(2)
	receive("8") // not answered either
	again(3)
	receive("").Reply <- routertest.Hosts(3, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.want("c1", decide.Removed, "")
}

// TestTimedOutWatchIsReadUntilNextOneAnswers: discovery may write a drain to a watch just as it times out, and counts the router
// as notified. Without the old watch, the drain would come with the next answer only, which may be too late.
func TestTimedOutWatchIsReadUntilNextOneAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		oldFirst bool // the watch that has timed out is answered first
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
			r.Until("its silence", func() bool { return r.owner.failures == 1 })
			r.Do(func() {
				r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = time.Minute, time.Minute
				r.sources.Watch()
			})
			again := routertest.Receive(t, calls, "the watch, opened anew")
			one, other := again, old
			if c.oldFirst {
				one, other = old, again
			}
			one.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
			r.want("c1", decide.Draining, "")
			routertest.Receive(t, other.Gone, "end of the other one")
			next := routertest.Receive(t, calls, "the next call")
			if !strings.Contains(next.Query, "?after=8&") {
				t.Errorf("polled with %s, want the changes after 8", next.Query)
			}
			r.Do(func() {
				if r.sources.discovery.previous != nil || r.sources.discovery.watch == nil || r.owner.failures != 1 {
					t.Errorf("previous watch %v, watch %v, failures %d", r.sources.discovery.previous, r.sources.discovery.watch, r.owner.failures)
				}
			})
		})
	}
}

// TestAgentListSupersedesLastKnownList: what the agent has counts as known from the start of the process, also a drain that
// came before it.
func TestAgentListSupersedesLastKnownList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newPushedRig(t, addr, func(c *Config) { c.DiscoveryOptions.Grace = 800_000_000 })
	r.start()
	first := routertest.Receive(t, calls, "the first call")
	if strings.Contains(first.Query, "?") {
		t.Errorf("polled with %s, which may wait", first.Query)
	}
	r.Do(func() {
		if len(r.owner.endpoints) > 0 {
			t.Errorf("%v is published before the agent has answered", r.owner.endpoints)
		}
	})
	first.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		r.sources.discovery.useLastKnown()
		if _, old := r.owner.endpoints["c1"]; old {
			t.Error("the list as last known is published after a newer one")
		}
	})
}

// TestLastKnownListIsUsedWithoutAgent: at once where the agent refuses connections, after AnswerTime where it is silent.
func TestLastKnownListIsUsedWithoutAgent(t *testing.T) {
	for name, agent := range map[string]string{"none": routertest.Refusing(t), "silent": routertest.SilentDiscovery(t)} {
		t.Run(name, func(t *testing.T) {
			r := newPushedRig(t, agent, func(c *Config) {
				c.DiscoveryOptions.AnswerTime = time.Hour
				if name == "silent" {
					c.DiscoveryOptions.AnswerTime = 300 * time.Millisecond
				}
			})
			r.start()
			r.want("c1", decide.Serving, "127.0.0.1:7001")
		})
	}
}

// TestSilentAgentIsPolledAtAConstantPace, without its owner: an agent is silent while discovery is down, and what it receives
// at the return counts as known at once. A delay that grew with each failure would outlast the drain grace.
func TestSilentAgentIsPolledAtAConstantPace(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newPushedRig(t, addr, nil)
	r.start()
	var latest routertest.Call
	for range 8 {
		latest = routertest.Receive(t, calls, "call")
	}
	latest.Reply <- routertest.Hosts(9, true, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	watch := routertest.Receive(t, calls, "the watch") // which is not answered
	if !strings.Contains(watch.Query, "?after=9&") {
		t.Errorf("polled with %s", watch.Query)
	}
	again := routertest.Receive(t, calls, "the next call")
	if strings.Contains(again.Query, "?") {
		t.Errorf("polled with %s after a silence, want the full list: its versions may have begun anew", again.Query)
	}
	again.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		if r.owner.failures != 0 {
			t.Errorf("the retry is left to the owner, %d times", r.owner.failures)
		}
	})
	r.Do(func() { r.sources.Stop() })
	r.Do(func() {
		if r.sources.discovery.retryTimer != nil {
			t.Error("a call is due after Stop")
		}
	})
}

// TestOwnerLearnsWhetherDiscoveryRejectedTheCall: a service that rejects calls can be reached, and one that resets them can't.
func TestOwnerLearnsWhetherDiscoveryRejectedTheCall(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	for name, c := range map[string]struct {
		addr     string
		rejected bool
	}{
		"rejected":    {addr, true},
		"unreachable": {"127.0.0.1:1", false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, []string{endpoints.Discovery}, c.addr)
			r.start()
			if c.rejected {
				routertest.Receive(t, calls, "the call").Reply <- ""
			}
			r.Until("the failure", func() bool { return r.owner.failures == 1 })
			if got := errors.Is(r.owner.cause, discovery.ErrOverloaded); got != c.rejected {
				t.Errorf("%v: rejected %t, want %t", r.owner.cause, got, c.rejected)
			}
		})
	}
}

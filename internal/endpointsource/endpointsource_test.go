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

// owner records the calls of the methods of Owner.
type owner struct {
	endpoints map[string]decide.Endpoint // the merged list, by ID
	addresses map[string]string          // by endpoint ID
	turns     int                        // number of calls of ProcessEvents
	failures  int                        // number of calls of DiscoveryFailed
	cause     error                      // of the latest failure
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

// rig runs Sources on a separate event loop, with a file that the test writes.
type rig struct {
	*routertest.Loop
	t       *testing.T
	sources *Sources
	owner   *owner
	path    string
}

func newRig(t *testing.T, order []string, discoveryAddr string) *rig {
	t.Helper()
	return newRigWithConfig(t, order, discoveryAddr, nil)
}

// newPushedRig returns a rig that follows the agent at an address; c1 is serving in the last known list.
func newPushedRig(t *testing.T, agent string, edit func(*Config)) *rig {
	t.Helper()
	return newRigWithConfig(t, []string{endpoints.Discovery}, agent, func(c *Config) {
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

// newRigWithConfig returns a rig whose configuration is changed by edit, unless edit is nil.
func newRigWithConfig(t *testing.T, order []string, discoveryAddr string, edit func(*Config)) *rig {
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

// start starts the sources and makes the first discovery call, as the owner does.
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

// want waits until the merged list has an endpoint with this status, and with this address unless addr is empty.
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
		r.Until("the file is read", func() bool { return r.owner.turns > turns })
		r.want("c1", decide.Serving, "127.0.0.1:7001")
		r.Do(func() {
			if _, rows := r.sources.Table(); rows[0].UnavailableFor < 0 {
				t.Errorf("the file source is available after a read of %q, want it unavailable", text)
			}
		})
	}
}

// TestDrainOfAnySourceDrainsEndpoint also checks that the first source in the order determines the address.
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
		t.Errorf("got a discovery call with query %q, want none", c.Query)
	default:
	}
	r.Do(func() {
		if r.owner.failures > 0 {
			t.Errorf("got %d failed discovery calls, want none", r.owner.failures)
		}
	})
}

// TestWatchKeepsOpenCall guards against a second call while one is in flight: discovery may reject the second call, and then
// also ends the first.
func TestWatchKeepsOpenCall(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newRig(t, []string{endpoints.Discovery}, addr)
	r.start()
	first := routertest.Receive(t, calls, "the first call")
	r.Do(r.sources.Watch) // while the first call is not answered
	first.Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
	r.want("c1", decide.Serving, "")
	watch := routertest.Receive(t, calls, "the watch")
	r.Do(r.sources.Watch) // while the watch waits for a change
	watch.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	next := routertest.Receive(t, calls, "the next call")
	if !strings.Contains(next.Query, "?after=8&") || len(calls) > 0 {
		t.Errorf("got a call with query %q and %d more calls, want only a call for the changes after version 8", next.Query, len(calls))
	}
	if r.owner.failures != 0 {
		t.Errorf("got %d failed discovery calls, want none", r.owner.failures)
	}
}

// TestSilentWatchResumesFromItsVersionThenFromFullList checks that the call after a silent watch requests the missed changes. If
// that call gets no answer either, discovery may have restarted and numbered its versions from the beginning, so the next call
// must fetch the full list.
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
			t.Fatalf("got a call with query %q, want a call for the changes after version %q", c.Query, after)
		}
		return c
	}
	watchAfterFailure := func(failures int) {
		t.Helper()
		r.Until("the silent call fails", func() bool { return r.owner.failures == failures })
		r.Do(r.sources.Watch)
	}
	receive("").Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
	receive("7") // not answered
	watchAfterFailure(1)
	c := receive("7")
	c.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
	r.want("c1", decide.Draining, "")
	receive("8")
	watchAfterFailure(2)
	receive("8") // not answered either
	watchAfterFailure(3)
	receive("").Reply <- routertest.Hosts(3, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.want("c1", decide.Removed, "")
}

// TestTimedOutWatchIsReadUntilNextOneAnswers guards against a late drain: discovery may write a drain to a watch just as the
// watch times out, and counts the router as notified. If the router closed the old watch, it would receive the drain only with
// the next answer, which may be too late.
func TestTimedOutWatchIsReadUntilNextOneAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		oldFirst bool // the watch that has timed out is answered first
	}{{"the old watch answers", true}, {"the new watch answers", false}} {
		t.Run(c.name, func(t *testing.T) {
			addr, calls := routertest.Discovery(t)
			r := newRig(t, []string{endpoints.Discovery}, addr)
			r.Do(func() {
				r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = 20*time.Millisecond, 20*time.Millisecond
			})
			r.start()
			routertest.Receive(t, calls, "the first call").Reply <- routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "in_service"))
			old := routertest.Receive(t, calls, "the watch")
			r.Until("the silent watch times out", func() bool { return r.owner.failures == 1 })
			r.Do(func() {
				r.sources.cfg.DiscoveryOptions.WatchTime, r.sources.cfg.DiscoveryOptions.AnswerTime = time.Minute, time.Minute
				r.sources.Watch()
			})
			current := routertest.Receive(t, calls, "the second watch")
			answered, other := current, old
			if c.oldFirst {
				answered, other = old, current
			}
			answered.Reply <- routertest.Hosts(8, false, routertest.Host("c1", "127.0.0.1:7001", "terminating"))
			r.want("c1", decide.Draining, "")
			routertest.Receive(t, other.Gone, "the end of the other watch")
			next := routertest.Receive(t, calls, "the next call")
			if !strings.Contains(next.Query, "?after=8&") {
				t.Errorf("got a call with query %q, want a call for the changes after version 8", next.Query)
			}
			r.Do(func() {
				if r.sources.discovery.previous != nil || r.sources.discovery.watch == nil || r.owner.failures != 1 {
					t.Errorf("got previous watch %v, watch %v, %d failures; want no previous watch, a watch, 1 failure",
						r.sources.discovery.previous, r.sources.discovery.watch, r.owner.failures)
				}
			})
		})
	}
}

// TestAgentListSupersedesLastKnownList guards against publishing an outdated list: the agent's list counts as known from the
// start of the process, including a drain that the agent received before the start.
func TestAgentListSupersedesLastKnownList(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	r := newPushedRig(t, addr, func(c *Config) { c.DiscoveryOptions.Grace = 800_000_000 })
	r.start()
	first := routertest.Receive(t, calls, "the first call")
	if strings.Contains(first.Query, "?") {
		t.Errorf("got a first call with query %q, which may wait for a change; want a call for the full list", first.Query)
	}
	r.Do(func() {
		if len(r.owner.endpoints) > 0 {
			t.Errorf("got %v published before the agent has answered, want no endpoints", r.owner.endpoints)
		}
	})
	first.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		r.sources.discovery.useLastKnown()
		if _, old := r.owner.endpoints["c1"]; old {
			t.Error("the last known list was published after a newer list")
		}
	})
}

// TestLastKnownListIsUsedWithoutAgent checks that the last known list is published at once if the agent refuses connections, and
// after AnswerTime if the agent is silent.
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

// TestSilentAgentIsPolledAtAConstantPace also checks that the calls do not depend on the owner. An agent is silent while discovery
// is down, and the changes that it receives when discovery returns count as known to the router at once. A delay that grew with
// each failure would exceed the drain grace.
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
	watch := routertest.Receive(t, calls, "the watch") // not answered
	if !strings.Contains(watch.Query, "?after=9&") {
		t.Errorf("got a call with query %q, want a call for the changes after version 9", watch.Query)
	}
	next := routertest.Receive(t, calls, "the next call")
	if strings.Contains(next.Query, "?") {
		t.Errorf("got a call with query %q after a silent watch, want the full list: versions may have restarted", next.Query)
	}
	next.Reply <- routertest.Hosts(9, true, routertest.Host("c2", "127.0.0.1:7002", "in_service"))
	r.want("c2", decide.Serving, "")
	r.Do(func() {
		if r.owner.failures != 0 {
			t.Errorf("got %d calls of DiscoveryFailed, want none", r.owner.failures)
		}
	})
	r.Do(func() { r.sources.Stop() })
	r.Do(func() {
		if r.sources.discovery.retryTimer != nil {
			t.Error("a retry is scheduled after Stop")
		}
	})
}

// TestOwnerLearnsWhetherDiscoveryRejectedTheCall checks that the owner can distinguish a service that rejects a call, and so is
// reachable, from an unreachable service.
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
			r.Until("the call fails", func() bool { return r.owner.failures == 1 })
			if got := errors.Is(r.owner.cause, discovery.ErrOverloaded); got != c.rejected {
				t.Errorf("error %v: got rejected %t, want %t", r.owner.cause, got, c.rejected)
			}
		})
	}
}

package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestClosedPipeliningClientsReleaseRequests has clients pipeline requests and leave. A request that was released
// before the module knew of its end would be sent once more without ever getting a result, and its place at the cache
// would be lost for good.
func TestClosedPipeliningClientsReleaseRequests(t *testing.T) {
	var lines []string
	out := make(chan string, 60*40)
	for i := range 3 {
		cache := newFakeCache(t)
		cache.Answering(t, func(id string) bool { return strings.HasPrefix(id, "one") }, out)
		lines = append(lines, host(fmt.Sprint("c", i), cache.Addr(), "in_service"))
	}
	r := start(t, testConfig(t, routertest.SilentDiscovery(t), nil, lines...), nil, nil)
	for burst := range 60 {
		c := dial(t, r.addr)
		wire := ""
		for i := range 40 {
			wire += words("C.GET", fmt.Sprint("key", i), fmt.Sprint("b", burst, "-", i), "c=read,d=20000")
		}
		c.Send(wire)
		for id := ""; !strings.HasPrefix(id, fmt.Sprint("b", burst, "-")); { // the burst has been read, and some of it is out
			id = receive(t, out, "request at a cache")
		}
		c.Close()
		// A read for each burst, on a key that was requested before.
		one := dial(t, r.addr)
		one.Send(words("C.GET", fmt.Sprint("key", burst%40), fmt.Sprint("one", burst), "c=read,d=5000"))
		if got := one.Line(); got != "value" {
			t.Fatalf("after burst %d: %q", burst, got)
		}
		one.Close()
	}
	r.idle()
}

// sender is a module that sends a request when it receives the end of another one.
type sender struct {
	told []decide.Event
	then func(decide.Event) []decide.Action
}

func (s *sender) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	s.told = append(s.told, ev)
	if s.then == nil {
		return nil
	}
	return s.then(ev)
}

// outcomes returns the results that a request has got.
func (s *sender) outcomes(id int64) (results []decide.Result) {
	for _, ev := range s.told {
		if o, ok := ev.(*decide.AttemptResult); ok && o.ID == id {
			results = append(results, o.Result)
		}
	}
	return results
}

// TestSendForFinishedRequestHasResult sends a request that is finished already: the module gets a result all the same.
func TestSendForFinishedRequestHasResult(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	// One client sends both requests and leaves.
	c := dial(t, r.addr)
	c.Send(get("r1") + get("r2"))
	first, second := receive(t, r.requests, "request").ID, receive(t, r.requests, "request").ID
	r.perform(decide.Send{ID: first, Cache: "c1"})
	receive(t, cache.Commands, "command")
	s := &sender{}
	s.then = func(ev decide.Event) []decide.Action {
		d, ok := ev.(*decide.ClientGone)
		if !ok || len(s.told) > 1 {
			return nil
		}
		return []decide.Action{decide.Send{ID: first + second - d.ID, Cache: "c1"}}
	}
	r.Do(func() { r.r.module = s })
	c.Close()
	r.Until("an outcome", func() bool { return len(s.outcomes(first))+len(s.outcomes(second)) > 0 })
	r.Do(func() {
		if got := append(s.outcomes(first), s.outcomes(second)...); len(got) != 1 || got[0] != decide.NotSent {
			t.Errorf("outcomes of the late attempt: %v", got)
		}
		r.r.perform(decide.Cancel{ID: first}) // the one that was out
		r.r.ProcessEvents()
		if len(r.r.requests) != 0 {
			t.Errorf("%d requests are left", len(r.r.requests))
		}
	})
}

// TestEndpointDrainPrecedesResultsOfItsAttempts has the module receive a drain before the results of the attempts that
// end with it; otherwise it would send them to the draining cache again.
func TestEndpointDrainPrecedesResultsOfItsAttempts(t *testing.T) {
	addr := routertest.Unreachable(t)
	r := newRig(t, addr, nil)
	q := r.request()
	r.send(q)
	s := &sender{}
	r.Do(func() { r.r.module = s })
	r.list(2, false, host("c1", addr, "terminating"))
	r.Do(func() {
		if len(s.told) == 0 {
			t.Error("told nothing")
			return
		}
		if l, ok := s.told[0].(*decide.EndpointList); !ok || len(l.Endpoints) != 1 || l.Endpoints[0].Status != decide.Draining {
			t.Errorf("told %+v first", s.told[0])
		}
		if got := s.outcomes(q.id); len(got) != 1 || got[0] != decide.NotSent {
			t.Errorf("outcomes %v", got)
		}
	})
}

// TestHealthCheckOfRemovedCacheHasResult checks a cache that is not listed any more: the module gets a result.
func TestHealthCheckOfRemovedCacheHasResult(t *testing.T) {
	r := newRig(t, newFakeCache(t).Addr(), nil)
	r.Do(func() {
		s := &sender{}
		r.r.module = s
		r.r.perform(decide.HealthCheck{Cache: "never listed"})
		r.r.ProcessEvents()
		if len(s.told) != 1 {
			t.Errorf("told %d events", len(s.told))
			return
		}
		if p, ok := s.told[0].(*decide.HealthCheckResult); !ok || p.Cache != "never listed" || p.Result != decide.NotSent {
			t.Errorf("told %+v", s.told[0])
		}
	})
}

// TestEndpointChurnReleasesRecords lists caches under new names at the address of a removed one: nothing of the old
// ones or of their requests remains.
func TestEndpointChurnReleasesRecords(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.Addr(), nil)
	var last sentRequest
	var open routertest.Command
	for i := range 50 {
		name := fmt.Sprint("s", i)
		r.list(2*i+2, false, host(name, cache.Addr(), "in_service"))
		q := r.request()
		r.perform(decide.Send{ID: q.id, Cache: name})
		cmd := receive(t, cache.Commands, "command")
		if i == 49 { // one is still out as its cache goes
			last, open = q, cmd
		} else {
			cmd.Reply(t, served)
			r.want(decide.Served)
		}
		r.list(2*i+3, false, host(name, cache.Addr(), "terminated"))
	}
	r.Do(func() {
		if len(r.r.endpoints) != 1 || r.r.pool.InFlight("s49") != 1 { // c1, and the attempt that is out elsewhere
			t.Errorf("%d caches are kept, %d attempts are out", len(r.r.endpoints), r.r.pool.InFlight("s49"))
		}
	})
	r.perform(decide.Send{ID: last.id, Cache: "s3"})
	r.want(decide.NotSent) // a cache that is gone gets nothing, and the module hears of it
	open.Reply(t, served)
	r.want(decide.Served)
	r.idle()
	r.Do(func() {
		if n := r.r.pool.Connections(); n != 0 {
			t.Errorf("%d connections to caches that are gone", n)
		}
	})
}

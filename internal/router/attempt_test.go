package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// TestClosedPipeliningClientsReleaseRequests lets clients pipeline requests and disconnect. If the router released a
// request before the module received its end, the module would send the request again, never receive a result, and count
// the attempt against the concurrency limit of the cache forever.
func TestClosedPipeliningClientsReleaseRequests(t *testing.T) {
	var lines []string
	received := make(chan string, 60*40)
	for i := range 3 {
		cache := newFakeCache(t)
		cache.Answering(t, func(id string) bool { return strings.HasPrefix(id, "one") }, received)
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
		for id := ""; !strings.HasPrefix(id, fmt.Sprint("b", burst, "-")); { // until the router has read the burst and sent part of it
			id = receive(t, received, "request at a cache")
		}
		c.Close()
		// A later read of one of the keys must still be served.
		reader := dial(t, r.addr)
		reader.Send(words("C.GET", fmt.Sprint("key", burst%40), fmt.Sprint("one", burst), "c=read,d=5000"))
		if got := reader.Line(); got != "value" {
			t.Fatalf("read after burst %d: got %q, want %q", burst, got, "value")
		}
		reader.Close()
	}
	r.waitIdle()
}

// respondingModule records all events and answers each with the actions of respond, which may be nil.
type respondingModule struct {
	events  []decide.Event
	respond func(decide.Event) []decide.Action
}

func (s *respondingModule) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	s.events = append(s.events, ev)
	if s.respond == nil {
		return nil
	}
	return s.respond(ev)
}

// results returns the attempt results of a request.
func (s *respondingModule) results(id int64) (results []decide.Result) {
	for _, ev := range s.events {
		if o, ok := ev.(*decide.AttemptResult); ok && o.ID == id {
			results = append(results, o.Result)
		}
	}
	return results
}

// TestSendForFinishedRequestHasResult performs a Send for a request that is already finished: the module must still receive
// a result.
func TestSendForFinishedRequestHasResult(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	// One client sends both requests and disconnects.
	c := dial(t, r.addr)
	c.Send(get("r1") + get("r2"))
	first, second := receive(t, r.requests, "request").ID, receive(t, r.requests, "request").ID
	r.perform(decide.Send{ID: first, Cache: "c1"})
	receive(t, cache.Commands, "command")
	s := &respondingModule{}
	s.respond = func(ev decide.Event) []decide.Action {
		d, ok := ev.(*decide.ClientGone)
		if !ok || len(s.events) > 1 {
			return nil
		}
		return []decide.Action{decide.Send{ID: first + second - d.ID, Cache: "c1"}}
	}
	r.Do(func() { r.r.module = s })
	c.Close()
	r.Until("result of the late attempt", func() bool { return len(s.results(first))+len(s.results(second)) > 0 })
	r.Do(func() {
		if got := append(s.results(first), s.results(second)...); len(got) != 1 || got[0] != decide.NotSent {
			t.Errorf("late attempt has results %v, want one NotSent", got)
		}
		r.r.perform(decide.Cancel{ID: first}) // the attempt that was in flight
		r.r.ProcessEvents()
		if len(r.r.requests) != 0 {
			t.Errorf("%d requests remain, want 0", len(r.r.requests))
		}
	})
}

// TestEndpointDrainPrecedesResultsOfItsAttempts checks that the module receives a drain before the results of the attempts
// that the drain ends. Otherwise the module would retry those requests at the draining cache.
func TestEndpointDrainPrecedesResultsOfItsAttempts(t *testing.T) {
	addr := routertest.Unreachable(t)
	r := newScriptedRouter(t, addr, nil)
	q := r.sendRead()
	r.startAttempt(q)
	s := &respondingModule{}
	r.Do(func() { r.r.module = s })
	r.applyList(2, false, host("c1", addr, "terminating"))
	r.Do(func() {
		if len(s.events) == 0 {
			t.Error("the module received no event")
			return
		}
		if l, ok := s.events[0].(*decide.EndpointList); !ok || len(l.Endpoints) != 1 || l.Endpoints[0].Status != decide.Draining {
			t.Errorf("first event is %+v, want the drain of c1", s.events[0])
		}
		if got := s.results(q.id); len(got) != 1 || got[0] != decide.NotSent {
			t.Errorf("got results %v, want one NotSent", got)
		}
	})
}

// TestHealthCheckOfRemovedCacheHasResult performs a health check of a cache that is not listed: the module must receive a
// result.
func TestHealthCheckOfRemovedCacheHasResult(t *testing.T) {
	r := newScriptedRouter(t, newFakeCache(t).Addr(), nil)
	r.Do(func() {
		s := &respondingModule{}
		r.r.module = s
		r.r.perform(decide.HealthCheck{Cache: "never listed"})
		r.r.ProcessEvents()
		if len(s.events) != 1 {
			t.Errorf("the module received %d events, want 1", len(s.events))
			return
		}
		if p, ok := s.events[0].(*decide.HealthCheckResult); !ok || p.Cache != "never listed" || p.Result != decide.NotSent {
			t.Errorf("got event %+v, want a NotSent result of the health check", s.events[0])
		}
	})
}

// TestEndpointChurnReleasesRecords repeatedly removes a cache and lists another name at the same address: no record of the
// removed caches or of their requests may remain.
func TestEndpointChurnReleasesRecords(t *testing.T) {
	cache := newFakeCache(t)
	r := newScriptedRouter(t, cache.Addr(), nil)
	var last sentRequest
	var open routertest.Command
	for i := range 50 {
		name := fmt.Sprint("s", i)
		r.applyList(2*i+2, false, host(name, cache.Addr(), "in_service"))
		q := r.sendRead()
		r.perform(decide.Send{ID: q.id, Cache: name})
		cmd := receive(t, cache.Commands, "command")
		if i == 49 { // this attempt is still in flight when its cache is removed
			last, open = q, cmd
		} else {
			cmd.Reply(t, served)
			r.wantResult(decide.Served)
		}
		r.applyList(2*i+3, false, host(name, cache.Addr(), "terminated"))
	}
	r.Do(func() {
		if len(r.r.endpoints) != 1 || r.r.pool.InFlight("s49") != 1 { // c1, and the attempt in flight at s49
			t.Errorf("got %d caches and %d attempts in flight, want 1 of each", len(r.r.endpoints), r.r.pool.InFlight("s49"))
		}
	})
	r.perform(decide.Send{ID: last.id, Cache: "s3"})
	r.wantResult(decide.NotSent) // the cache is removed: nothing is sent, and the module receives a result
	open.Reply(t, served)
	r.wantResult(decide.Served)
	r.waitIdle()
	r.Do(func() {
		if n := r.r.pool.Connections(); n != 0 {
			t.Errorf("%d connections to removed caches, want 0", n)
		}
	})
}

package router

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/decide"
)

// answering has a cache serve the requests that the test names; it tells of all others.
func (c *fakeCache) answering(t *testing.T, serves func(id string) bool, others chan<- string) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case cmd := <-c.commands:
				if serves(cmd.args[2]) {
					fmt.Fprint(cmd.conn, served)
				} else {
					others <- cmd.args[2]
				}
			case <-over:
				return
			}
		}
	}()
}

// TestClientsThatPipelineAndCloseLeaveNothingBehind. The danger: the requests of a client that has
// gone are forgotten one by one, while the module sends a held one on that is forgotten already. It
// gets no outcome, its cache's place is taken for good, and in the end nothing is served.
func TestClientsThatPipelineAndCloseLeaveNothingBehind(t *testing.T) {
	var lines []string
	out := make(chan string, 60*40)
	for i := range 3 {
		cache := newFakeCache(t)
		cache.answering(t, func(id string) bool { return strings.HasPrefix(id, "one") }, out)
		lines = append(lines, host(fmt.Sprint("c", i), cache.addr(), "in_service"))
	}
	r := start(t, testConfig(t, silentDiscovery(t), nil, lines...))
	for burst := range 60 {
		c := dial(t, r.addr)
		wire := ""
		for i := range 40 {
			wire += words("C.GET", fmt.Sprint("key", i), fmt.Sprint("b", burst, "-", i), "c=read,d=20000")
		}
		c.send(wire)
		for id := ""; !strings.HasPrefix(id, fmt.Sprint("b", burst, "-")); { // the burst has been read, and some of it is out
			id = receive(t, out, "request at a cache")
		}
		c.nc.Close()
		// A read for each burst, on a key that has been asked for.
		one := dial(t, r.addr)
		one.send(words("C.GET", fmt.Sprint("key", burst%40), fmt.Sprint("one", burst), "c=read,d=5000"))
		if got := one.line(); got != "value" {
			t.Fatalf("after burst %d: %q", burst, got)
		}
		one.nc.Close()
	}
	type left struct{ requests, ids, out int }
	turn := make(chan left, 1)
	r.srv.loop.post(func() {
		l := r.srv.loop
		out := 0
		for _, q := range l.requests {
			out += q.out
		}
		turn <- left{len(l.requests), len(l.ids), out}
	})
	if got := receive(t, turn, "turn of the loop"); got != (left{}) {
		t.Errorf("left behind: %+v", got)
	}
}

// sender is a module that sends a request when it hears of another one's end.
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

// outcomes are those that a request has got.
func (s *sender) outcomes(id int64) (results []decide.Result) {
	for _, ev := range s.told {
		if o, ok := ev.(*decide.Outcome); ok && o.ID == id {
			results = append(results, o.Result)
		}
	}
	return results
}

// TestSendOfARequestThatIsOverHasAnOutcome: whatever the module sends, it is told how it ended.
func TestSendOfARequestThatIsOverHasAnOutcome(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	first, second := r.request(nil), r.request(nil)
	r.send(first, long)
	receive(t, cache.commands, "command")
	r.do(func() {
		s := &sender{}
		s.then = func(ev decide.Event) []decide.Action {
			d, ok := ev.(*decide.Departed)
			if !ok || len(s.told) > 1 {
				return nil
			}
			return []decide.Action{decide.Send{ID: first.id + second.id - d.ID, Cache: "c1"}}
		}
		r.l.module = s
		// One client had asked for both, and has gone.
		r.l.depart(&client{open: map[int64]*request{first.id: first, second.id: second}})
		r.l.tell()
		if got := append(s.outcomes(first.id), s.outcomes(second.id)...); len(got) != 1 || got[0] != decide.NotSent {
			t.Errorf("outcomes of the late attempt: %v", got)
		}
		r.l.perform(decide.Cancel{ID: first.id}) // the one that was out
		r.l.tell()
		if len(r.l.requests) != 0 {
			t.Errorf("%d requests are left", len(r.l.requests))
		}
	})
}

// TestDrainIsToldBeforeWhatItEnds. The danger: of an attempt that was not sent as its cache drains,
// the module hears first, and sends it there once more.
func TestDrainIsToldBeforeWhatItEnds(t *testing.T) {
	addr := unreachable(t)
	r := newRig(t, addr, nil)
	q := r.request(nil)
	r.send(q, long)
	r.do(func() {
		s := &sender{}
		r.l.module = s
		h, err := parseHosts([]byte(hosts(2, false, host("c1", addr, "terminating"))))
		if err != nil {
			t.Error(err)
			return
		}
		r.l.learn(h, decide.ListChanges)
		r.l.tell()
		if len(s.told) != 2 {
			t.Errorf("told %d events", len(s.told))
			return
		}
		if _, ok := s.told[0].(*decide.List); !ok {
			t.Errorf("told %T first", s.told[0])
		}
	})
}

// TestProbeOfACacheThatIsGoneHasAnOutcome, as every probe has.
func TestProbeOfACacheThatIsGoneHasAnOutcome(t *testing.T) {
	r := newRig(t, newFakeCache(t).addr(), nil)
	r.do(func() {
		s := &sender{}
		r.l.module = s
		r.l.perform(decide.Probe{Cache: "never listed"})
		r.l.tell()
		if len(s.told) != 1 {
			t.Errorf("told %d events", len(s.told))
			return
		}
		if p, ok := s.told[0].(*decide.Probed); !ok || p.Cache != "never listed" || p.Result != decide.NotSent {
			t.Errorf("told %+v", s.told[0])
		}
	})
}

package rules

import (
	"slices"
	"strings"
	"testing"
)

const ms Time = 1000

// testSettings has a class of each kind.
func testSettings() Settings {
	return Settings{
		Classes: map[string]Class{
			"read":    {Semantics: Idempotent, LatencyObjective: 500 * ms, ClientTimeout: 1200 * ms, PriorityWeight: 2, LateWeightFraction: 0.5},
			"put":     {Semantics: IdempotentByKey, Scope: ScopeAll, IdempotencyWindow: 1200 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 3},
			"zoneput": {Semantics: IdempotentByKey, Scope: ScopeZone, IdempotencyWindow: 1200 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 3},
			"cellput": {Semantics: IdempotentByKey, Scope: ScopeCell, IdempotencyWindow: 1200 * ms, ClientTimeout: 3000 * ms, PriorityWeight: 3},
			"once":    {Semantics: NonIdempotent, ClientTimeout: 3000 * ms, PriorityWeight: 5},
		},
		MaxAttempts:            3,
		Slack:                  50 * ms,
		MaxTransit:             20 * ms,
		DrainGrace:             1000 * ms,
		OverloadMultiple:       3,
		OverloadWindow:         3000 * ms,
		StoreOverloadWindow:    3000 * ms,
		MaxStoreWarmupFraction: 0.3,
	}
}

// harness is a Watcher with helper methods that report the events of a request.
type harness struct {
	*Watcher
	got []Violation
}

func newHarness(set Settings) *harness {
	s := &harness{}
	s.Watcher = New(set, func(v Violation) { s.got = append(s.got, v) })
	for _, c := range []struct{ name, zone, cell string }{
		{"a", "north", "1"}, {"b", "north", "2"}, {"c", "south", "3"}, {"a2", "north", "1"},
	} {
		s.Place(c.name, c.zone, c.cell)
	}
	s.RouterUp(0, "r")
	return s
}

func (s *harness) send(at Time, id, class string) {
	deadline := at + s.settings.Classes[class].ClientTimeout
	s.Asked(at, Request{ID: id, Router: "r", Class: class, Key: "key", IdemKey: "k", Sent: at, Deadline: deadline})
}

func (s *harness) attempt(at Time, cache, id, class string) Attempt {
	return Attempt{ID: id, Key: "key", IdemKey: "k", Class: class, Router: "r", Cache: cache,
		First: at, Last: at, Sent: at - 5*ms}
}

// begin reports an attempt that was sent 5 ms before its arrival.
func (s *harness) begin(at Time, cache, id, class string) {
	s.Began(at, s.attempt(at, cache, id, class))
}

func (s *harness) ran(at Time, cache, id, class string, repeat bool) {
	s.Ran(at, s.attempt(at, cache, id, class), repeat)
}

// serve reports that a cache executed a request and replied.
func (s *harness) serve(at Time, cache, id, class string) {
	s.ran(at, cache, id, class, false)
	s.Replied(at, cache, id, Served, "value of "+id)
}

func (s *harness) rules() []Rule {
	var rules []Rule
	for _, v := range s.got {
		rules = append(rules, v.Rule)
	}
	return rules
}

// Each case breaks exactly the listed rules. A case without rules is a valid stream close to the violation of the case before it.
var streams = []struct {
	name   string
	broken []Rule
	play   func(s *harness)
}{
	{"no answer by the deadline", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.Tick(1251 * ms)
	}},
	{"no answer yet at the deadline and its slack", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Tick(1250 * ms)
		s.Answered(1250*ms, "q", Failed, "")
	}},
	{"a client that gives up at its deadline was not answered", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(1200*ms, "q")
		s.Tick(2000 * ms)
	}},
	{"a client that gives up before its deadline needs no answer", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(1199*ms, "q")
		s.Tick(2000 * ms)
	}},
	{"a live router breaks the connection", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.Broken(100*ms, "q")
		s.Tick(1000 * ms)
	}},
	{"a connection breaks just before its router is known to be killed", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Broken(100*ms, "q")
		s.RouterDown(130*ms, "r", false)
		s.Tick(2000 * ms)
	}},
	{"a router ends cleanly with a request unanswered", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.RouterDown(90*ms, "r", true)
		s.Broken(100*ms, "q")
	}},
	{"a connection of a killed router stays silent", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.RouterDown(90*ms, "r", false)
		s.RouterUp(200*ms, "r")
		s.Tick(2000 * ms)
	}},
	{"a router that has been killed does not excuse the next one's loss", []Rule{Lost}, func(s *harness) {
		s.RouterDown(10*ms, "r", false)
		s.RouterUp(20*ms, "r")
		s.send(30*ms, "q", "read")
		s.Tick(2000 * ms)
	}},
	{"a request that is written to a dead router", nil, func(s *harness) {
		s.RouterDown(10*ms, "r", true)
		s.send(30*ms, "q", "read")
		s.Tick(2000 * ms)
	}},
	{"a router reads a request, closes, and the client sends it again", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.send(20*ms, "q", "read")
		s.Answered(30*ms, "q", Failed, "")
	}},
	{"a request crosses the close of its connection and is sent again", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Broken(10*ms, "q")
		s.send(20*ms, "q", "read")
		s.begin(30*ms, "a", "q", "read")
		s.serve(40*ms, "a", "q", "read")
		s.Answered(50*ms, "q", Served, "value of q")
		s.Tick(2000 * ms)
	}},
	{"a value is cut off although its cache sent it whole", []Rule{Lost}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.serve(40*ms, "a", "q", "read")
		s.Answered(50*ms, "q", Cut, "")
	}},
	{"a value is cut off by its cache", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Ended(40*ms, "a", "q")
		s.Answered(50*ms, "q", Cut, "")
	}},
	{"an answer after the deadline and its slack", []Rule{Lost, Late}, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(1251*ms, "q", Failed, "")
	}},
	{"a long value that comes late is still recognized", []Rule{Lost, Late}, func(s *harness) {
		long := strings.Repeat("v", maxRetainedValue+1)
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Replied(20*ms, "a", "q", Served, long)
		s.Answered(1251*ms, "q", Served, long)
	}},
	{"an answer within the slack", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(1250*ms, "q", Failed, "")
	}},
	{"a second answer", []Rule{Doubled}, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		s.Answered(20*ms, "q", Failed, "")
	}},
	{"an answer to a request that is no longer retained", []Rule{Doubled}, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		s.Answered(60_000*ms, "q", Failed, "")
	}},
	{"one answer each to two requests", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.send(0, "p", "read")
		s.Answered(10*ms, "q", Refused, "")
		s.Answered(10*ms, "p", Refused, "")
	}},
	{"a value made for another request", []Rule{WrongValue}, func(s *harness) {
		s.send(0, "q", "read")
		s.send(0, "p", "read")
		s.begin(10*ms, "a", "q", "read")
		s.begin(10*ms, "a", "p", "read")
		s.serve(20*ms, "a", "q", "read")
		s.serve(20*ms, "a", "p", "read")
		s.Answered(30*ms, "q", Served, "value of p")
		s.Answered(30*ms, "p", Served, "value of p")
	}},
	{"a value that no cache has made", []Rule{WrongValue}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Answered(30*ms, "q", Served, "value of q")
	}},
	{"a served answer where the cache has failed", []Rule{WrongValue}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Replied(20*ms, "a", "q", Failed, "value of q")
		s.Answered(30*ms, "q", Served, "value of q")
	}},
	{"the value of one of two copies", nil, func(s *harness) {
		s.settings.AllowHedging = true
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.begin(100*ms, "b", "q", "read")
		s.Replied(120*ms, "b", "q", Served, "from b")
		s.Replied(121*ms, "a", "q", Served, "from a")
		s.Answered(130*ms, "q", Served, "from a")
	}},
	{"an attempt sent after the final answer", []Rule{SentAfterFinal}, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		s.begin(16*ms, "a", "q", "read")
	}},
	{"an attempt that was under way at the final answer", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		s.begin(15*ms, "a", "q", "read")
	}},
	{"an attempt sent long after the client has left", []Rule{SentAfterLeft}, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(100*ms, "q")
		s.begin(260*ms, "a", "q", "read") // sent at 255
	}},
	{"an attempt sent before the router can have seen that the client has left", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(100*ms, "q")
		s.begin(255*ms, "a", "q", "read") // sent at 250
	}},
	{"a further attempt sent long after the client has left", []Rule{SentAfterLeft}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Left(100*ms, "q")
		s.Replied(200*ms, "a", "q", Refused, "")
		s.begin(260*ms, "b", "q", "read") // sent at 255
	}},
	{"an attempt sent while the end of the client's connection is delayed", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(100*ms, "q")
		s.Unseen("q", 400*ms)
		s.Unseen("q", 300*ms)             // an earlier instant changes nothing
		s.begin(555*ms, "a", "q", "read") // sent at 550
	}},
	{"an attempt sent long after the delayed end of the client's connection", []Rule{SentAfterLeft}, func(s *harness) {
		s.send(0, "q", "read")
		s.Left(100*ms, "q")
		s.Unseen("q", 400*ms)
		s.begin(560*ms, "a", "q", "read") // sent at 555
	}},
	{"an attempt with an unknown time of sending, long after the final answer", []Rule{SentAfterFinal}, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		a := s.attempt(31*ms, "a", "q", "read")
		a.Sent = a.First
		s.Began(31*ms, a)
	}},
	{"an attempt with an unknown time of sending, perhaps in flight at the final answer", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.Answered(10*ms, "q", Refused, "")
		a := s.attempt(30*ms, "a", "q", "read")
		a.Sent = a.First
		s.Began(30*ms, a)
	}},
	{"a second attempt at a restarted cache, ended before the next attempt", nil, func(s *harness) {
		s.settings.AllowHedging = false
		s.CacheUp(0, "a", 0, 0, 0)
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.CacheUp(20*ms, "a", 0, 0, 0) // the first attempt ends with the process; no end of its connection is reported
		s.begin(30*ms, "a", "q", "read")
		s.Ended(40*ms, "a", "q")
		s.begin(50*ms, "b", "q", "read")
		s.serve(60*ms, "b", "q", "read")
		s.Answered(300*ms, "q", Served, "value of q")
	}},
	{"an unsafe request runs twice", []Rule{NonIdempotentResent, RanTwice}, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.serve(20*ms, "a", "q", "once")
		s.begin(30*ms, "b", "q", "once")
		s.serve(40*ms, "b", "q", "once")
		s.Answered(50*ms, "q", Served, "value of q")
	}},
	{"an unsafe request is sent again while the first attempt is in flight", []Rule{NonIdempotentResent}, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.Ended(20*ms, "a", "q")
		s.begin(30*ms, "b", "q", "once")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"an unsafe request is sent again before it was rejected", []Rule{NonIdempotentResent}, func(s *harness) {
		s.settings.AllowHedging = true
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.Replied(26*ms, "a", "q", Refused, "")
		s.begin(30*ms, "b", "q", "once")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"a cache rejects an unsafe request on a closed connection", []Rule{NonIdempotentResent}, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.Ended(12*ms, "a", "q")
		s.Replied(14*ms, "a", "q", Refused, "")
		s.begin(30*ms, "b", "q", "once")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"an unsafe request of a killed router reaches another one", nil, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.RouterDown(20*ms, "r", false)
		s.Asked(30*ms, Request{ID: "q", Router: "p", Class: "once", Key: "key", IdemKey: "k", Deadline: 3000 * ms})
		again := s.attempt(40*ms, "b", "q", "once")
		again.Router = "p"
		s.Began(40*ms, again)
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"an unsafe request is sent again after it was rejected", nil, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.Replied(11*ms, "a", "q", Refused, "")
		s.begin(30*ms, "b", "q", "once")
		s.serve(40*ms, "b", "q", "once")
		s.Answered(50*ms, "q", Served, "value of q")
	}},
	{"a keyed write is sent again after its window, and runs twice", []Rule{KeyedResent, RanTwice}, func(s *harness) {
		s.send(0, "q", "put")
		s.begin(10*ms, "a", "q", "put")
		s.serve(20*ms, "a", "q", "put")
		s.begin(1261*ms, "b", "q", "put")
		s.serve(1300*ms, "b", "q", "put")
		s.Answered(1310*ms, "q", Served, "value of q")
	}},
	{"a keyed write's first attempt is read late, and seems to be sent before it was asked for", nil, func(s *harness) {
		s.settings.AllowHedging = true
		s.send(2000*ms, "q", "put")
		second := s.attempt(2310*ms, "b", "q", "put")
		s.Began(2310*ms, second)
		first := s.attempt(2400*ms, "a", "q", "put")
		first.Sent = 400 * ms // the cache reports only a bound on the time of sending
		s.Began(2400*ms, first)
		s.Replied(2500*ms, "b", "q", Served, "x")
		s.Answered(2500*ms, "q", Served, "x")
	}},
	{"a keyed write's first attempt comes after its late second one", []Rule{KeyedResent}, func(s *harness) {
		s.settings.AllowHedging = true
		s.send(0, "q", "put")
		s.begin(1275*ms, "b", "q", "put")
		slow := s.attempt(1400*ms, "a", "q", "put")
		slow.Sent = 10 * ms
		s.Began(1400*ms, slow)
		s.Answered(1500*ms, "q", Failed, "")
	}},
	{"a keyed write is sent again just within its window", nil, func(s *harness) {
		s.send(0, "q", "put")
		s.begin(10*ms, "a", "q", "put")
		s.serve(20*ms, "a", "q", "put")
		s.begin(1260*ms, "b", "q", "put")
		s.ran(1270*ms, "b", "q", "put", true)
		s.Replied(1270*ms, "b", "q", Served, "value of q")
		s.Answered(1310*ms, "q", Served, "value of q")
	}},
	{"a keyed write is sent outside its zone, and runs twice", []Rule{KeyedResent, RanTwice}, func(s *harness) {
		s.send(0, "q", "zoneput")
		s.begin(10*ms, "a", "q", "zoneput")
		s.serve(20*ms, "a", "q", "zoneput")
		s.begin(30*ms, "c", "q", "zoneput")
		s.serve(40*ms, "c", "q", "zoneput")
		s.Answered(50*ms, "q", Served, "value of q")
	}},
	{"a keyed write is sent again within its zone", nil, func(s *harness) {
		s.send(0, "q", "zoneput")
		s.begin(10*ms, "a", "q", "zoneput")
		s.Ended(20*ms, "a", "q")
		s.begin(30*ms, "b", "q", "zoneput")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"a keyed write is sent outside its cell", []Rule{KeyedResent}, func(s *harness) {
		s.send(0, "q", "cellput")
		s.begin(10*ms, "a", "q", "cellput")
		s.Ended(20*ms, "a", "q")
		s.begin(30*ms, "b", "q", "cellput")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"a keyed write is sent again within its cell", nil, func(s *harness) {
		s.send(0, "q", "cellput")
		s.begin(10*ms, "a", "q", "cellput")
		s.Ended(20*ms, "a", "q")
		s.begin(30*ms, "a2", "q", "cellput")
		s.Answered(50*ms, "q", Failed, "")
	}},
	{"a client's own retry with the same key after its window runs again", nil, func(s *harness) {
		for i, id := range []string{"q", "p"} {
			at := Time(i) * 2000 * ms
			s.send(at, id, "put")
			s.begin(at+10*ms, "a", id, "put")
			s.serve(at+20*ms, "a", id, "put")
			s.Answered(at+30*ms, id, Served, "value of "+id)
		}
	}},
	{"an unsafe request is refused after it ran", []Rule{RefusedAfterRun}, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.serve(20*ms, "a", "q", "once")
		s.Answered(30*ms, "q", Refused, "")
	}},
	{"a write keyed in a zone is refused while it may run", []Rule{RefusedAfterRun}, func(s *harness) {
		s.send(0, "q", "zoneput")
		s.begin(10*ms, "a", "q", "zoneput")
		s.Answered(30*ms, "q", Refused, "")
	}},
	{"an unsafe request is refused with an attempt in flight", []Rule{RefusedAfterRun}, func(s *harness) {
		s.send(0, "q", "once")
		s.Answered(10*ms, "q", Refused, "")
		s.begin(14*ms, "a", "q", "once")
	}},
	{"an unsafe request is refused after its attempt was rejected", nil, func(s *harness) {
		s.send(0, "q", "once")
		s.begin(10*ms, "a", "q", "once")
		s.Replied(20*ms, "a", "q", Refused, "")
		s.Answered(30*ms, "q", Refused, "")
	}},
	{"a write keyed everywhere is refused while it may run", nil, func(s *harness) {
		s.send(0, "q", "put")
		s.begin(10*ms, "a", "q", "put")
		s.Answered(30*ms, "q", Refused, "")
	}},
	{"a second copy where none is allowed", []Rule{SecondCopy}, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.begin(105*ms, "b", "q", "read")
		s.Ended(171*ms, "a", "q")
		s.Answered(200*ms, "q", Failed, "")
	}},
	{"the close of the first attempt is seen after the second one", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.begin(105*ms, "b", "q", "read")
		s.Ended(170*ms, "a", "q")
		s.Answered(200*ms, "q", Failed, "")
	}},
	{"a second attempt after the first one's cache went down", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.CacheDown(50*ms, "a", false)
		s.begin(105*ms, "b", "q", "read")
		s.Answered(200*ms, "q", Failed, "")
	}},
	{"a fourth attempt", []Rule{TooManyAttempts}, func(s *harness) {
		s.send(0, "q", "read")
		for i := range Time(4) {
			s.begin(i*10*ms, "a", "q", "read")
			s.Replied(i*10*ms, "a", "q", Refused, "")
		}
		s.Answered(200*ms, "q", Refused, "")
	}},
	{"a third attempt", nil, func(s *harness) {
		s.send(0, "q", "read")
		for i := range Time(3) {
			s.begin(i*10*ms, "a", "q", "read")
			s.Replied(i*10*ms, "a", "q", Refused, "")
		}
		s.Answered(200*ms, "q", Refused, "")
	}},
	{"new work to a draining cache after the grace", []Rule{LateDrain}, func(s *harness) {
		s.Listed(100*ms, "r", "a", false)
		s.Listed(900*ms, "r", "a", false)
		s.send(1100*ms, "q", "read")
		s.begin(1156*ms, "a", "q", "read")
		s.Answered(1200*ms, "q", Failed, "")
	}},
	{"new work to a draining cache that came back before it arrived", []Rule{LateDrain}, func(s *harness) {
		s.Listed(100*ms, "r", "a", false)
		s.send(1100*ms, "q", "read")
		s.Listed(1162*ms, "r", "a", true)
		s.begin(1165*ms, "a", "q", "read")
		s.Answered(1200*ms, "q", Failed, "")
	}},
	{"new work to a draining cache within the grace", nil, func(s *harness) {
		s.Listed(100*ms, "r", "a", false)
		s.send(1100*ms, "q", "read")
		s.begin(1155*ms, "a", "q", "read")
		s.Answered(1200*ms, "q", Failed, "")
	}},
	{"new work to a cache that drained and came back", nil, func(s *harness) {
		s.Listed(100*ms, "r", "a", false)
		s.Listed(200*ms, "r", "a", true)
		s.send(1500*ms, "q", "read")
		s.begin(1510*ms, "a", "q", "read")
		s.Answered(1600*ms, "q", Failed, "")
	}},
	{"new work to a draining cache by a router that was not notified", nil, func(s *harness) {
		s.Listed(100*ms, "another", "a", false)
		s.send(1500*ms, "q", "read")
		s.begin(1510*ms, "a", "q", "read")
		s.Answered(1600*ms, "q", Failed, "")
	}},
	{"a cold cache gets more than its budget", []Rule{WarmupOverload}, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms) // 0.1 s of work per second at the start: the budget is 0.9 s
		s.Offered(10*ms, "a", "", 905*ms)
		s.Offered(20*ms, "a", "", 905*ms)
	}},
	{"a cold cache repeatedly gets less than its budget", nil, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		for i := range Time(5) {
			s.Offered(i*3000*ms, "a", "", 900*ms)
		}
	}},
	{"a cold cache steadily gets what it can process", nil, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 2_000_000*ms)
		for i := range Time(30) {
			s.Offered(i*1000*ms, "a", "", 290*ms)
		}
	}},
	{"a cold cache gets too much from routers that were notified of its start", []Rule{WarmupOverload}, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.StartNotified(5*ms, "r-1", "a", 0)
		s.StartNotified(5*ms, "r-2", "a", 0)
		s.Offered(10*ms, "a", "r-3", 300*ms)
		s.Offered(20*ms, "a", "r-1", 400*ms)
		s.Offered(30*ms, "a", "r-2", 500*ms)
	}},
	{"a cold cache gets too much from routers that can't know of its start", nil, func(s *harness) {
		s.StartNotified(0, "r-1", "a", 0) // the start of the previous process
		s.CacheUp(2*ms, "a", 1e6, 0.1, 20_000*ms)
		s.StartNotified(5*ms, "r-2", "a", 2*ms)
		s.Offered(10*ms, "a", "r-1", 905*ms)
		s.Offered(20*ms, "a", "r-2", 905*ms)
		s.CacheDown(30*ms, "a", true)
	}},
	{"a cold cache gets as many calls as its budget and chance allow", nil, func(s *harness) {
		s.settings.MeanWork = 100 * ms
		s.CacheUp(0, "a", 1e6, 0.1, 2_000_000*ms)
		for i := range Time(17) { // 9 requests of mean work, plus twice the square root of 9, plus 2
			s.Offered(i*ms, "a", "", 100*ms)
		}
	}},
	{"a cold cache gets more calls than its budget and chance allow", []Rule{WarmupOverload}, func(s *harness) {
		s.settings.MeanWork = 100 * ms
		s.CacheUp(0, "a", 1e6, 0.1, 2_000_000*ms)
		for i := range Time(18) {
			s.Offered(i*ms, "a", "", 100*ms)
		}
	}},
	{"a cold cache crashes", []Rule{WarmupOverload}, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.CacheDown(19_999*ms, "a", true)
	}},
	{"a warm cache gets too much and crashes", nil, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.Offered(20_000*ms, "a", "", 9001*ms)
		s.CacheDown(20_000*ms, "a", true)
	}},
	{"the store crashes under misses at cold caches", []Rule{StoreOverload}, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.StartNotified(900*ms, "r-1", "a", 0)
		s.StoreOffered(1000*ms, 69, "")
		s.StoreOffered(1000*ms, 31, "a")
		s.StoreFell(1500 * ms)
	}},
	{"the store crashes under misses at caches whose start no router was notified of", nil, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.StoreOffered(1000*ms, 69, "")
		s.StoreOffered(1000*ms, 31, "a")
		s.StoreFell(1500 * ms)
	}},
	{"the store crashes under fetches of other caches", nil, func(s *harness) {
		s.CacheUp(0, "a", 1e6, 0.1, 20_000*ms)
		s.StartNotified(0, "r-1", "a", 0)
		s.StoreOffered(0, 1000, "a") // long before the crash
		s.StoreOffered(4000*ms, 70, "")
		s.StoreOffered(4000*ms, 30, "a")
		s.StoreFell(4500 * ms)
	}},
	{"a cache gets what no client can have sent", []Rule{BadCommand}, func(s *harness) {
		s.Bad(0, "a", "-SYNTAX")
	}},
	{"a cache gets a request that no client sent", []Rule{BadCommand}, func(s *harness) {
		s.begin(10*ms, "a", "q", "read")
	}},
	{"a cache gets a request under another key", []Rule{BadCommand}, func(s *harness) {
		s.send(0, "q", "read")
		a := s.attempt(10*ms, "a", "q", "read")
		a.Key = "other"
		s.Began(10*ms, a)
		s.Answered(20*ms, "q", Failed, "")
	}},
	{"a cache gets a request as its client sent it", nil, func(s *harness) {
		s.send(0, "q", "read")
		s.begin(10*ms, "a", "q", "read")
		s.Answered(20*ms, "q", Failed, "")
	}},
	{"a router holds too many descriptors, for a while", []Rule{TooManyOpen}, func(s *harness) {
		s.Usage(0, "r", 101, 100)
		s.Usage(1, "r", 102, 100)
	}},
	{"a router holds all the descriptors it may", nil, func(s *harness) {
		s.Usage(0, "r", 100, 100)
	}},
	{"a router's maps still hold entries", []Rule{LeftBehind}, func(s *harness) {
		s.Leftover(0, "r", "requests", 1)
	}},
	{"a router's maps are empty", nil, func(s *harness) {
		s.Leftover(0, "r", "requests", 0)
	}},
}

func TestStreamsBreakExactlyTheirRules(t *testing.T) {
	shown := [ruleCount]bool{}
	for _, c := range streams {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(testSettings())
			c.play(s)
			s.Close(90_000 * ms)
			if !slices.Equal(s.rules(), c.broken) {
				t.Errorf("got violations %v, want %v", s.got, c.broken)
			}
			if counts := s.Counts(); counts.Violations() != len(c.broken) {
				t.Errorf("got %d counted violations, want %d", counts.Violations(), len(c.broken))
			}
		})
		for _, r := range c.broken {
			shown[r] = true
		}
	}
	for r, ok := range shown {
		if !ok {
			t.Errorf("no stream breaks the rule %q", Rule(r))
		}
	}
}

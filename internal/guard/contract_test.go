package guard

import (
	"math"
	"slices"
	"testing"

	"starlingwinch/decide"
)

// scriptedModule is a module that asks for the actions that a test sets, and counts its attempts in flight.
type scriptedModule struct {
	events      []decide.Event
	nextActions []decide.Action // returned at the next event
	inFlight    int             // sends without a result
}

func (s *scriptedModule) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	s.events = append(s.events, ev)
	if _, ok := ev.(*decide.AttemptResult); ok {
		s.inFlight--
	}
	actions := s.nextActions
	s.nextActions = nil
	for _, a := range actions {
		if _, ok := a.(decide.Send); ok {
			s.inFlight++
		}
	}
	return actions
}

// contractTest is a scripted module in a Contract, with one listed cache "a".
type contractTest struct {
	t              *testing.T
	module         *scriptedModule
	contract       *Contract
	now            decide.Time
	breaches       []Breach
	forwarded      bool // whether the event of the last breach reached the module
	allowedActions int  // number of actions then
}

func newContractTest(t *testing.T) *contractTest {
	b := &contractTest{t: t, module: &scriptedModule{}, now: 1000}
	b.contract = NewContract(b.module, func(x Breach) { b.breaches = append(b.breaches, x) })
	b.contract.ReportAll = true
	b.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	return b
}

// handle hands over an event to which the module responds with the actions, and returns those that are accepted.
func (b *contractTest) handle(ev decide.Event, actions ...decide.Action) []decide.Action {
	b.now++
	b.module.nextActions = actions
	reported, received := len(b.breaches), len(b.module.events)
	accepted := b.contract.Handle(b.now, ev)
	if len(b.breaches) > reported {
		b.forwarded, b.allowedActions = len(b.module.events) > received, len(accepted)
	}
	return accepted
}

func (b *contractTest) overdue(after decide.Time) []decide.Event {
	b.now += after
	return b.contract.Overdue(b.now)
}

const testDeadline = 5_000 // deadline of the requests of these tests

func newRequest(id int64) *decide.Request { return &decide.Request{ID: id, Deadline: testDeadline} }
func send(id int64) decide.Send {
	return decide.Send{ID: id, Cache: "a", AttemptDeadline: testDeadline}
}
func served(id int64) *decide.AttemptResult {
	return &decide.AttemptResult{ID: id, Result: decide.Served, Last: true}
}

// breachCases break the contract in each way. What is left open is then ended as by a loop and a module that know nothing of
// the breach.
var breachCases = []struct {
	name     string
	kind     Kind
	play     func(b *contractTest)
	dropped  bool // the event that breaks it is not handed to the module
	withheld bool // the action that breaks it is not carried out
}{
	{"a request announced twice", RequestRepeated, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(newRequest(1))
		b.handle(served(1))
	}, true, false},
	{"a result of an unknown request", ResultUnknown, func(b *contractTest) { b.handle(served(7)) }, true, false},
	{"a result of an attempt never sent", ResultUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.AttemptResult{ID: 1, Attempt: 1})
		b.handle(served(1))
	}, true, false},
	{"a result of an attempt below the first", ResultUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.AttemptResult{ID: 1, Attempt: -1})
		b.handle(served(1))
	}, true, false},
	{"a second result", ResultRepeated, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
		b.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored}, decide.Fail{ID: 1})
		b.handle(&decide.PeerMessage{}, decide.Fail{ID: 1})
	}, true, false},
	{"a second result after the end", ResultRepeated, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(served(1))
		b.handle(served(1))
	}, true, false},
	{"a missing result", ResultMissing, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.ClientGone{ID: 1})
		b.repair(1, decide.TimedOut)
	}, false, false},
	{"a response start of an attempt not in flight", ResponseStartUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.ResponseStarted{ID: 1, Attempt: 1})
		b.handle(served(1))
	}, true, false},
	{"an unknown client leaves", ClientGoneUnknown, func(b *contractTest) { b.handle(&decide.ClientGone{ID: 7}) }, true, false},
	{"a client leaves twice", ClientGoneUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.ClientGone{ID: 1})
		b.handle(&decide.ClientGone{ID: 1})
		b.handle(served(1))
	}, true, false},
	{"a result of an unknown health check", HealthCheckUnknown, func(b *contractTest) {
		b.handle(&decide.HealthCheckResult{Cache: "a"})
	}, true, false},
	{"a second result of a health check", HealthCheckUnknown, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "a"})
		b.handle(&decide.HealthCheckResult{Cache: "a"})
		b.handle(&decide.HealthCheckResult{Cache: "a"})
	}, true, false},
	{"a missing result of a health check", HealthCheckMissing, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "a"})
		b.repair(1, decide.TimedOut)
	}, false, false},
	{"a timer never set", TimerNotSet, func(b *contractTest) { b.handle(&decide.Timer{Token: 3}) }, true, false},
	{"a timer that fires twice", TimerNotSet, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		b.handle(&decide.Timer{Token: 3})
		b.handle(&decide.Timer{Token: 3})
	}, true, false},
	{"a send for an unknown request", SendAfterEnd, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, send(7))
	}, false, true},
	{"a send after the final answer", SendAfterEnd, func(b *contractTest) {
		b.handle(newRequest(1), send(1), decide.Reject{ID: 1})
		b.handle(&decide.PeerMessage{}, send(1))
		b.handle(served(1))
	}, false, true},
	{"a send after the end", SendAfterEnd, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(served(1))
		b.handle(&decide.PeerMessage{}, send(1))
	}, false, true},
	{"a send to a cache never listed", SendUnlisted, func(b *contractTest) {
		b.handle(newRequest(1), decide.Send{ID: 1, Cache: "b"})
		b.handle(served(1))
	}, false, false},
	{"a send to a removed cache", SendUnlisted, func(b *contractTest) {
		b.handle(&decide.EndpointList{Kind: decide.DeltaUpdate, Endpoints: []decide.Endpoint{{ID: "a", Status: decide.Removed}}})
		b.handle(newRequest(1), send(1))
		b.handle(served(1))
	}, false, false},
	{"an answer to an unknown request", AnswerAfterEnd, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.Reject{ID: 7})
	}, false, true},
	{"a second answer", AnswerAfterEnd, func(b *contractTest) {
		b.handle(newRequest(1), send(1), decide.Reject{ID: 1})
		b.handle(&decide.PeerMessage{}, decide.Fail{ID: 1})
		b.handle(served(1))
	}, false, true},
	{"a missing answer", AnswerMissing, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
		b.repair(1, 0)
	}, false, false},
	{"a cancel of an attempt never sent", CancelUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(&decide.PeerMessage{}, decide.Cancel{ID: 1, Attempt: 1})
		b.handle(served(1))
	}, false, true},
	{"a cancel of an attempt that has ended", CancelUnknown, func(b *contractTest) {
		b.handle(newRequest(1), send(1))
		b.handle(served(1))
		b.handle(&decide.PeerMessage{}, decide.Cancel{ID: 1})
	}, false, true},
	{"a health check of a cache never listed", HealthCheckUnlisted, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "b"})
	}, false, true},
	{"idle connections of a cache never listed", CloseIdleUnlisted, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.CloseIdle{Cache: "b"})
	}, false, true},
	{"a cancel of a timer that is not set", CancelTimerNotSet, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		b.handle(&decide.PeerMessage{}, decide.CancelTimer{Token: 3})
		b.handle(&decide.PeerMessage{}, decide.CancelTimer{Token: 3})
	}, false, true},
	{"a token that is in use", TimerReused, func(b *contractTest) {
		b.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		b.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		b.handle(&decide.Timer{Token: 3})
	}, false, true},
}

// repair takes the events in place of missing ones, long after, and hands them over.
func (b *contractTest) repair(want int, result decide.Result) {
	b.t.Helper()
	if events := b.overdue(testDeadline); len(events) != 0 {
		b.t.Errorf("%d events within the tolerance, want none", len(events))
	}
	events := b.overdue(lateTolerance)
	if len(events) != want {
		b.t.Fatalf("%d events are overdue, want %d", len(events), want)
	}
	if again := b.overdue(1); len(again) != 0 {
		b.t.Errorf("%d events are overdue a second time", len(again))
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case *decide.AttemptResult:
			if ev.Result != result {
				b.t.Errorf("the result is %v, want %v: it may have run", ev.Result, result)
			}
		case *decide.HealthCheckResult:
			if ev.Result != result {
				b.t.Errorf("the result of the health check is %v, want %v", ev.Result, result)
			}
		}
		b.handle(ev)
	}
}

func TestEachBreachIsReportedAndRepaired(t *testing.T) {
	tested := map[Kind]bool{ModuleCountDiffers: true, SocketCountDiffers: true, OpenCountDiffers: true} // tested below
	for _, c := range breachCases {
		tested[c.kind] = true
		t.Run(c.name, func(t *testing.T) {
			b := newContractTest(t)
			c.play(b)
			if len(b.breaches) != 1 || b.breaches[0].Kind != c.kind || b.contract.Count(c.kind) != 1 {
				t.Fatalf("reported %v, counted %d, want one %v", b.breaches, b.contract.Count(c.kind), c.kind)
			}
			if c.dropped && b.forwarded {
				t.Error("the event reached the module")
			}
			if c.withheld && (!b.forwarded || b.allowedActions > 0) {
				t.Errorf("%d actions were accepted, want none", b.allowedActions)
			}
			b.wantNothingOpen()
		})
	}
	for k := range kindCount {
		if !tested[k] {
			t.Errorf("%v has no test", k)
		}
	}
}

// wantNothingOpen checks that nothing is left open on either side.
func (b *contractTest) wantNothingOpen() {
	b.t.Helper()
	b.now += 10 * lateTolerance
	if n := len(b.contract.Overdue(b.now)); n != 0 {
		b.t.Errorf("%d events are still missing", n)
	}
	if b.contract.Open() != 0 || b.contract.InFlight("a") != 0 || b.contract.InFlight("b") != 0 {
		b.t.Errorf("%d requests are open and %d attempts in flight at the end", b.contract.Open(), b.contract.InFlight("a"))
	}
	if b.module.inFlight != 0 {
		b.t.Errorf("the module counts %d attempts at the end", b.module.inFlight)
	}
	if n := len(b.contract.caches); n > 1 || n == 1 && b.contract.caches["a"] == nil {
		b.t.Errorf("%d caches are tracked, want the listed one", n)
	}
}

func TestWithheldSendsKeepModuleNumbers(t *testing.T) {
	b := newContractTest(t)
	b.handle(newRequest(1), send(1))
	b.handle(served(1))
	b.handle(&decide.PeerMessage{}, send(1), send(1))
	var got []int
	for _, ev := range b.module.events {
		if o, ok := ev.(*decide.AttemptResult); ok && o.Result == decide.NotSent {
			got = append(got, o.Attempt)
		}
	}
	if !slices.Equal(got, []int{1, 2}) {
		t.Errorf("the results of the sends after the end are numbered %v, want 1 and 2", got)
	}
}

func TestRepairsPerCallAreBounded(t *testing.T) {
	m := &endlessSender{}
	b := NewContract(m, nil)
	if actions := b.Handle(1, &decide.PeerMessage{}); len(actions) != 0 {
		t.Errorf("accepted %v", actions)
	}
	if m.results != maxRepairsPerCall {
		t.Errorf("the module got %d results in one call, want %d", m.results, maxRepairsPerCall)
	}
	if m.stopped = true; b.Handle(2, &decide.PeerMessage{}) != nil || m.out != 0 {
		t.Errorf("the module counts %d attempts once it has stopped", m.out)
	}
}

// endlessSender is a module that sends for an unknown request at each event.
type endlessSender struct {
	stopped      bool
	results, out int
}

func (s *endlessSender) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	if _, ok := ev.(*decide.AttemptResult); ok {
		s.results++
		s.out--
	}
	if s.stopped {
		return nil
	}
	s.out++
	return []decide.Action{send(7)}
}

func TestCrossingEventsAreNoBreach(t *testing.T) {
	b := newContractTest(t)
	b.handle(newRequest(1), send(1))
	// The client has left: its attempt ends before the module gets that event, and the module may still answer.
	b.handle(&decide.AttemptResult{ID: 1, Result: decide.NotSent, Last: true})
	b.handle(&decide.ClientGone{ID: 1})
	b.handle(newRequest(2), decide.Reject{ID: 2})
	b.handle(&decide.ClientGone{ID: 2})
	// The cache is removed while an attempt and a health check are in flight, and is listed again.
	b.handle(newRequest(3), send(3), decide.HealthCheck{Cache: "a"})
	b.handle(&decide.EndpointList{Kind: decide.FullUpdate})
	b.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	if n := b.contract.InFlight("a"); n != 1 {
		t.Errorf("%d attempts in flight at the cache that is listed again, want the earlier one", n)
	}
	b.handle(&decide.HealthCheckResult{Cache: "a"})
	b.handle(served(3))
	if len(b.breaches) > 0 {
		t.Errorf("reported %v", b.breaches)
	}
	b.wantNothingOpen()
}

func TestStartedResponseIsNotOverdue(t *testing.T) {
	b := newContractTest(t)
	b.handle(newRequest(1), send(1))
	b.handle(&decide.ResponseStarted{ID: 1})
	if events := b.overdue(testDeadline + 10*lateTolerance); len(events) != 0 {
		t.Errorf("%d events are overdue after the response has started", len(events))
	}
	b.handle(served(1))
	b.wantNothingOpen()
}

func TestOvertakenRepairIsNoBreach(t *testing.T) {
	b := newContractTest(t)
	b.handle(newRequest(1), send(1), decide.HealthCheck{Cache: "a"})
	events := b.overdue(testDeadline + lateTolerance + 10)
	if len(events) != 3 {
		t.Fatalf("%d events are overdue, want the result, the answer and the health check", len(events))
	}
	b.handle(served(1))
	b.handle(&decide.ClientGone{ID: 1})
	b.handle(&decide.HealthCheckResult{Cache: "a"})
	reported := len(b.breaches)
	for _, ev := range events {
		b.handle(ev)
	}
	if len(b.breaches) != reported {
		t.Errorf("reported %v", b.breaches[reported:])
	}
	b.wantNothingOpen()
}

func TestFirstBreachOfKindIsReported(t *testing.T) {
	b := newContractTest(t)
	b.contract.ReportAll = false
	for range 5 {
		b.handle(served(7))
		b.handle(&decide.Timer{Token: 7})
	}
	if len(b.breaches) != 2 || b.contract.Count(ResultUnknown) != 5 || b.contract.Count(TimerNotSet) != 5 {
		t.Errorf("reported %v, counted %d and %d", b.breaches, b.contract.Count(ResultUnknown), b.contract.Count(TimerNotSet))
	}
}

// countingModule is a scripted module with counts of its own.
type countingModule struct {
	scriptedModule
	inFlightCount, openCount int
}

func (c *countingModule) InFlight(string) int { return c.inFlightCount }
func (c *countingModule) Open() int           { return c.openCount }

func TestDifferingCountsAreReported(t *testing.T) {
	for _, c := range []struct {
		name               string
		inModule, onSocket int
		open               int
		want               []Kind
	}{
		{"all agree", 1, 1, 1, nil},
		{"the module counts one attempt less", 0, 1, 1, []Kind{ModuleCountDiffers}},
		{"no attempt is on a socket", 1, 0, 1, []Kind{SocketCountDiffers}},
		{"one more attempt is on a socket", 1, 2, 1, []Kind{SocketCountDiffers}},
		{"the module counts one request more", 1, 1, 2, []Kind{OpenCountDiffers}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &countingModule{inFlightCount: c.inModule, openCount: c.open}
			var got []Kind
			b := NewContract(m, func(x Breach) { got = append(got, x.Kind) })
			b.Handle(1, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
			m.nextActions = []decide.Action{send(1)}
			b.Handle(2, newRequest(1))
			b.Check(3, func(string) int { return c.onSocket })
			if !slices.Equal(got, c.want) {
				t.Errorf("reported %v, want %v", got, c.want)
			}
		})
	}
}

func TestMaximumDeadlineIsNotOverdue(t *testing.T) {
	b := newContractTest(t)
	b.handle(&decide.Request{ID: 1, Deadline: math.MaxInt64}, decide.Send{ID: 1, Cache: "a", AttemptDeadline: math.MaxInt64})
	if events := b.overdue(10 * lateTolerance); len(events) != 0 {
		t.Errorf("%d events are overdue", len(events))
	}
}

func TestHistoryNamesEachEventOnce(t *testing.T) {
	b := newContractTest(t)
	b.handle(newRequest(1), send(1))
	b.handle(newRequest(2), send(2))
	b.handle(newRequest(3), decide.Reject{ID: 3})
	b.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
	b.handle(&decide.PeerMessage{}, decide.Reject{ID: 2})
	b.overdue(testDeadline + lateTolerance)
	if len(b.breaches) < 2 || b.breaches[1].Kind != ResultMissing {
		t.Fatalf("reported %v, want the answer to 1 and the result of 2", b.breaches)
	}
	want := []string{
		"1003 request 2, wanted by 5000", "1003 send 2/0 a, given up at 5000", // of the request
		"1001 listed a", "1002 send 1/0 a", "1005 outcome 1/0 a errored", // of the cache
	}
	if got := b.breaches[1].History; !slices.Equal(got, want) {
		t.Errorf("the history is %q, want %q", got, want)
	}
}

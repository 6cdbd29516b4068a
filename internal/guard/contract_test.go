package guard

import (
	"math"
	"slices"
	"testing"

	"starlingwinch/decide"
)

// scriptedModule is a Module that returns the actions that a test sets, and counts its attempts in flight.
type scriptedModule struct {
	events      []decide.Event
	nextActions []decide.Action // the response to the next event
	inFlight    int             // Sends without a result
}

func (s *scriptedModule) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	s.events = append(s.events, ev)
	if _, ok := ev.(*decide.AttemptResult); ok {
		s.inFlight--
	}
	actions := s.nextActions
	s.nextActions = nil
	for _, action := range actions {
		if _, ok := action.(decide.Send); ok {
			s.inFlight++
		}
	}
	return actions
}

// contractTest is a test of a Contract around a scriptedModule, with one listed cache, "a".
type contractTest struct {
	t               *testing.T
	module          *scriptedModule
	contract        *Contract
	now             decide.Time
	breaches        []Breach
	forwarded       bool // the event of the latest breach reached the module
	acceptedActions int  // number of actions that the Contract accepted at the latest breach
}

func newContractTest(t *testing.T) *contractTest {
	test := &contractTest{t: t, module: &scriptedModule{}, now: 1000}
	test.contract = NewContract(test.module, func(breach Breach) { test.breaches = append(test.breaches, breach) })
	test.contract.ReportAll = true
	test.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	return test
}

// handle passes an event to the Contract, whose module responds with actions, and returns the accepted actions.
func (test *contractTest) handle(ev decide.Event, actions ...decide.Action) []decide.Action {
	test.now++
	test.module.nextActions = actions
	reported, received := len(test.breaches), len(test.module.events)
	accepted := test.contract.Handle(test.now, ev)
	if len(test.breaches) > reported {
		test.forwarded, test.acceptedActions = len(test.module.events) > received, len(accepted)
	}
	return accepted
}

func (test *contractTest) overdue(after decide.Time) []decide.Event {
	test.now += after
	return test.contract.OverdueEvents(test.now)
}

const testDeadline = 5_000 // deadline of the tests' requests, in microseconds

func newRequest(id int64) *decide.Request { return &decide.Request{ID: id, Deadline: testDeadline} }
func send(id int64) decide.Send {
	return decide.Send{ID: id, Cache: "a", AttemptDeadline: testDeadline}
}
func served(id int64) *decide.AttemptResult {
	return &decide.AttemptResult{ID: id, Result: decide.Served, Final: true}
}

// breachCases contains at least one case for each kind of breach. After the breach, each case ends its open requests, health checks
// and timers in the same way as a loop and a module that did not notice the breach.
var breachCases = []struct {
	name     string
	kind     Kind
	run      func(test *contractTest)
	dropped  bool // the event that breaks the contract must not reach the module
	withheld bool // the action that breaks the contract must not reach the loop
}{
	{"a repeated request", RequestRepeated, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(newRequest(1))
		test.handle(served(1))
	}, true, false},
	{"a result of an unknown request", ResultUnknown, func(test *contractTest) { test.handle(served(7)) }, true, false},
	{"a result of an attempt never sent", ResultUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.AttemptResult{ID: 1, Attempt: 1})
		test.handle(served(1))
	}, true, false},
	{"a result with a negative attempt number", ResultUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.AttemptResult{ID: 1, Attempt: -1})
		test.handle(served(1))
	}, true, false},
	{"a second result", ResultRepeated, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
		test.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored}, decide.Fail{ID: 1})
		test.handle(&decide.PeerMessage{}, decide.Fail{ID: 1})
	}, true, false},
	{"a second result after the end", ResultRepeated, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(served(1))
		test.handle(served(1))
	}, true, false},
	{"a missing result", ResultMissing, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.ClientGone{ID: 1})
		test.deliverOverdue(1, decide.TimedOut)
	}, false, false},
	{"a response start of an attempt not in flight", ResponseStartUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.ResponseStarted{ID: 1, Attempt: 1})
		test.handle(served(1))
	}, true, false},
	{"a client of an unknown request disconnects", ClientGoneUnknown, func(test *contractTest) { test.handle(&decide.ClientGone{ID: 7}) }, true, false},
	{"a client disconnects twice", ClientGoneUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.ClientGone{ID: 1})
		test.handle(&decide.ClientGone{ID: 1})
		test.handle(served(1))
	}, true, false},
	{"a result of an unknown health check", HealthCheckUnknown, func(test *contractTest) {
		test.handle(&decide.HealthCheckResult{Cache: "a"})
	}, true, false},
	{"a second result of a health check", HealthCheckUnknown, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "a"})
		test.handle(&decide.HealthCheckResult{Cache: "a"})
		test.handle(&decide.HealthCheckResult{Cache: "a"})
	}, true, false},
	{"a missing result of a health check", HealthCheckMissing, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "a"})
		test.deliverOverdue(1, decide.TimedOut)
	}, false, false},
	{"a timer never set", TimerNotSet, func(test *contractTest) { test.handle(&decide.Timer{Token: 3}) }, true, false},
	{"a timer that fires twice", TimerNotSet, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		test.handle(&decide.Timer{Token: 3})
		test.handle(&decide.Timer{Token: 3})
	}, true, false},
	{"a send for an unknown request", SendAfterEnd, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, send(7))
	}, false, true},
	{"a send after the final answer", SendAfterEnd, func(test *contractTest) {
		test.handle(newRequest(1), send(1), decide.Reject{ID: 1})
		test.handle(&decide.PeerMessage{}, send(1))
		test.handle(served(1))
	}, false, true},
	{"a send after the end", SendAfterEnd, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(served(1))
		test.handle(&decide.PeerMessage{}, send(1))
	}, false, true},
	{"a send to a cache never listed", SendUnlisted, func(test *contractTest) {
		test.handle(newRequest(1), decide.Send{ID: 1, Cache: "b"})
		test.handle(served(1))
	}, false, false},
	{"a send to a removed cache", SendUnlisted, func(test *contractTest) {
		test.handle(&decide.EndpointList{Kind: decide.DeltaUpdate, Endpoints: []decide.Endpoint{{ID: "a", Status: decide.Removed}}})
		test.handle(newRequest(1), send(1))
		test.handle(served(1))
	}, false, false},
	{"an answer to an unknown request", AnswerAfterEnd, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.Reject{ID: 7})
	}, false, true},
	{"a second answer", AnswerAfterEnd, func(test *contractTest) {
		test.handle(newRequest(1), send(1), decide.Reject{ID: 1})
		test.handle(&decide.PeerMessage{}, decide.Fail{ID: 1})
		test.handle(served(1))
	}, false, true},
	{"a missing answer", AnswerMissing, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
		test.deliverOverdue(1, 0)
	}, false, false},
	{"a cancel of an attempt never sent", CancelUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(&decide.PeerMessage{}, decide.Cancel{ID: 1, Attempt: 1})
		test.handle(served(1))
	}, false, true},
	{"a cancel of an attempt that has ended", CancelUnknown, func(test *contractTest) {
		test.handle(newRequest(1), send(1))
		test.handle(served(1))
		test.handle(&decide.PeerMessage{}, decide.Cancel{ID: 1})
	}, false, true},
	{"a health check of a cache never listed", HealthCheckUnlisted, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.HealthCheck{Cache: "b"})
	}, false, true},
	{"a close of idle connections to a cache never listed", CloseIdleUnlisted, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.CloseIdle{Cache: "b"})
	}, false, true},
	{"a cancel of a timer that is not set", CancelTimerNotSet, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		test.handle(&decide.PeerMessage{}, decide.CancelTimer{Token: 3})
		test.handle(&decide.PeerMessage{}, decide.CancelTimer{Token: 3})
	}, false, true},
	{"a timer token that is already set", TimerReused, func(test *contractTest) {
		test.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		test.handle(&decide.PeerMessage{}, decide.SetTimer{Token: 3})
		test.handle(&decide.Timer{Token: 3})
	}, false, true},
}

// deliverOverdue checks that nothing is overdue within overdueTolerance, then passes the overdue events to the Contract. It checks
// the number of events, that OverdueEvents returns each event once, and that results have the given value.
func (test *contractTest) deliverOverdue(want int, result decide.Result) {
	test.t.Helper()
	if events := test.overdue(testDeadline); len(events) != 0 {
		test.t.Errorf("%d events are overdue within the tolerance, want 0", len(events))
	}
	events := test.overdue(overdueTolerance)
	if len(events) != want {
		test.t.Fatalf("%d events are overdue, want %d", len(events), want)
	}
	if again := test.overdue(1); len(again) != 0 {
		test.t.Errorf("%d events are overdue a second time, want 0", len(again))
	}
	for _, ev := range events {
		switch ev := ev.(type) {
		case *decide.AttemptResult:
			if ev.Result != result {
				test.t.Errorf("the result is %v, want %v, because the attempt may have run", ev.Result, result)
			}
		case *decide.HealthCheckResult:
			if ev.Result != result {
				test.t.Errorf("the result of the health check is %v, want %v", ev.Result, result)
			}
		}
		test.handle(ev)
	}
}

func TestEachBreachIsReportedAndRepaired(t *testing.T) {
	tested := map[Kind]bool{ModuleCountDiffers: true, SocketCountDiffers: true, OpenCountDiffers: true} // tested in TestDifferingCountsAreReported
	for _, testCase := range breachCases {
		tested[testCase.kind] = true
		t.Run(testCase.name, func(t *testing.T) {
			test := newContractTest(t)
			testCase.run(test)
			if len(test.breaches) != 1 || test.breaches[0].Kind != testCase.kind || test.contract.Count(testCase.kind) != 1 {
				t.Fatalf("reported %v, counted %d, want one %v", test.breaches, test.contract.Count(testCase.kind), testCase.kind)
			}
			if testCase.dropped && test.forwarded {
				t.Error("the event reached the module, want it dropped")
			}
			if testCase.withheld && (!test.forwarded || test.acceptedActions > 0) {
				t.Errorf("%d actions were accepted, want none", test.acceptedActions)
			}
			test.wantNothingOpen()
		})
	}
	for kind := range kindCount {
		if !tested[kind] {
			t.Errorf("%v has no test", kind)
		}
	}
}

// wantNothingOpen checks that no request, attempt or event is outstanding in the Contract or the module.
func (test *contractTest) wantNothingOpen() {
	test.t.Helper()
	test.now += 10 * overdueTolerance
	if n := len(test.contract.OverdueEvents(test.now)); n != 0 {
		test.t.Errorf("%d events are overdue at the end, want 0", n)
	}
	if test.contract.OpenRequests() != 0 || test.contract.InFlight("a") != 0 || test.contract.InFlight("b") != 0 {
		test.t.Errorf("%d requests are open and %d attempts are in flight at the end, want 0", test.contract.OpenRequests(), test.contract.InFlight("a"))
	}
	if test.module.inFlight != 0 {
		test.t.Errorf("the module counts %d attempts in flight at the end, want 0", test.module.inFlight)
	}
	if n := len(test.contract.caches); n > 1 || n == 1 && test.contract.caches["a"] == nil {
		test.t.Errorf("%d caches are tracked, want only the listed cache", n)
	}
}

func TestWithheldSendsKeepModuleNumbers(t *testing.T) {
	test := newContractTest(t)
	test.handle(newRequest(1), send(1))
	test.handle(served(1))
	test.handle(&decide.PeerMessage{}, send(1), send(1))
	var got []int
	for _, ev := range test.module.events {
		if result, ok := ev.(*decide.AttemptResult); ok && result.Result == decide.NotSent {
			got = append(got, result.Attempt)
		}
	}
	if !slices.Equal(got, []int{1, 2}) {
		t.Errorf("the results of the withheld sends have attempt numbers %v, want 1 and 2", got)
	}
}

func TestRepairsPerCallAreBounded(t *testing.T) {
	module := &endlessSender{}
	contract := NewContract(module, nil)
	if actions := contract.Handle(1, &decide.PeerMessage{}); len(actions) != 0 {
		t.Errorf("accepted actions %v, want none", actions)
	}
	if module.results != maxRepairsPerCall {
		t.Errorf("the module got %d results in one call, want %d", module.results, maxRepairsPerCall)
	}
	if module.stopped = true; contract.Handle(2, &decide.PeerMessage{}) != nil || module.inFlight != 0 {
		t.Errorf("the module counts %d attempts in flight after its last send, want 0", module.inFlight)
	}
}

// endlessSender is a Module that returns a Send for an unknown request at each event until stopped is set.
type endlessSender struct {
	stopped           bool
	results, inFlight int
}

func (s *endlessSender) Handle(_ decide.Time, ev decide.Event) []decide.Action {
	if _, ok := ev.(*decide.AttemptResult); ok {
		s.results++
		s.inFlight--
	}
	if s.stopped {
		return nil
	}
	s.inFlight++
	return []decide.Action{send(7)}
}

func TestCrossingEventsAreNoBreach(t *testing.T) {
	test := newContractTest(t)
	test.handle(newRequest(1), send(1))
	// The client has disconnected. Its attempt ends before the module receives ClientGone, and the module may still answer.
	test.handle(&decide.AttemptResult{ID: 1, Result: decide.NotSent, Final: true})
	test.handle(&decide.ClientGone{ID: 1})
	test.handle(newRequest(2), decide.Reject{ID: 2})
	test.handle(&decide.ClientGone{ID: 2})
	// The cache is removed and listed again while an attempt and a health check are in flight.
	test.handle(newRequest(3), send(3), decide.HealthCheck{Cache: "a"})
	test.handle(&decide.EndpointList{Kind: decide.FullUpdate})
	test.handle(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
	if n := test.contract.InFlight("a"); n != 1 {
		t.Errorf("%d attempts are in flight at the cache that is listed again, want 1, the earlier attempt", n)
	}
	test.handle(&decide.HealthCheckResult{Cache: "a"})
	test.handle(served(3))
	if len(test.breaches) > 0 {
		t.Errorf("reported %v, want no breach", test.breaches)
	}
	test.wantNothingOpen()
}

func TestStartedResponseIsNotOverdue(t *testing.T) {
	test := newContractTest(t)
	test.handle(newRequest(1), send(1))
	test.handle(&decide.ResponseStarted{ID: 1})
	if events := test.overdue(testDeadline + 10*overdueTolerance); len(events) != 0 {
		t.Errorf("%d events are overdue after the response has started, want 0", len(events))
	}
	test.handle(served(1))
	test.wantNothingOpen()
}

func TestOvertakenRepairIsNoBreach(t *testing.T) {
	test := newContractTest(t)
	test.handle(newRequest(1), send(1), decide.HealthCheck{Cache: "a"})
	events := test.overdue(testDeadline + overdueTolerance + 10)
	if len(events) != 3 {
		t.Fatalf("%d events are overdue, want 3: the result, the answer and the health check", len(events))
	}
	test.handle(served(1))
	test.handle(&decide.ClientGone{ID: 1})
	test.handle(&decide.HealthCheckResult{Cache: "a"})
	reported := len(test.breaches)
	for _, ev := range events {
		test.handle(ev)
	}
	if len(test.breaches) != reported {
		t.Errorf("reported %v for overdue events whose originals had arrived, want no breach", test.breaches[reported:])
	}
	test.wantNothingOpen()
}

func TestFirstBreachOfKindIsReported(t *testing.T) {
	test := newContractTest(t)
	test.contract.ReportAll = false
	for range 5 {
		test.handle(served(7))
		test.handle(&decide.Timer{Token: 7})
	}
	if len(test.breaches) != 2 || test.contract.Count(ResultUnknown) != 5 || test.contract.Count(TimerNotSet) != 5 {
		t.Errorf("reported %v, counted %d unknown results and %d timers not set, want one report of each kind and counts of 5",
			test.breaches, test.contract.Count(ResultUnknown), test.contract.Count(TimerNotSet))
	}
}

// countingModule is a scriptedModule that implements Counter with fixed counts.
type countingModule struct {
	scriptedModule
	inFlightCount, openCount int
}

func (c *countingModule) InFlight(string) int { return c.inFlightCount }
func (c *countingModule) OpenRequests() int   { return c.openCount }

func TestDifferingCountsAreReported(t *testing.T) {
	for _, testCase := range []struct {
		name               string
		inModule, onSocket int
		open               int
		want               []Kind
	}{
		{"all agree", 1, 1, 1, nil},
		{"the module counts one attempt fewer", 0, 1, 1, []Kind{ModuleCountDiffers}},
		{"no attempt is on a socket", 1, 0, 1, []Kind{SocketCountDiffers}},
		{"one more attempt is on a socket", 1, 2, 1, []Kind{SocketCountDiffers}},
		{"the module counts one request more", 1, 1, 2, []Kind{OpenCountDiffers}},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			module := &countingModule{inFlightCount: testCase.inModule, openCount: testCase.open}
			var got []Kind
			contract := NewContract(module, func(breach Breach) { got = append(got, breach.Kind) })
			contract.Handle(1, &decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: "a"}}})
			module.nextActions = []decide.Action{send(1)}
			contract.Handle(2, newRequest(1))
			contract.CheckCounts(3, func(string) int { return testCase.onSocket })
			if !slices.Equal(got, testCase.want) {
				t.Errorf("reported %v, want %v", got, testCase.want)
			}
		})
	}
}

func TestMaximumDeadlineIsNotOverdue(t *testing.T) {
	test := newContractTest(t)
	test.handle(&decide.Request{ID: 1, Deadline: math.MaxInt64}, decide.Send{ID: 1, Cache: "a", AttemptDeadline: math.MaxInt64})
	if events := test.overdue(10 * overdueTolerance); len(events) != 0 {
		t.Errorf("%d events are overdue, want 0", len(events))
	}
}

func TestHistoryNamesEachEventOnce(t *testing.T) {
	test := newContractTest(t)
	test.handle(newRequest(1), send(1))
	test.handle(newRequest(2), send(2))
	test.handle(newRequest(3), decide.Reject{ID: 3})
	test.handle(&decide.AttemptResult{ID: 1, Result: decide.Errored})
	test.handle(&decide.PeerMessage{}, decide.Reject{ID: 2})
	test.overdue(testDeadline + overdueTolerance)
	if len(test.breaches) < 2 || test.breaches[1].Kind != ResultMissing {
		t.Fatalf("reported %v, want the missing answer to request 1 and the missing result of request 2", test.breaches)
	}
	want := []string{
		"1003 request 2, deadline 5000", "1003 send 2/0 a, deadline 5000", // lines of the request
		"1001 listed a", "1002 send 1/0 a", "1005 outcome 1/0 a errored", // lines of the cache
	}
	if got := test.breaches[1].History; !slices.Equal(got, want) {
		t.Errorf("the history is %q, want %q", got, want)
	}
}

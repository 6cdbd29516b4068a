package loopback

import (
	"strings"
	"testing"

	"starlingwinch/internal/testbench/rules"
)

func newScene(visitors bool) (*observer, *[]rules.Violation) {
	var got []rules.Violation
	set := rules.Settings{Slack: 50 * millisecond, MaxAttempts: 3, AllowHedging: true, Classes: map[string]rules.Class{
		"read": {Semantics: rules.Idempotent, LatencyObjective: 500 * millisecond, ClientTimeout: 1200 * millisecond, PriorityWeight: 1}}}
	return newObserver(set, visitors, func(v rules.Violation) { got = append(got, v) }), &got
}

func TestAnswerThatThisProcessReadLateIsNotTheRouters(t *testing.T) {
	for _, punctual := range []bool{false, true} {
		o, got := newScene(false)
		at := 100 * second
		o.clock.punctualUntil(at)
		o.Asked(at, rules.Request{ID: "q", Router: "r", Class: "read", Sent: at, Deadline: at + 1200*millisecond})
		for past := Time(0); punctual && past < 1400*millisecond; past += checkInterval {
			o.clock.punctualUntil(at + past)
			o.watcher.Tick(o.clock.at(at + past))
		}
		o.Answered(at+1400*millisecond, "q", rules.Failed, "")
		if lost := len(*got) > 0; lost != punctual {
			t.Errorf("punctual %v: violations %v", punctual, *got)
		}
	}
}

func TestVisitorsRequestsAreNotWatched(t *testing.T) {
	for _, visitors := range []bool{true, false} {
		o, got := newScene(visitors)
		a := rules.Attempt{ID: "mine", Class: "read", Router: "r", Cache: "c", First: second, Last: second}
		o.Began(second, a)
		o.Ran(second, a, false)
		o.Replied(second, "c", "mine", rules.Served, "v")
		if (len(*got) == 0) != visitors {
			t.Errorf("visitors %v: violations %v", visitors, *got)
		}
		*got = nil
		o.Asked(2*second, rules.Request{ID: "q", Router: "r", Class: "read", Sent: 2 * second, Deadline: 3 * second})
		o.Answered(2*second+1, "q", rules.Served, "from nobody")
		if len(*got) != 1 || (*got)[0].Rule != rules.WrongValue {
			t.Errorf("visitors %v: violations %v of a client's request", visitors, *got)
		}
	}
}

func TestMissesAreToldByTheCommonestKindWithLives(t *testing.T) {
	o, _ := newScene(false)
	for i, kind := range []rules.Answer{rules.Failed, rules.Refused, rules.Refused} {
		at, id := second+Time(i), string(rune('a'+i))
		o.Asked(at, rules.Request{ID: id, Router: "r", Class: "read", Sent: at, Deadline: at + second})
		o.Answered(at+millisecond, id, kind, "")
	}
	var b strings.Builder
	o.misses.Explain(&b, 1)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(lines) != 8 || o.misses.String() != "3 tries were not served within their aim; by the second: 1:3" ||
		strings.TrimSpace(lines[0]) != "2  refused, read at r" || strings.TrimSpace(lines[7]) != "1  failed, read at r" {
		t.Errorf("got\n%s", b.String())
	}
}

// TestAnswerIsDueAsAStoppedRouterGoesOn: the harness stops a router for 120 ms, into the deadline of one request and not of another.
func TestAnswerIsDueAsAStoppedRouterGoesOn(t *testing.T) {
	const stopped = 120 * millisecond
	for name, c := range map[string]struct {
		deadline, answered Time // from the stop
		broken             bool
	}{
		"due meanwhile, answered as it goes on":       {20 * millisecond, stopped + 40*millisecond, false},
		"due meanwhile, answered too late for that":   {20 * millisecond, stopped + 70*millisecond, true},
		"due afterwards, answered late":               {stopped + 20*millisecond, stopped + 90*millisecond, true},
		"due meanwhile, asked of another router":      {20 * millisecond, stopped + 40*millisecond, true},
		"due afterwards, answered within the slack":   {stopped + 20*millisecond, stopped + 60*millisecond, false},
		"due meanwhile, answered before the deadline": {20 * millisecond, 10 * millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			o, got := newScene(false)
			at, router := 100*second, "r"
			if strings.Contains(name, "another") {
				router = "other"
			}
			o.clock.punctualUntil(at)
			o.Asked(at, rules.Request{ID: "q", Router: router, Class: "read", Sent: at, Deadline: at + c.deadline})
			o.routerStopped(at, "r", at+stopped)
			for past := Time(0); past < c.answered; past += checkInterval {
				o.clock.punctualUntil(at + past)
				o.watcher.Tick(o.clock.at(at + past))
			}
			o.Answered(at+c.answered, "q", rules.Failed, "")
			if broken := len(*got) > 0; broken != c.broken {
				t.Errorf("violations %v", *got)
			}
		})
	}
}

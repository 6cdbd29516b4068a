package guard

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/decide"
)

// askAndLeave has a client ask and leave before the module hears of either.
func askAndLeave(t *testing.T, d defects) *world {
	t.Helper()
	w := newWorld(t, 1, d)
	w.listed[0] = true
	w.queue(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: cacheName(0), Zone: "a", Weight: 1}}})
	w.tell()
	c := &client{id: 1, deadline: w.now + 800*ms}
	w.clients = append(w.clients, c)
	w.queue(&decide.Request{ID: 1, Class: "read", Deadline: c.deadline})
	w.leave(c)
	w.tell()
	return w
}

func TestASendForAForgottenRequestWithoutAnOutcomeIsFoundAndRepaired(t *testing.T) {
	w := askAndLeave(t, defects{dropsSends: true})
	if w.crossed != 1 {
		t.Fatal("the module has sent nothing for the request")
	}
	if n := w.module.InFlight("c0"); n != 1 {
		t.Fatalf("the module counts %d attempts out, want the lost one", n)
	}
	w.check()
	if n := w.books.Count(SocketCount); n != 1 {
		t.Errorf("the lost attempt was seen in the counts %d times, want once", n)
	}
	w.breaches = nil
	for range 40 {
		w.advance(100 * ms)
		w.tell()
		w.repair()
	}
	w.balanced(1)
	w.check()
	if len(w.breaches) != 1 || w.breaches[0].Kind != OutcomeMissing {
		t.Fatalf("reported %v, want one missing outcome", w.breaches)
	}
	b := w.breaches[0]
	if b.Request != 1 || b.Cache != "c0" || !containsLine(b.History, "send 1/0 c0") || !containsLine(b.History, "has left") {
		t.Errorf("the report does not tell what led to it: %+v", b)
	}
}

func TestTheSameWithAnOutcomeIsNoBreach(t *testing.T) {
	w := askAndLeave(t, defects{})
	w.check()
	if len(w.breaches) > 0 {
		t.Fatalf("reported %v", w.breaches)
	}
	w.balanced(1)
}

func TestLostSendsAndProbesAreRepairedInRandomRuns(t *testing.T) {
	missing := map[Kind]int{}
	for seed := range int64(300) {
		w := newWorld(t, seed, defects{dropsSends: true, dropsProbes: true})
		for range 20 {
			w.play(20)
		}
		w.balanced(seed)
		for _, b := range w.breaches {
			switch b.Kind {
			case OutcomeMissing, ProbedMissing:
				missing[b.Kind]++
			case SocketCount:
			default:
				t.Fatalf("seed %d: %v: %s\n%q", seed, b.Kind, b.Text, b.History)
			}
		}
	}
	if missing[OutcomeMissing] == 0 || missing[ProbedMissing] == 0 {
		t.Errorf("found %v, want lost sends and lost probes", missing)
	}
}

func containsLine(lines []string, part string) bool {
	return slices.ContainsFunc(lines, func(l string) bool { return strings.Contains(l, part) })
}

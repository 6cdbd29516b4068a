package guard

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/decide"
)

// requestThenLeave has a client send a request and leave before the module gets either event.
func requestThenLeave(t *testing.T, d loopFaults) *testLoop {
	t.Helper()
	w := newTestLoop(t, 1, d)
	w.listed[0] = true
	w.queue(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: cacheName(0), Zone: "a", Weight: 1}}})
	w.deliver()
	c := &client{id: 1, deadline: w.now + 800*ms}
	w.clients = append(w.clients, c)
	w.queue(&decide.Request{ID: 1, Class: "read", Deadline: c.deadline})
	w.leave(c)
	w.deliver()
	return w
}

func TestSendWithoutResultIsReportedAndRepaired(t *testing.T) {
	w := requestThenLeave(t, loopFaults{dropsSends: true})
	if w.sentAfterEnd != 1 {
		t.Fatal("the module has sent nothing for the request")
	}
	if n := w.module.InFlight("c0"); n != 1 {
		t.Fatalf("the module counts %d attempts, want the lost one", n)
	}
	w.check()
	if n := w.contract.Count(SocketCountDiffers); n != 1 {
		t.Errorf("%d counts differ by the lost attempt, want one", n)
	}
	w.breaches = nil
	for range 40 {
		w.advance(100 * ms)
		w.deliver()
		w.repair()
	}
	w.wantNothingOpen(1)
	w.check()
	if len(w.breaches) != 1 || w.breaches[0].Kind != ResultMissing {
		t.Fatalf("reported %v, want one missing result", w.breaches)
	}
	b := w.breaches[0]
	if b.Request != 1 || b.Cache != "c0" || !containsLine(b.History, "send 1/0 c0") || !containsLine(b.History, "has left") {
		t.Errorf("the report lacks what led to it: %+v", b)
	}
}

func TestSendAfterClientGoneWithResultIsNoBreach(t *testing.T) {
	w := requestThenLeave(t, loopFaults{})
	w.check()
	if len(w.breaches) > 0 {
		t.Fatalf("reported %v", w.breaches)
	}
	w.wantNothingOpen(1)
}

func TestLostSendsAndHealthChecksAreRepaired(t *testing.T) {
	missing := map[Kind]int{}
	for seed := range int64(300) {
		w := newTestLoop(t, seed, loopFaults{dropsSends: true, dropsHealthChecks: true})
		for range 20 {
			w.play(20)
		}
		w.wantNothingOpen(seed)
		for _, b := range w.breaches {
			switch b.Kind {
			case ResultMissing, HealthCheckMissing:
				missing[b.Kind]++
			case SocketCountDiffers:
			default:
				t.Fatalf("seed %d: %v: %s\n%q", seed, b.Kind, b.Text, b.History)
			}
		}
	}
	if missing[ResultMissing] == 0 || missing[HealthCheckMissing] == 0 {
		t.Errorf("found %v, want lost sends and lost health checks", missing)
	}
}

func containsLine(lines []string, part string) bool {
	return slices.ContainsFunc(lines, func(l string) bool { return strings.Contains(l, part) })
}

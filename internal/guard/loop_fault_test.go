package guard

import (
	"slices"
	"strings"
	"testing"

	"starlingwinch/decide"
)

// requestThenDisconnect queues the request of a client and the end of its connection, and then delivers both events to the module.
func requestThenDisconnect(t *testing.T, faults loopFaults) *testLoop {
	t.Helper()
	loop := newTestLoop(t, 1, faults)
	loop.listed[0] = true
	loop.queue(&decide.EndpointList{Kind: decide.FullUpdate, Endpoints: []decide.Endpoint{{ID: cacheName(0), Zone: "a", Weight: 1}}})
	loop.deliver()
	client := &testClient{id: 1, deadline: loop.now + 800*ms}
	loop.clients = append(loop.clients, client)
	loop.queue(&decide.Request{ID: 1, Class: "read", Deadline: client.deadline})
	loop.disconnect(client)
	loop.deliver()
	return loop
}

func TestSendWithoutResultIsReportedAndRepaired(t *testing.T) {
	loop := requestThenDisconnect(t, loopFaults{dropsSends: true})
	if loop.sendsAfterEnd != 1 {
		t.Fatalf("%d sends for the ended request, want 1", loop.sendsAfterEnd)
	}
	if n := loop.module.InFlight("c0"); n != 1 {
		t.Fatalf("the module counts %d attempts in flight, want 1, the lost attempt", n)
	}
	loop.checkCounts()
	if n := loop.contract.Count(SocketCountDiffers); n != 1 {
		t.Errorf("counted %d breaches of SocketCountDiffers, want 1 for the lost attempt", n)
	}
	loop.breaches = nil
	for range 40 {
		loop.advance(100 * ms)
		loop.deliver()
		loop.deliverOverdue()
	}
	loop.wantNothingOpen(1)
	loop.checkCounts()
	if len(loop.breaches) != 1 || loop.breaches[0].Kind != ResultMissing {
		t.Fatalf("reported %v, want one missing result", loop.breaches)
	}
	breach := loop.breaches[0]
	if breach.Request != 1 || breach.Cache != "c0" || !containsLine(breach.History, "send 1/0 c0") || !containsLine(breach.History, "disconnected") {
		t.Errorf("the breach lacks the request, the cache or the events that led to it: %+v", breach)
	}
}

func TestSendAfterClientGoneWithResultIsNoBreach(t *testing.T) {
	loop := requestThenDisconnect(t, loopFaults{})
	loop.checkCounts()
	if len(loop.breaches) > 0 {
		t.Fatalf("reported %v, want no breach", loop.breaches)
	}
	loop.wantNothingOpen(1)
}

func TestLostSendsAndHealthChecksAreRepaired(t *testing.T) {
	missing := map[Kind]int{}
	for seed := range int64(300) {
		loop := newTestLoop(t, seed, loopFaults{dropsSends: true, dropsHealthChecks: true})
		for range 20 {
			loop.play(20)
		}
		loop.wantNothingOpen(seed)
		for _, breach := range loop.breaches {
			switch breach.Kind {
			case ResultMissing, HealthCheckMissing:
				missing[breach.Kind]++
			case SocketCountDiffers:
			default:
				t.Fatalf("seed %d: unexpected breach %v: %s\n%q", seed, breach.Kind, breach.Text, breach.History)
			}
		}
	}
	if missing[ResultMissing] == 0 || missing[HealthCheckMissing] == 0 {
		t.Errorf("counted missing results %v, want both of attempts and of health checks", missing)
	}
}

func containsLine(lines []string, part string) bool {
	return slices.ContainsFunc(lines, func(line string) bool { return strings.Contains(line, part) })
}

package decide

import (
	"testing"
)

// TestRouterIgnoresUnknownEvents checks that events about what a router does not know do nothing.
func TestRouterIgnoresUnknownEvents(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	for _, ev := range []Event{&AttemptResult{ID: 9}, &AttemptResult{ID: 9, Attempt: -1}, &ClientGone{ID: 9}, &Timer{Token: 99999},
		&HealthCheckResult{Cache: "nobody"}, &ResponseStarted{ID: 9}, &PeerMessage{From: 3, Data: "x"}} {
		if acts := b.feed(ev); len(acts) != 0 {
			t.Errorf("%T: %v", ev, acts)
		}
	}
}

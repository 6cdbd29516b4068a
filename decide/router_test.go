package decide

import (
	"testing"
)

// TestRouterIgnoresUnknownEvents checks that events for unknown requests, timers and caches, and messages of other
// routers, cause no actions.
func TestRouterIgnoresUnknownEvents(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	for _, ev := range []Event{&AttemptResult{ID: 9}, &AttemptResult{ID: 9, Attempt: -1}, &ClientGone{ID: 9}, &Timer{Token: 99999},
		&HealthCheckResult{Cache: "unlisted"}, &ResponseStarted{ID: 9}, &PeerMessage{From: 3, Data: "x"}} {
		if actions := h.feed(ev); len(actions) != 0 {
			t.Errorf("%T: got actions %v, want none", ev, actions)
		}
	}
}

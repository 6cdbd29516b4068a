package decide

import (
	"testing"
)

// TestInspectionFollowsRequestToItsResult checks the counts that InFlight and OpenRequests return before, during and after a
// request.
func TestInspectionFollowsRequestToItsResult(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	if n := h.router.InFlight("unlisted"); n != 0 {
		t.Errorf("got %d attempts in flight at a cache that was never listed, want none", n)
	}
	s := h.request(1, "read", 7)
	if s == nil {
		t.Fatal("the request was not sent")
	}
	if inFlight, open := h.router.InFlight(s.Cache), h.router.OpenRequests(); inFlight != 1 || open != 1 {
		t.Errorf("after the send: got %d attempts in flight and %d open requests, want 1 and 1", inFlight, open)
	}
	h.feed(&AttemptResult{ID: 1, Result: Served, Final: true})
	if inFlight, open := h.router.InFlight(s.Cache), h.router.OpenRequests(); inFlight != 0 || open != 0 {
		t.Errorf("after the result: got %d attempts in flight and %d open requests, want none", inFlight, open)
	}
}

package decide

import (
	"testing"
)

// TestTimersAreCancelledAtEndOfRequest checks that the timers of a request are cancelled with its final
// answer. Otherwise, the timers of thousands of requests per second would hold the records of these requests.
func TestTimersAreCancelledAtEndOfRequest(t *testing.T) {
	s := testSettings()
	s.AllowHealthChecks = false
	h := newHarness(t, s)
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	before := len(h.timers)
	for id := range int64(8) {
		h.request(id+1, "read", uint64(id))
	}
	if len(h.timers) <= before {
		t.Fatal("the requests set no timers")
	}
	for id := range int64(8) {
		h.serve(id+1, 0)
	}
	if got := len(h.timers); got != before || len(h.router.timers.pending) != before {
		t.Errorf("got %d timers set (%d in the router) after all requests were served, want the %d of before", got, len(h.router.timers.pending), before)
	}
}

package decide

import (
	"testing"
)

// TestRequestTimersAreCancelledAtItsEnd checks that the timers of a request are taken back when it is over:
// thousands a second would hold their records otherwise.
func TestRequestTimersAreCancelledAtItsEnd(t *testing.T) {
	s := settings()
	s.AllowHealthChecks = false
	b := newHarness(t, s)
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	before := len(b.timers)
	for id := range int64(8) {
		b.request(id+1, "read", uint64(id))
	}
	if len(b.timers) <= before {
		t.Fatal("no request has set a timer")
	}
	for id := range int64(8) {
		b.serve(id+1, 0)
	}
	if got := len(b.timers); got != before || len(b.r.timers.pending) != before {
		t.Errorf("%d timers are set (%d in the module), %d before", got, len(b.r.timers.pending), before)
	}
}

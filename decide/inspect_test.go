package decide

import (
	"testing"
)

// TestInspectionFollowsRequestToItsResult checks the counts of attempts and requests.
func TestInspectionFollowsRequestToItsResult(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(3)})
	if n := b.r.InFlight("nowhere"); n != 0 {
		t.Errorf("%d attempts out at a cache never listed", n)
	}
	s := b.request(1, "read", 7)
	if s == nil {
		t.Fatal("the request was not sent")
	}
	if out, open := b.r.InFlight(s.Cache), b.r.Open(); out != 1 || open != 1 {
		t.Errorf("once sent: %d attempts out, %d requests open, want 1 and 1", out, open)
	}
	b.feed(&AttemptResult{ID: 1, Result: Served, Last: true})
	if out, open := b.r.InFlight(s.Cache), b.r.Open(); out != 0 || open != 0 {
		t.Errorf("once served: %d attempts out, %d requests open, want none", out, open)
	}
}

package decide

import (
	"fmt"
	"strings"
	"testing"
)

// TestQueueDispatchesLatestFirst checks that the latest request is sent first: in the order of arrival,
// each would wait in an overload until it is too late.
func TestQueueDispatchesLatestFirst(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	id := int64(1)
	for b.request(id, "read", 7) != nil {
		id++
	}
	b.request(id+1, "read", 7)
	if s := sends(b.end(1, 0, Served, true)); len(s) == 0 || s[0].ID != id+1 {
		t.Fatalf("want request %d first, got %v", id+1, s)
	}
}

// TestLoadSheddingIsLoggedOnce checks that one line is logged when load shedding begins.
func TestLoadSheddingIsLoggedOnce(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 1, nil)
	all := ""
	for id := range int64(1000) {
		b.request(id+1, "read", 7)
		all += logs(b.advance(10*ms)) + "\n"
	}
	if n := strings.Count(all, "load shedding active=true"); n != 1 {
		t.Fatalf("logged %d times: %s", n, fmt.Sprint(all))
	}
}

// TestQueueTriesFewRequestsAtATime checks that one result does not try thousands of queued requests, which
// would take seconds.
func TestQueueTriesFewRequestsAtATime(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 3, nil)
	for id := range int64(2000) {
		b.request(id+1, "read", uint64(id))
	}
	for _, c := range b.r.caches {
		c.limit.value = minConcurrency // no capacity anywhere
	}
	if len(b.r.queue.waiting) < 1000 {
		t.Fatalf("only %d held", len(b.r.queue.waiting))
	}
	allocs := testing.AllocsPerRun(5, b.r.dispatchQueued)
	if allocs > 8*maxDispatchFailures {
		t.Fatalf("one answer looks at too many: %v allocations", allocs)
	}
}

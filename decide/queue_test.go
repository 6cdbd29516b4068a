package decide

import (
	"fmt"
	"strings"
	"testing"
)

// TestQueueDispatchesLatestFirst checks that the latest queued request is sent first. In the order of arrival, each
// request would wait in an overload until it can no longer be served in time.
func TestQueueDispatchesLatestFirst(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	id := int64(1)
	for h.request(id, "read", 7) != nil {
		id++
	}
	h.request(id+1, "read", 7)
	if s := sends(h.endAttempt(1, 0, Served, true)); len(s) == 0 || s[0].ID != id+1 {
		t.Fatalf("got %v, want request %d sent first", s, id+1)
	}
}

// TestLoadSheddingIsLoggedOnce checks that the begin of load shedding is logged once.
func TestLoadSheddingIsLoggedOnce(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 1, nil)
	all := ""
	for id := range int64(1000) {
		h.request(id+1, "read", 7)
		all += logText(h.advance(10*ms)) + "\n"
	}
	if n := strings.Count(all, "load shedding active=true"); n != 1 {
		t.Fatalf("got %d log lines for the begin of load shedding, want 1: %s", n, fmt.Sprint(all))
	}
}

// TestQueueTriesFewRequestsAtATime checks that one result does not cause attempts to dispatch thousands of queued
// requests, which would take seconds.
func TestQueueTriesFewRequestsAtATime(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 3, nil)
	for id := range int64(2000) {
		h.request(id+1, "read", uint64(id))
	}
	for _, c := range h.router.caches {
		c.limit.value = minConcurrency // no capacity anywhere
	}
	if len(h.router.queue.waiting) < 1000 {
		t.Fatalf("got %d queued requests, want at least 1000", len(h.router.queue.waiting))
	}
	allocs := testing.AllocsPerRun(5, h.router.dispatchQueued)
	if allocs > 8*maxDispatchFailures {
		t.Fatalf("one dispatch of the queue: got %v allocations, want at most %d", allocs, 8*maxDispatchFailures)
	}
}

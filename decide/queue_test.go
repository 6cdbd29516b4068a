package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
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
	if h.router.queue.length < 1000 {
		t.Fatalf("got %d queued requests, want at least 1000", h.router.queue.length)
	}
	allocs := testing.AllocsPerRun(5, h.router.dispatchQueued)
	if allocs > 8*maxDispatchFailures {
		t.Fatalf("one dispatch of the queue: got %v allocations, want at most %d", allocs, 8*maxDispatchFailures)
	}
}

// TestLeavingLongQueueTakesConstantTime guards against a loop that stands still in an overload: when each request that left the
// queue moved all later ones, the queue deadlines of a long queue took seconds, in which no other request was handled.
func TestLeavingLongQueueTakesConstantTime(t *testing.T) {
	leave := func(length int) time.Duration {
		var queue requestQueue
		requests := make([]request, length)
		for i := range requests {
			queue.add(&requests[i])
		}
		start := time.Now()
		for i := range requests {
			queue.remove(&requests[i])
		}
		if queue.length != 0 || queue.first != nil || queue.last != nil {
			t.Fatalf("got %d requests after all have left, want 0", queue.length)
		}
		return time.Since(start)
	}
	const short, long, growth, tries = 20_000, 200_000, 40, 5
	for try := 1; ; try++ {
		shortTime, longTime := leave(short), leave(long)
		if longTime < growth*shortTime {
			return
		}
		if try == tries {
			t.Fatalf("%d requests left the queue in %v and %d in %v, want less than %d times as long", short, shortTime, long, longTime, growth)
		}
	}
}

// TestQueueKeepsOrderWhenRequestsLeave guards against a queue that loses or reorders the requests beside one that leaves it.
func TestQueueKeepsOrderWhenRequestsLeave(t *testing.T) {
	const length = 5
	for left := range length {
		var queue requestQueue
		requests := make([]request, length)
		for i := range requests {
			queue.add(&requests[i])
		}
		queue.remove(&requests[left])
		queue.add(&requests[left])
		var forward, backward []int
		position := map[*request]int{}
		for i := range requests {
			position[&requests[i]] = i
		}
		for q := queue.first; q != nil; q = q.links.next {
			forward = append(forward, position[q])
		}
		for q := queue.last; q != nil; q = q.links.previous {
			backward = append(backward, position[q])
		}
		want := append(slices.Delete([]int{0, 1, 2, 3, 4}, left, left+1), left)
		slices.Reverse(backward)
		if !slices.Equal(forward, want) || !slices.Equal(backward, want) {
			t.Errorf("request %d left and came again: got order %v, backwards %v, want %v", left, forward, backward, want)
		}
	}
}

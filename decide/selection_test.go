package decide

import (
	"testing"
)

// TestUnhealthyCacheIsSkippedThenUsedAsFallback checks that an unhealthy cache gets requests only if all caches are
// unhealthy.
func TestUnhealthyCacheIsSkippedThenUsedAsFallback(t *testing.T) {
	h := newHarness(t, testSettings())
	h.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(6)})
	h.router.hotKeys.total[1] = 1000 // so that the key does not count as hot
	preferred := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	h.router.caches[preferred].health.healthy = false
	if s := h.request(2, "read", 42); s == nil || s.Cache == preferred {
		t.Fatalf("one unhealthy cache: got %v, want another cache", s)
	}
	h.serve(2, 0)
	for _, c := range h.router.caches {
		c.health.healthy = false
	}
	if s := h.request(3, "read", 42); s == nil || s.Cache != preferred {
		t.Fatalf("all caches unhealthy: got %v, want %s", s, preferred)
	}
}

// TestOverflowNeedsIdleOriginOrRetryBudget checks that a request overflows from a cache at its limit only with a token
// of the retry budget or while the origin is idle, as its key misses at other caches and loads the origin.
func TestOverflowNeedsIdleOriginOrRetryBudget(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	preferred := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	h.router.caches[preferred].limit.value = 0.2
	h.router.retryBudget.tokens = 5
	if s := h.request(2, "read", 42); s == nil || s.Cache == preferred {
		t.Fatalf("with retry budget: got %v, want another cache", s)
	}
	h.router.retryBudget.tokens = 0
	for _, c := range h.router.caches {
		c.cachedKeys = [2]map[uint64]bool{{}, {}}
	}
	h.router.origin.limit.value, h.router.origin.inFlight = 9, 5 // more than half of the limit in use: the origin is not idle
	if s := h.request(3, "read", 42); s != nil {
		t.Fatalf("without retry budget: got %v, want no Send", s)
	}
	h.router.origin.inFlight = 0
	if s := h.request(4, "read", 42); s == nil {
		t.Fatal("idle origin: the request was not sent")
	}
}

// TestUnhealthyCacheDoesNotCountAsOverloaded checks that requests for the keys of an unhealthy cache are sent to other
// caches even without retry budget.
func TestUnhealthyCacheDoesNotCountAsOverloaded(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	preferred := h.request(1, "read", 42).Cache
	h.serve(1, 0)
	c := h.router.caches[preferred]
	// The cache is at its limit. There is no retry token, and the origin is not idle (5 in flight exceed half
	// of the limit of 9), so a request at an overloaded cache would not be sent to another one.
	c.health.healthy, c.limit.value, c.sent.updatedAt = false, minConcurrency, h.now
	h.router.retryBudget.tokens, h.router.origin.limit.value, h.router.origin.inFlight = 0, 9, 5
	if s := h.request(2, "read", 42); s == nil || s.Cache == preferred {
		t.Fatalf("got %v, want another cache", s)
	}
}

// TestConnectionBrokenAtOnceIsRetriedAtSameCache checks that a request whose connection breaks immediately is retried at
// the same cache, once and without a token of the retry budget. At another cache, the key would miss.
func TestConnectionBrokenAtOnceIsRetriedAtSameCache(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	h.router.retryBudget.tokens = 0
	first := h.request(1, "read", 9)
	retries := sends(h.endAttempt(1, 0, ConnectionLost, false))
	if len(retries) != 1 || retries[0].Cache != first.Cache {
		t.Fatalf("second attempt: got %v, want one Send to %s", retries, first.Cache)
	}
	retries = sends(h.endAttempt(1, 1, ConnectionLost, false))
	if len(retries) != 1 || retries[0].Cache == first.Cache {
		t.Errorf("third attempt: got %v, want one Send to another cache than %s", retries, first.Cache)
	}
	h.request(2, "once", 9)
	if got := sends(h.endAttempt(2, 0, ConnectionLost, false)); len(got) != 0 {
		t.Errorf("non-idempotent request that may have run: got %v, want no Send", got)
	}
}

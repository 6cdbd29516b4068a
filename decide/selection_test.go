package decide

import (
	"testing"
)

// TestUnhealthyCacheIsSkippedThenUsedAsFallback checks that an unhealthy cache gets requests only where all
// are unhealthy.
func TestUnhealthyCacheIsSkippedThenUsedAsFallback(t *testing.T) {
	b := newHarness(t, settings())
	b.feed(&EndpointList{Kind: FullUpdate, Endpoints: fleet(6)})
	b.r.hotKeys.total[1] = 1000 // so that the key is not a hot one
	home := b.request(1, "read", 42).Cache
	b.serve(1, 0)
	b.r.caches[home].health.healthy = false
	if s := b.request(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("unhealthy cache not skipped: %v", s)
	}
	b.serve(2, 0)
	for _, c := range b.r.caches {
		c.health.healthy = false
	}
	if s := b.request(3, "read", 42); s == nil || s.Cache != home {
		t.Fatalf("with all unhealthy the first pick is used anyway: %v", s)
	}
}

// TestOverflowNeedsIdleOriginOrRetryBudget checks when a request may go past caches at their limits: its
// key misses elsewhere and loads the origin.
func TestOverflowNeedsIdleOriginOrRetryBudget(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	home := b.request(1, "read", 42).Cache
	b.serve(1, 0)
	b.r.caches[home].limit.value = 0.2
	b.r.retryBudget.tokens = 5
	if s := b.request(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("no overflow with budget: %v", s)
	}
	b.r.retryBudget.tokens = 0
	for _, c := range b.r.caches {
		c.cachedKeys = [2]map[uint64]bool{{}, {}}
	}
	b.r.origin.limit.value, b.r.origin.inFlight = 9, 5 // over half used: the origin is not idle
	if s := b.request(3, "read", 42); s != nil {
		t.Fatalf("overflow without budget: %v", s)
	}
	b.r.origin.inFlight = 0
	if s := b.request(4, "read", 42); s == nil {
		t.Fatal("no overflow though the origin idles")
	}
}

// TestUnhealthyCacheDoesNotCountAsOverloaded checks that the keys of an unhealthy cache go elsewhere
// whatever the retry budget.
func TestUnhealthyCacheDoesNotCountAsOverloaded(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	home := b.request(1, "read", 42).Cache
	b.serve(1, 0)
	c := b.r.caches[home]
	c.health.healthy, c.limit.value, c.sent.updatedAt = false, minConcurrency, b.now
	b.r.retryBudget.tokens, b.r.origin.limit.value, b.r.origin.inFlight = 0, 9, 5
	if s := b.request(2, "read", 42); s == nil || s.Cache == home {
		t.Fatalf("got %v, want another cache", s)
	}
}

// TestConnectionBrokenAtOnceIsRetriedAtSameCache checks that a request whose connection breaks at once
// tries the same cache again, once and without a token: elsewhere it would miss.
func TestConnectionBrokenAtOnceIsRetriedAtSameCache(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	b.r.retryBudget.tokens = 0
	first := b.request(1, "read", 9)
	again := sends(b.end(1, 0, ConnectionLost, false))
	if len(again) != 1 || again[0].Cache != first.Cache {
		t.Fatalf("sent to %s, then %v", first.Cache, again)
	}
	other := sends(b.end(1, 1, ConnectionLost, false))
	if len(other) != 1 || other[0].Cache == first.Cache {
		t.Errorf("the third attempt: %v", other)
	}
	b.request(2, "once", 9)
	if got := sends(b.end(2, 0, ConnectionLost, false)); len(got) != 0 {
		t.Errorf("an unsafe request that may have run is sent again: %v", got)
	}
}

package decide

import (
	"testing"
)

// TestHedgeOnlyWhereCacheIsSilent checks that an overdue attempt is hedged only if its cache has answered nothing
// since the attempt was sent and the settings and the class allow hedging. A cache that hangs accepts requests
// without an answer until its health checks have failed.
func TestHedgeOnlyWhereCacheIsSilent(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		change   func(*Settings)
		answered bool // the cache has answered since the attempt was sent
		want     int  // number of hedged requests
	}{
		{"silent cache", "read", nil, false, 1},
		{"cache that answered", "read", nil, true, 0},
		{"hedging not allowed", "read", func(s *Settings) { s.AllowHedging = false }, false, 0},
		{"one attempt allowed", "read", func(s *Settings) { s.MaxAttempts = 1 }, false, 0},
		{"non-idempotent", "once", nil, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarnessWithoutHealthChecks(t, 4, c.change)
			s := h.request(1, c.class, 9)
			h.advance(10 * ms)
			if c.answered {
				h.router.caches[s.Cache].lastAnswerAt = h.router.now
			}
			if got := sends(h.advance(100 * ms)); len(got) != c.want {
				t.Errorf("got hedged requests %v, want %d", got, c.want)
			}
			if got := sends(h.advance(40 * ms)); len(got) != 0 {
				t.Errorf("got further hedged requests %v, want none", got)
			}
		})
	}
}

// TestLostAttemptsAreHedged checks that lost attempts are hedged and don't lower limits while the caches serve all
// others in time. Every fourth first attempt is never answered.
func TestLostAttemptsAreHedged(t *testing.T) {
	h := newHarnessWithoutHealthChecks(t, 4, nil)
	for _, c := range h.router.caches {
		for key := range uint64(16) {
			c.cachedKeys[0][key], c.cachedKeys[1][key] = true, true
		}
	}
	before := h.router.serving[0].limit.value
	lost, hedged, rejected := 0, 0, 0
	var respond func(actions []Action)
	respond = func(actions []Action) {
		rejected += countFinalAnswers(actions)
		for _, a := range actions {
			switch a := a.(type) {
			case Send: // the hedged request, which is served
				if a.ID > 200 {
					hedged++
				}
				respond(h.endAttempt(a.ID, len(h.router.requests[a.ID].attempts)-1, Served, true))
			case Cancel:
				respond(h.endAttempt(a.ID, a.Attempt, Cancelled, true))
			}
		}
	}
	for id := range int64(400) {
		id++
		s := h.request(id, "read", uint64(id%15))
		if s == nil {
			t.Fatalf("request %d was not sent", id)
		}
		if id == 200 {
			rejected = 0
		}
		respond(h.advance(10 * ms))
		switch {
		case id%4 != 0:
			respond(h.endAttempt(id, 0, Served, true))
		case id > 200:
			lost++
		}
	}
	respond(h.advance(300 * ms))
	if hedged < lost*9/10 || rejected > lost/10 {
		t.Errorf("%d lost attempts: got %d hedged and %d requests rejected, want at least 9/10 hedged and at most 1/10 rejected", lost, hedged, rejected)
	}
	for _, c := range h.router.serving {
		if c.limit.value < before || c.inFlight > 1 || c.overtaken != 0 { // the last attempt may still be in flight
			t.Errorf("%s: limit %v before and %v after, %d overtaken, %d in flight; want no lower limit, 0 overtaken, at most 1 in flight",
				c.ID, before, c.limit.value, c.overtaken, c.inFlight)
		}
	}
}

package decide

import (
	"testing"
)

// TestHedgeOnlyWhereCacheIsSilent checks that an overdue attempt is hedged only where its cache has
// answered nothing since and the class allows it: a cache that hangs answers none until its health checks
// have failed.
func TestHedgeOnlyWhereCacheIsSilent(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		change   func(*Settings)
		answered bool // the cache has answered something since
		want     int  // hedged requests
	}{
		{"silent cache", "read", nil, false, 1},
		{"cache that answered", "read", nil, true, 0},
		{"hedging not allowed", "read", func(s *Settings) { s.AllowHedging = false }, false, 0},
		{"one attempt allowed", "read", func(s *Settings) { s.MaxAttempts = 1 }, false, 0},
		{"non-idempotent", "once", nil, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarnessWithoutHealthChecks(t, 4, c.change)
			s := b.request(1, c.class, 9)
			b.advance(10 * ms)
			if c.answered {
				b.r.caches[s.Cache].lastAnswerAt = b.r.now
			}
			if got := sends(b.advance(100 * ms)); len(got) != c.want {
				t.Errorf("hedged with %v, want %d", got, c.want)
			}
			if got := sends(b.advance(40 * ms)); len(got) != 0 {
				t.Errorf("hedged later with %v", got)
			}
		})
	}
}

// TestLostAttemptsAreHedged checks that attempts that get lost, while others are served as quickly as ever,
// are sent again and don't lower limits. Each fourth first attempt is never answered.
func TestLostAttemptsAreHedged(t *testing.T) {
	b := newHarnessWithoutHealthChecks(t, 4, nil)
	for _, c := range b.r.caches {
		for key := range uint64(16) {
			c.cachedKeys[0][key], c.cachedKeys[1][key] = true, true
		}
	}
	before := b.r.serving[0].limit.value
	lost, again, rejected := 0, 0, 0
	var after func(acts []Action)
	after = func(acts []Action) {
		rejected += finalAnswers(acts)
		for _, a := range acts {
			switch a := a.(type) {
			case Send: // a second attempt: it is answered
				if a.ID > 200 {
					again++
				}
				after(b.end(a.ID, len(b.r.requests[a.ID].attempts)-1, Served, true))
			case Cancel:
				after(b.end(a.ID, a.Attempt, Cancelled, true))
			}
		}
	}
	for id := range int64(400) {
		id++
		s := b.request(id, "read", uint64(id%15))
		if s == nil {
			t.Fatalf("request %d is not sent", id)
		}
		if id == 200 {
			rejected = 0
		}
		after(b.advance(10 * ms))
		switch {
		case id%4 != 0:
			after(b.end(id, 0, Served, true))
		case id > 200:
			lost++
		}
	}
	after(b.advance(300 * ms))
	if again < lost*9/10 || rejected > lost/10 {
		t.Errorf("of %d lost attempts %d were sent again; %d rejected", lost, again, rejected)
	}
	for _, c := range b.r.serving {
		if c.limit.value < before || c.inFlight > 1 || c.overtaken != 0 { // the last one may still be out
			t.Errorf("%s: limit %v -> %v, %d overtaken of %d out", c.ID, before, c.limit.value, c.overtaken, c.inFlight)
		}
	}
}

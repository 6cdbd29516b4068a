package router

import (
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

// second returns a client's retry of the request of get.
func second(id string) string { return words("C.GET", "k1", id, "c=read,d=20000") }

func TestRetryKeepsFirstRequestTime(t *testing.T) {
	r := newRig(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm = retrystorm.DefaultEnabled() })
	one := dial(t, r.addr)
	one.Send(second("try1"))
	q := receive(t, r.requests, "request at the module")
	if q.FirstRequestedAt != 0 {
		t.Errorf("a first try is told as asked since %d", q.FirstRequestedAt)
	}
	r.perform(decide.Reject{ID: q.ID})
	one.Want("-BUSY")
	one.Send(second("try2"))
	again := receive(t, r.requests, "request at the module")
	if again.FirstRequestedAt == 0 || again.FirstRequestedAt > again.Deadline-20_000_000 {
		t.Errorf("the retry is told as asked since %d, with a deadline of %d", again.FirstRequestedAt, again.Deadline)
	}
	r.perform(decide.Fail{ID: again.ID})
	one.Want("-ERR failed")
	one.Send(second("try3"))
	if third := receive(t, r.requests, "request at the module"); third.FirstRequestedAt != again.FirstRequestedAt {
		t.Errorf("the third try is told as asked since %d, the second since %d", third.FirstRequestedAt, again.FirstRequestedAt)
	}
}

// TestReconnectAfterResetIsNoRetry counts a request after a reset connection as a first one, as a reset says nothing
// about load, and the request of a client that left and comes again as a retry.
func TestReconnectAfterResetIsNoRetry(t *testing.T) {
	for _, breaks := range []bool{true, false} {
		r := newRig(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm = retrystorm.DefaultEnabled() })
		one := dial(t, r.addr)
		one.Send(second("try1"))
		receive(t, r.requests, "request at the module")
		if breaks {
			one.SetLinger(0)
		}
		one.Close()
		r.Until("the end of the client", func() bool { return r.r.frontend.Connections() == 0 })
		again := dial(t, r.addr)
		again.Send(second("try2"))
		if q := receive(t, r.requests, "request at the module"); (q.FirstRequestedAt == 0) != breaks {
			t.Errorf("a reset %v: what comes back is told as asked since %d", breaks, q.FirstRequestedAt)
		}
	}
}

func TestRetryStormMonitorOff(t *testing.T) {
	r := newRig(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm.Enabled = false })
	c := dial(t, r.addr)
	c.Send(second("try1"))
	r.perform(decide.Reject{ID: receive(t, r.requests, "request at the module").ID})
	c.Want("-BUSY")
	c.Send(second("try2"))
	if q := receive(t, r.requests, "request at the module"); q.FirstRequestedAt != 0 {
		t.Errorf("the retry is told as asked since %d", q.FirstRequestedAt)
	}
}

// BenchmarkRefusedInAStorm and BenchmarkServed tell what a request costs without its sockets: the watch and the
// decision module.
func BenchmarkRefusedInAStorm(b *testing.B) { benchmarkAsk(b, true) }

func BenchmarkServed(b *testing.B) { benchmarkAsk(b, false) }

func benchmarkAsk(b *testing.B, refused bool) {
	set := decide.Settings{Routers: 3, MaxAttempts: 3, AllowCancel: true, MaxRetryAfter: 1_500_000, SlowStartWindow: 20_000_000,
		Classes: []decide.Class{{Name: "read", Semantics: decide.Idempotent, LatencyObjective: 500_000, ClientTimeout: 1_200_000, PriorityWeight: 2}}}
	module, err := decide.New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := &decide.EndpointList{Kind: decide.FullUpdate}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		list.Endpoints = append(list.Endpoints, decide.Endpoint{ID: id, Weight: 1})
	}
	now := Time(1e9)
	module.Handle(now, list)
	watch := retrystorm.New(retrystorm.Default())
	if refused {
		module.Handle(now, &decide.RetryStorm{Active: true, RetryAfterJitter: 500_000})
		// With all places taken, first tries are held and then turned away.
		for id := range int64(1000) {
			module.Handle(now, &decide.Request{ID: 1 + id, Class: "read", Key: uint64(id), HasKey: true, Deadline: now + 1_200_000})
		}
		for token := range int64(4000) {
			module.Handle(now+210_000, &decide.Timer{Token: token})
		}
		now += 211_000
	}
	sent := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		key := uint64(i % 100_000)
		a := retrystorm.Request{Client: frontend.KeyHash([]byte{byte(key), byte(key >> 8), byte(key >> 16)}), Key: key, ClientTimeout: 1_200_000}
		told := watch.Requested(now, a)
		q := &decide.Request{ID: 10_000 + int64(i), Class: "read", Key: key, HasKey: true, Deadline: now + 1_000_000}
		if refused {
			q.FirstRequestedAt = now - 400_000
		} else {
			now += 1000
		}
		answered := false
		for _, action := range module.Handle(now, q) {
			switch action.(type) {
			case decide.Send:
				sent++
				answered = true
			case decide.Reject:
				answered = true
				watch.Unserved(now, a, told, now)
			}
		}
		if !answered {
			b.Fatal("neither sent nor refused")
		}
		if !refused {
			module.Handle(now+500, &decide.AttemptResult{ID: q.ID, Result: decide.Served, Last: true, Elapsed: 500})
		}
	}
	if refused && sent > 0 {
		b.Fatalf("%d were sent", sent)
	}
}

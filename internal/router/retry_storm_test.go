package router

import (
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/retrystorm"
)

func TestRetryKeepsFirstRequestTime(t *testing.T) {
	r := newScriptedRouter(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm = retrystorm.DefaultEnabled() })
	client := dial(t, r.addr)
	client.Send(get("try1"))
	q := receive(t, r.requests, "request at the module")
	if q.FirstRequestedAt != 0 {
		t.Errorf("first request has FirstRequestedAt %d, want 0", q.FirstRequestedAt)
	}
	r.perform(decide.Reject{ID: q.ID})
	client.Want("-BUSY")
	client.Send(get("try2"))
	again := receive(t, r.requests, "request at the module")
	if again.FirstRequestedAt == 0 || again.FirstRequestedAt > again.Deadline-20_000_000 {
		t.Errorf("retry has FirstRequestedAt %d and deadline %d, want the time of the first request", again.FirstRequestedAt, again.Deadline)
	}
	r.perform(decide.Fail{ID: again.ID})
	client.Want("-ERR failed")
	client.Send(get("try3"))
	if third := receive(t, r.requests, "request at the module"); third.FirstRequestedAt != again.FirstRequestedAt {
		t.Errorf("second retry has FirstRequestedAt %d, want %d as in the first retry", third.FirstRequestedAt, again.FirstRequestedAt)
	}
}

// TestReconnectAfterResetIsNoRetry repeats a request on a new connection. After a reset of the old connection, the request
// counts as a first one, because a reset says nothing about load. After a normal close, it counts as a retry.
func TestReconnectAfterResetIsNoRetry(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		r := newScriptedRouter(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm = retrystorm.DefaultEnabled() })
		client := dial(t, r.addr)
		client.Send(get("try1"))
		receive(t, r.requests, "request at the module")
		if isReset {
			client.SetLinger(0)
		}
		client.Close()
		r.Until("end of the client connection", func() bool { return r.r.frontend.Connections() == 0 })
		again := dial(t, r.addr)
		again.Send(get("try2"))
		if q := receive(t, r.requests, "request at the module"); (q.FirstRequestedAt == 0) != isReset {
			t.Errorf("reset %v: repeated request has FirstRequestedAt %d, want 0 only after a reset", isReset, q.FirstRequestedAt)
		}
	}
}

func TestRetryStormMonitorOff(t *testing.T) {
	r := newScriptedRouter(t, newFakeCache(t).Addr(), func(c *Config) { c.RetryStorm.Enabled = false })
	c := dial(t, r.addr)
	c.Send(get("try1"))
	r.perform(decide.Reject{ID: receive(t, r.requests, "request at the module").ID})
	c.Want("-BUSY")
	c.Send(get("try2"))
	if q := receive(t, r.requests, "request at the module"); q.FirstRequestedAt != 0 {
		t.Errorf("retry has FirstRequestedAt %d with the monitor disabled, want 0", q.FirstRequestedAt)
	}
}

// BenchmarkRefusedInAStorm measures the cost of a rejected request during a retry storm, in the retry storm detector and the
// decision module, without sockets.
func BenchmarkRefusedInAStorm(b *testing.B) { benchmarkDecision(b, true) }

// BenchmarkServed measures the same cost of a served request.
func BenchmarkServed(b *testing.B) { benchmarkDecision(b, false) }

func benchmarkDecision(b *testing.B, rejected bool) {
	settings := decide.Settings{Routers: 3, MaxAttempts: 3, AllowCancel: true, MaxRetryAfter: 1_500_000, SlowStartWindow: 20_000_000,
		Classes: []decide.Class{{Name: "read", Semantics: decide.Idempotent, LatencyObjective: 500_000, ClientTimeout: 1_200_000, PriorityWeight: 2}}}
	module, err := decide.New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	list := &decide.EndpointList{Kind: decide.FullUpdate}
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		list.Endpoints = append(list.Endpoints, decide.Endpoint{ID: id, Weight: 1})
	}
	now := Time(1e9)
	module.Handle(now, list)
	detector := retrystorm.New(retrystorm.Default())
	if rejected {
		module.Handle(now, &decide.RetryStorm{Active: true, RetryAfterJitter: 500_000})
		// At the concurrency limit, the module queues first requests and then rejects them.
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
		request := retrystorm.Request{Client: frontend.KeyHash([]byte{byte(key), byte(key >> 8), byte(key >> 16)}), Key: key, ClientTimeout: 1_200_000}
		verdict := detector.RecordRequest(now, request)
		q := &decide.Request{ID: 10_000 + int64(i), Class: "read", Key: key, HasKey: true, Deadline: now + 1_000_000}
		if rejected {
			q.FirstRequestedAt = now - 400_000
		} else {
			now += 1000
		}
		decided := false
		for _, action := range module.Handle(now, q) {
			switch action.(type) {
			case decide.Send:
				sent++
				decided = true
			case decide.Reject:
				decided = true
				detector.RecordUnserved(now, request, verdict, now)
			}
		}
		if !decided {
			b.Fatal("request was neither sent nor rejected")
		}
		if !rejected {
			module.Handle(now+500, &decide.AttemptResult{ID: q.ID, Result: decide.Served, Final: true, Elapsed: 500})
		}
	}
	if rejected && sent > 0 {
		b.Fatalf("%d requests were sent, want 0", sent)
	}
}

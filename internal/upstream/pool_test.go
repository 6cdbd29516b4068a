package upstream

import (
	"fmt"
	"net"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/testbench/routertest"
)

// newBusyPool returns a pool whose connections to the cache are all in use.
func newBusyPool(t *testing.T) (*testPool, *routertest.Cache, []routertest.Command) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Routers = 1000 })
	var busy []routertest.Command
	for range limits.Default().Caches.MinConnections {
		r.send(r.request(nil), long)
		busy = append(busy, r.command(cache))
	}
	return r, cache, busy
}

// wantOnlyLastServed ends what is out on the connections and has one more request served: had anything else been sent before
// it, the cache would have received that.
func wantOnlyLastServed(t *testing.T, r *testPool, cache *routertest.Cache, busy []routertest.Command) {
	t.Helper()
	for _, cmd := range busy {
		cmd.Reply(t, served)
		r.wantResult(decide.Served)
	}
	r.send(&testRequest{id: "last"}, long)
	if got := r.command(cache); got.Args[2] != "last" {
		t.Errorf("the cache was sent %q", got.Args)
	}
}

// TestWaitingAttemptIsNotSentWhenRequestIsOver checks the last check before the first byte.
func TestWaitingAttemptIsNotSentWhenRequestIsOver(t *testing.T) {
	for name, end := range map[string]func(*Attempt){
		"given up": func(a *Attempt) { a.Abort(decide.Cancelled) },
		"answered": func(a *Attempt) { a.Request.(*testRequest).answered = true }, // its owner does not abort it
	} {
		t.Run(name, func(t *testing.T) {
			r, cache, busy := newBusyPool(t)
			a := r.send(r.request(nil), long)
			r.Do(func() {
				end(a)
				r.pool.caches["c1"].dispatch()
			})
			r.wantResult(decide.NotSent)
			wantOnlyLastServed(t, r, cache, busy)
		})
	}
}

func TestWaitingAttemptIsNotSentAfterDeadline(t *testing.T) {
	r, cache, busy := newBusyPool(t)
	r.send(r.request(nil), time.Millisecond)
	if o := routertest.Receive(t, r.results, "outcome"); !o.result.NeverRan() {
		t.Errorf("outcome %d", o.result)
	}
	wantOnlyLastServed(t, r, cache, busy)
}

func TestFullPoolIsConnectFailed(t *testing.T) {
	r, _, _ := newBusyPool(t)
	r.Do(func() { r.pool.options.DialTimeout = 1000 })
	r.send(r.request(nil), long)
	r.wantResult(decide.ConnectFailed)
}

// TestBurstSharesConnections checks that a burst of requests stays within the limit of connections, and that all are served in
// turn.
func TestBurstSharesConnections(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Routers = 12 })
	const burst = 100
	for range burst {
		r.send(r.request(nil), long)
	}
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := r.command(cache)
		conns[cmd.Conn] = true
		cmd.Reply(t, served)
		r.wantResult(decide.Served)
	}
	if limit := limits.Default().Caches.FleetConnections / 12; len(conns) > limit {
		t.Errorf("%d connections for %d requests, want %d at most", len(conns), burst, limit)
	}
}

// TestLongRestOpensAnotherConnection checks that an attempt does not wait for a connection that rests for longer than a dial
// takes.
func TestLongRestOpensAnotherConnection(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Limits.MinRestTime = time.Hour })
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn == first.Conn {
		t.Error("a connection was used before it had rested")
	}
	second.Reply(t, served)
	r.wantResult(decide.Served)
}

// TestConnectionNearKeepaliveIsNotUsed checks, between two sweeps, that a request is not written to a connection that its cache
// may be closing: it would be unknown whether it has run.
func TestConnectionNearKeepaliveIsNotUsed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() { r.pool.caches["c1"].idle[0].idleSince -= r.pool.options.Keepalive * 3 / 4 })
	r.send(r.request(nil), long)
	if second := r.command(cache); second.Conn == first.Conn {
		t.Error("it was used")
	} else {
		second.Reply(t, served)
	}
	r.wantResult(decide.Served)
	r.waitForEnd(cache)
}

// TestConnectionRestsBetweenRequests checks that a connection rests before it is used again, so that a repeat right behind a
// reply has arrived by then.
func TestConnectionRestsBetweenRequests(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Limits.MinRestTime = 4 * time.Millisecond })
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() {
		u := r.pool.caches["c1"]
		c := u.idle[0]
		if c.idleSince = r.Now() - u.minRest + 1; u.takeIdle() != nil {
			t.Error("it was taken before it had rested")
		}
		if c.idleSince = r.Now() - u.minRest; u.takeIdle() != c {
			t.Error("it was not taken after its rest")
		}
		c.close()
	})
}

// TestDescriptorsAreBounded checks that an attempt waits where all descriptors are used by attempts, and that an idle
// connection to another cache is closed for it.
func TestDescriptorsAreBounded(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Descriptors = 1 })
	r.updateCache("c2", other.Addr(), true, false)
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	r.sendTo("c2", r.request(nil), long)
	r.Do(func() {
		if r.pool.connections != 1 || !r.pool.descriptorWanted {
			t.Errorf("%d connections, starved %v", r.pool.connections, r.pool.descriptorWanted)
		}
	})
	cmd.Conn.Close()
	r.wantResult(decide.ConnectionLost)
	r.command(other).Reply(t, served)
	r.wantResult(decide.Served)
	r.send(r.request(nil), long) // the other cache's connection is idle now
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
	r.waitForEnd(other)
}

// TestLentDescriptorsHoldIdleConnections checks that lent descriptors keep connections to more caches, that attempts use no
// more than the pool's own, and that they are given back at once.
func TestLentDescriptorsHoldIdleConnections(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Descriptors = 1 })
	r.Do(func() { r.pool.LendDescriptors(1) })
	r.updateCache("c2", other.Addr(), true, false)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	r.sendTo("c2", r.request(nil), long)
	second := r.command(other)
	r.send(r.request(nil), long)
	r.Do(func() {
		if r.pool.connections != 2 || r.pool.idleConnections != 1 || !r.pool.descriptorWanted {
			t.Errorf("%d connections, %d idle, starved %v: wanted a request to wait for the pool's own", r.pool.connections,
				r.pool.idleConnections, r.pool.descriptorWanted)
		}
	})
	second.Reply(t, served)
	r.wantResult(decide.Served)
	again := r.command(cache)
	if again.Conn != first.Conn {
		t.Error("the connection that was idle was not used again")
	}
	again.Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() {
		if r.pool.LendDescriptors(0); r.pool.connections != 1 {
			t.Errorf("%d connections where one is the pool's own", r.pool.connections)
		}
	})
	r.waitForEnd(other) // idle for longer
}

// TestOwnConnectionIsAwaitedBeforeAnotherIsClosed checks that an attempt waits a moment for its own cache's connection before
// it takes the descriptor of another cache's.
func TestOwnConnectionIsAwaitedBeforeAnotherIsClosed(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Descriptors = 2 })
	r.updateCache("c2", other.Addr(), true, false)
	r.sendTo("c2", r.request(nil), long)
	r.command(other).Reply(t, served)
	r.wantResult(decide.Served)
	r.send(r.request(nil), long)
	first := r.command(cache)
	w := r.request(nil)
	r.Do(func() {
		r.pool.Start("c1", &Attempt{Request: w, SentAt: r.Now(), Deadline: r.Now() + long.Microseconds()})
		if r.pool.connections != 2 || r.pool.idleConnections != 1 {
			t.Errorf("%d connections, %d idle: another cache's was closed at once", r.pool.connections, r.pool.idleConnections)
		}
	})
	r.waitForEnd(other) // the first one is out for longer than ownConnectionWait
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
	first.Reply(t, served)
	r.wantResult(decide.Served)
}

func TestCloseIdleClosesIdleConnections(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() { r.pool.CloseIdle("c1") })
	r.waitForEnd(cache)
}

func TestSweepClosesConnectionsBeforeKeepalive(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) { o.Keepalive = 400_000 })
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() {
		u := r.pool.caches["c1"]
		u.idle[0].idleSince = r.Now() - 299_999
		if r.pool.Sweep(); r.pool.Connections() != 1 {
			t.Error("it was closed with a quarter of its time left")
		}
	})
	r.After(time.Millisecond)
	r.Do(r.pool.Sweep)
	r.waitForEnd(cache)
}

// TestAddressChangeReplacesConnections checks that connections to an old address carry no new request.
func TestAddressChangeReplacesConnections(t *testing.T) {
	old, moved := routertest.NewCache(t), routertest.NewCache(t)
	r := newTestPool(t, old.Addr(), nil)
	r.send(r.request(nil), long)
	cmd := r.command(old)
	r.updateCache("c1", moved.Addr(), true, false)
	cmd.Reply(t, served)
	r.wantResult(decide.Served)
	r.send(r.request(nil), long)
	r.command(moved).Reply(t, served)
	r.wantResult(decide.Served)
}

func TestConnectionLimitsAreKept(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), func(o *Options) {
		o.Routers = 1
		o.Limits.FleetConnections = 1
		o.Limits.MinConnections = 1
		o.Limits.MinRestTime = 0
	})
	r.send(r.request(nil), long)
	first := r.command(cache)
	r.send(r.request(nil), long)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	second := r.command(cache)
	second.Reply(t, served)
	r.wantResult(decide.Served)
	if first.Conn != second.Conn {
		t.Error("a second connection was opened beside the one that is allowed")
	}
}

// newSingleConnectionPool returns a pool whose one connection to c1 carries the first of two attempts, while the second waits
// for it.
func newSingleConnectionPool(t *testing.T, cache *routertest.Cache) (r *testPool, first, second *Attempt) {
	t.Helper()
	r = newTestPool(t, cache.Addr(), nil)
	r.Do(func() { r.pool.caches["c1"].maxConnections = 1 })
	first = r.send(r.request(nil), long)
	second = r.send(r.request(nil), long)
	return r, first, second
}

// TestConnectionEndDispatchesWaitingAttempts checks that attempts that wait for a connection that ends do not stall until their
// connect deadline.
func TestConnectionEndDispatchesWaitingAttempts(t *testing.T) {
	wantSecond := func(cache *routertest.Cache, r *testPool) {
		t.Helper()
		cmd := routertest.Receive(t, cache.Commands, "command on a new connection")
		if cmd.Args[2] != "r2" {
			t.Errorf("got %q", cmd.Args)
		}
		cmd.Reply(t, served)
		r.wantResult(decide.Served)
	}
	t.Run("after an unclean answer", func(t *testing.T) {
		cache := routertest.NewCache(t)
		r, _, _ := newSingleConnectionPool(t, cache)
		r.command(cache).Reply(t, served+"noise")
		r.wantResult(decide.Served)
		wantSecond(cache, r)
	})
	t.Run("after an attempt was given up", func(t *testing.T) {
		cache := routertest.NewCache(t)
		r, first, _ := newSingleConnectionPool(t, cache)
		r.command(cache)
		r.Do(func() { first.Abort(decide.Cancelled) })
		r.wantResult(decide.Cancelled)
		wantSecond(cache, r)
	})
	t.Run("after the address has changed", func(t *testing.T) {
		cache, next := routertest.NewCache(t), routertest.NewCache(t)
		r, _, _ := newSingleConnectionPool(t, cache)
		cmd := r.command(cache)
		r.updateCache("c1", next.Addr(), true, false)
		cmd.Reply(t, served)
		r.wantResult(decide.Served)
		wantSecond(next, r)
	})
}

// TestAttemptIsNotWrittenAfterWriteDeadline checks that a repeat that waits for a connection is not written when caches have
// forgotten the attempt before it, which may have run.
func TestAttemptIsNotWrittenAfterWriteDeadline(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.Do(func() { r.pool.caches["c1"].maxConnections = 1 })
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	r.Do(func() {
		now := r.Now()
		r.pool.Start("c1", &Attempt{Request: r.request([]byte("value")), SentAt: now, Deadline: now + long.Microseconds(),
			WriteDeadline: now + 50_000})
	})
	r.wantResult(decide.NotSent) // by its timer, as the connection is not free yet
	cmd.Reply(t, served)
	r.wantResult(decide.Served)
	r.Do(func() {
		// The last check sees the deadline too, where the timer is late.
		u := r.pool.caches["c1"]
		if a := (&Attempt{cache: u, Deadline: r.Now() + 2, WriteDeadline: r.Now()}); u.maySend(a) {
			t.Error("it may be sent at its write deadline")
		}
	})
}

// TestOutageIsLoggedWithCauses checks the log lines about an unavailable cache, an outage of all caches, and its end.
func TestOutageIsLoggedWithCauses(t *testing.T) {
	r := newTestPool(t, routertest.NewCache(t).Addr(), nil)
	end := func(result decide.Result, times int) {
		r.Do(func() {
			for range times {
				r.pool.caches["c1"].recordResult(result, 0)
			}
			r.pool.Sweep()
		})
	}
	end(decide.ConnectFailed, failuresBeforeLog)
	r.lines.Want(t, `msg="cache unavailable" cache=c1 cause=refused`)
	r.lines.Want(t, `msg="no cache available" caches=1 refused=1`)
	end(decide.NotSent, failuresBeforeLog) // is no failure of the cache
	end(decide.TimedOut, failuresBeforeLog)
	r.lines.Want(t, `msg="cache unavailable" cache=c1 cause=hung`)
	end(decide.Served, 1)
	r.lines.Want(t, `msg="cache available" cache=c1`)
	r.Do(func() {
		if r.pool.unavailableCaches != 0 {
			t.Errorf("%d caches count as unavailable", r.pool.unavailableCaches)
		}
	})
}

// TestRemovedCachesAreForgotten checks that nothing is kept of removed caches, however many names come and go.
func TestRemovedCachesAreForgotten(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	for i := range 20 {
		name := fmt.Sprint("s", i)
		r.updateCache(name, cache.Addr(), true, false)
		r.sendTo(name, r.request(nil), long)
		cmd := r.command(cache)
		r.updateCache(name, cache.Addr(), false, true) // one attempt is still out as its cache is removed
		cmd.Reply(t, served)
		r.wantResult(decide.Served)
	}
	r.Do(func() {
		if len(r.pool.caches) != 1 || len(r.pool.sorted) != 1 || r.pool.Connections() != 0 || r.pool.Attempts() != 0 {
			t.Errorf("%d caches, %d in order, %d connections, %d attempts are left", len(r.pool.caches),
				len(r.pool.sorted), r.pool.Connections(), r.pool.Attempts())
		}
	})
}

// TestClosedPoolDialsNothing checks that attempts that wait as the pool closes do not dial when their connections end.
func TestClosedPoolDialsNothing(t *testing.T) {
	cache := routertest.NewCache(t)
	r, _, _ := newSingleConnectionPool(t, cache)
	r.command(cache)
	r.Do(r.pool.Close)
	r.After(time.Millisecond)
	r.Do(func() {
		if n := r.pool.Connections(); n != 0 {
			t.Errorf("%d connections were opened after the close", n)
		}
	})
}

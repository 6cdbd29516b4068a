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

// busyPool makes a rig whose connections to the cache are all in use.
func busyPool(t *testing.T) (*rig, *routertest.Cache, []routertest.Command) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Routers = 1000 })
	var busy []routertest.Command
	for range limits.Default().Caches.MinConnections {
		r.send(r.request(nil), long)
		busy = append(busy, r.command(cache))
	}
	return r, cache, busy
}

// freed ends what holds the connections and has one more work served: had anything else
// been sent on before it, the cache would have it by then.
func freed(t *testing.T, r *rig, cache *routertest.Cache, busy []routertest.Command) {
	t.Helper()
	for _, cmd := range busy {
		cmd.Reply(t, served)
		r.want(decide.Served)
	}
	r.send(&work{id: "last"}, long)
	if got := r.command(cache); got.Args[2] != "last" {
		t.Errorf("the cache was sent %q", got.Args)
	}
}

// TestWaitingAttemptIsNotSentWhenItsWorkIsOver holds the last look before the first byte.
func TestWaitingAttemptIsNotSentWhenItsWorkIsOver(t *testing.T) {
	for name, end := range map[string]func(*Attempt){
		"given up":        func(a *Attempt) { a.Abort(decide.Cancelled) },
		"no longer asked": func(a *Attempt) { a.Request.(*work).over = true }, // its owner does not give it up
	} {
		t.Run(name, func(t *testing.T) {
			r, cache, busy := busyPool(t)
			a := r.send(r.request(nil), long)
			r.Do(func() {
				end(a)
				r.pool.caches["c1"].pump()
			})
			r.want(decide.NotSent)
			freed(t, r, cache, busy)
		})
	}
}

func TestWaitingAttemptIsNotSentAfterItsTime(t *testing.T) {
	r, cache, busy := busyPool(t)
	r.send(r.request(nil), time.Millisecond)
	if o := routertest.Receive(t, r.outcomes, "outcome"); !o.result.NeverRan() {
		t.Errorf("outcome %d", o.result)
	}
	freed(t, r, cache, busy)
}

func TestFullPoolCountsAsNoConnection(t *testing.T) {
	r, _, _ := busyPool(t)
	r.Do(func() { r.pool.o.DialTimeout = 1000 })
	r.send(r.request(nil), long)
	r.want(decide.ConnectFailed)
}

// TestBurstDoesNotDialForEach: connections stay under the bound, and all is served in turn.
func TestBurstDoesNotDialForEach(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Routers = 12 })
	const burst = 100
	for range burst {
		r.send(r.request(nil), long)
	}
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := r.command(cache)
		conns[cmd.Conn] = true
		cmd.Reply(t, served)
		r.want(decide.Served)
	}
	if most := limits.Default().Caches.FleetConnections / 12; len(conns) > most {
		t.Errorf("%d connections for %d requests, want %d at most", len(conns), burst, most)
	}
}

// TestConnectionRests before it is used again, so that a copy right behind an answer has come by then.
// TestConnectionThatRestsForLongIsNotWaitedFor: another one is opened beside it.
func TestConnectionThatRestsForLongIsNotWaitedFor(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Limits.MinRestTime = time.Hour })
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn == first.Conn {
		t.Error("a connection was used that rests")
	}
	second.Reply(t, served)
	r.want(decide.Served)
}

// TestConnectionThatIsAboutToIdleOutIsNotUsed, also between two sweeps. The danger: its cache closes it as the request is written,
// and nobody knows whether that has run.
func TestConnectionThatIsAboutToIdleOutIsNotUsed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.want(decide.Served)
	r.Do(func() { r.pool.caches["c1"].idle[0].idleSince -= r.pool.o.Keepalive * 3 / 4 })
	r.send(r.request(nil), long)
	if second := r.command(cache); second.Conn == first.Conn {
		t.Error("it was used")
	} else {
		second.Reply(t, served)
	}
	r.want(decide.Served)
	r.end(cache)
}

func TestConnectionRests(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Limits.MinRestTime = 4 * time.Millisecond })
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
	r.Do(func() {
		u := r.pool.caches["c1"]
		c := u.idle[0]
		if c.idleSince = r.Now() - u.rest + 1; u.rested() != nil {
			t.Error("it was given out while it rests")
		}
		if c.idleSince = r.Now() - u.rest; u.rested() != c {
			t.Error("it was not given out after its rest")
		}
		c.close()
	})
}

// TestUpstreamDescriptors: where the caches' descriptors are used up, an attempt waits for one,
// and an idle connection to another cache makes room.
func TestUpstreamDescriptors(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Descriptors = 1 })
	r.list("c2", other.Addr(), true, false)
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	r.sendTo("c2", r.request(nil), long)
	r.Do(func() {
		if r.pool.conns != 1 || !r.pool.starved {
			t.Errorf("%d connections, starved %v", r.pool.conns, r.pool.starved)
		}
	})
	cmd.Conn.Close()
	r.want(decide.ConnectionLost)
	r.command(other).Reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long) // the other cache's connection is idle now
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
	r.end(other)
}

// TestLentDescriptorsHoldIdleConnections: what clients do not use keeps a connection to each cache, no request uses it
// beside the pool's own, and it is given back at once.
func TestLentDescriptorsHoldIdleConnections(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Descriptors = 1 })
	r.Do(func() { r.pool.LendDescriptors(1) })
	r.list("c2", other.Addr(), true, false)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.want(decide.Served)
	r.sendTo("c2", r.request(nil), long)
	second := r.command(other)
	r.send(r.request(nil), long)
	r.Do(func() {
		if r.pool.conns != 2 || r.pool.idle != 1 || !r.pool.starved {
			t.Errorf("%d connections, %d idle, starved %v: wanted a request to wait for the pool's own", r.pool.conns,
				r.pool.idle, r.pool.starved)
		}
	})
	second.Reply(t, served)
	r.want(decide.Served)
	again := r.command(cache)
	if again.Conn != first.Conn {
		t.Error("the connection that was idle was not used again")
	}
	again.Reply(t, served)
	r.want(decide.Served)
	r.Do(func() {
		if r.pool.LendDescriptors(0); r.pool.conns != 1 {
			t.Errorf("%d connections where one is the pool's own", r.pool.conns)
		}
	})
	r.end(other) // idle for longer
}

// TestConnectionThatIsOutIsWaitedForBeforeAnotherIsClosed: an attempt waits a moment for its own cache's connection
// before it takes the descriptor of another cache's.
func TestConnectionThatIsOutIsWaitedForBeforeAnotherIsClosed(t *testing.T) {
	cache, other := routertest.NewCache(t), routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Descriptors = 2 })
	r.list("c2", other.Addr(), true, false)
	r.sendTo("c2", r.request(nil), long)
	r.command(other).Reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	first := r.command(cache)
	w := r.request(nil)
	r.Do(func() {
		r.pool.Start("c1", &Attempt{Request: w, SentAt: r.Now(), Deadline: r.Now() + long.Microseconds()})
		if r.pool.conns != 2 || r.pool.idle != 1 {
			t.Errorf("%d connections, %d idle: another cache's was closed at once", r.pool.conns, r.pool.idle)
		}
	})
	r.end(other) // the first one is out for longer than is waited for
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
	first.Reply(t, served)
	r.want(decide.Served)
}

func TestIdleConnectionsAreClosedOnRequest(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
	r.Do(func() { r.pool.CloseIdle("c1") })
	r.end(cache)
}

func TestIdleConnectionsAreClosedBeforeTheCacheDoes(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) { o.Keepalive = 400_000 })
	r.send(r.request(nil), long)
	r.command(cache).Reply(t, served)
	r.want(decide.Served)
	r.Do(func() {
		u := r.pool.caches["c1"]
		u.idle[0].idleSince = r.Now() - 299_999
		if r.pool.Sweep(); r.pool.Connections() != 1 {
			t.Error("it was closed with a quarter of its time left")
		}
	})
	r.After(time.Millisecond)
	r.Do(r.pool.Sweep)
	r.end(cache)
}

// TestCacheThatMoves: connections to its old address are not used for new work.
func TestCacheThatMoves(t *testing.T) {
	old, moved := routertest.NewCache(t), routertest.NewCache(t)
	r := newRig(t, old.Addr(), nil)
	r.send(r.request(nil), long)
	cmd := r.command(old)
	r.list("c1", moved.Addr(), true, false)
	cmd.Reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	r.command(moved).Reply(t, served)
	r.want(decide.Served)
}

func TestOperatorsLimitsOfConnectionsAreKept(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), func(o *Options) {
		o.Routers = 1
		o.Limits.FleetConnections = 1
		o.Limits.MinConnections = 1
		o.Limits.MinRestTime = 0
	})
	r.send(r.request(nil), long)
	first := r.command(cache)
	r.send(r.request(nil), long)
	first.Reply(t, served)
	r.want(decide.Served)
	second := r.command(cache)
	second.Reply(t, served)
	r.want(decide.Served)
	if first.Conn != second.Conn {
		t.Error("a second connection was opened beside the one that is allowed")
	}
}

// holding is a rig whose one connection to c1 carries the first of two works; the second waits
// for it.
func holding(t *testing.T, cache *routertest.Cache) (r *rig, first, second *Attempt) {
	t.Helper()
	r = newRig(t, cache.Addr(), nil)
	r.Do(func() { r.pool.caches["c1"].most = 1 })
	first = r.send(r.request(nil), long)
	second = r.send(r.request(nil), long)
	return r, first, second
}

// TestEndOfAConnectionWakesWhatWaitsForIt. The danger: attempts wait for a connection that has been
// closed, and stall until their dial time-out.
func TestEndOfAConnectionWakesWhatWaitsForIt(t *testing.T) {
	wantSecond := func(cache *routertest.Cache, r *rig) {
		t.Helper()
		cmd := routertest.Receive(t, cache.Commands, "command on a new connection")
		if cmd.Args[2] != "r2" {
			t.Errorf("got %q", cmd.Args)
		}
		cmd.Reply(t, served)
		r.want(decide.Served)
	}
	t.Run("after an unclean answer", func(t *testing.T) {
		cache := routertest.NewCache(t)
		r, _, _ := holding(t, cache)
		r.command(cache).Reply(t, served+"noise")
		r.want(decide.Served)
		wantSecond(cache, r)
	})
	t.Run("after an attempt was given up", func(t *testing.T) {
		cache := routertest.NewCache(t)
		r, first, _ := holding(t, cache)
		r.command(cache)
		r.Do(func() { first.Abort(decide.Cancelled) })
		r.want(decide.Cancelled)
		wantSecond(cache, r)
	})
	t.Run("after the address has changed", func(t *testing.T) {
		cache, next := routertest.NewCache(t), routertest.NewCache(t)
		r, _, _ := holding(t, cache)
		cmd := r.command(cache)
		r.list("c1", next.Addr(), true, false)
		cmd.Reply(t, served)
		r.want(decide.Served)
		wantSecond(next, r)
	})
}

// TestKeyedRequestIsNotWrittenAfterItsWindow. The danger: it waits for a connection, and is written
// when the caches have forgotten the attempt before it, which may have run.
func TestKeyedRequestIsNotWrittenAfterItsWindow(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.Do(func() { r.pool.caches["c1"].most = 1 })
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	r.Do(func() {
		now := r.Now()
		r.pool.Start("c1", &Attempt{Request: r.request([]byte("value")), SentAt: now, Deadline: now + long.Microseconds(),
			WriteDeadline: now + 50_000})
	})
	r.want(decide.NotSent) // by its timer: the connection is not free yet
	cmd.Reply(t, served)
	r.want(decide.Served)
	r.Do(func() {
		// The last look sees the window too, where the timer is late.
		u := r.pool.caches["c1"]
		if a := (&Attempt{cache: u, Deadline: r.Now() + 2, WriteDeadline: r.Now()}); u.sendable(a) {
			t.Error("sendable at the end of its window")
		}
	})
}

// TestDeadFleetIsLoggedWithItsCause, and its return.
func TestDeadFleetIsLoggedWithItsCause(t *testing.T) {
	r := newRig(t, routertest.NewCache(t).Addr(), nil)
	end := func(result decide.Result, times int) {
		r.Do(func() {
			for range times {
				r.pool.caches["c1"].seen(result, 0)
			}
			r.pool.Sweep()
		})
	}
	end(decide.ConnectFailed, troubleRow)
	r.lines.Want(t, "c1 serves nothing: refused")
	r.lines.Want(t, "none of 1 caches serves: 1 refused")
	end(decide.NotSent, troubleRow) // tells nothing
	end(decide.TimedOut, troubleRow)
	r.lines.Want(t, "c1 serves nothing: hung")
	end(decide.Served, 1)
	r.lines.Want(t, "c1 serves again")
	r.Do(func() {
		if r.pool.inTrouble != 0 {
			t.Errorf("%d caches in trouble", r.pool.inTrouble)
		}
	})
}

// TestGoneCachesAreForgotten, with the connections to them, whatever name and address comes next.
func TestGoneCachesAreForgotten(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	for i := range 20 {
		name := fmt.Sprint("s", i)
		r.list(name, cache.Addr(), true, false)
		r.sendTo(name, r.request(nil), long)
		cmd := r.command(cache)
		r.list(name, cache.Addr(), false, true) // one is still out as its cache goes
		cmd.Reply(t, served)
		r.want(decide.Served)
	}
	r.Do(func() {
		if len(r.pool.caches) != 1 || len(r.pool.order) != 1 || r.pool.Connections() != 0 || r.pool.Attempts() != 0 {
			t.Errorf("%d caches, %d in order, %d connections, %d attempts are kept", len(r.pool.caches),
				len(r.pool.order), r.pool.Connections(), r.pool.Attempts())
		}
	})
}

// TestClosedPoolOpensNothing. The danger: an attempt that waits is woken by the end of the connections, and
// dials anew after all were closed.
func TestClosedPoolOpensNothing(t *testing.T) {
	cache := routertest.NewCache(t)
	r, _, _ := holding(t, cache)
	r.command(cache)
	r.Do(r.pool.Close)
	r.After(time.Millisecond)
	r.Do(func() {
		if n := r.pool.Connections(); n != 0 {
			t.Errorf("%d connections were opened after the close", n)
		}
	})
}

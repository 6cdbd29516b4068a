package router

import (
	"fmt"
	"log"
	"os"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
)

// until waits until the loop sees something.
func (r *rig) until(what string, seen func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); ; {
		ok := false
		r.do(func() { ok = seen() })
		if ok {
			return
		}
		if time.Now().After(end) {
			r.t.Fatalf("%s: not seen", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// list has the loop learn a list.
func (r *rig) list(index int, full bool, lines ...string) {
	r.t.Helper()
	h, err := parseHosts([]byte(hosts(index, full, lines...)))
	if err != nil {
		r.t.Fatal(err)
	}
	r.do(func() { r.l.learn(h, h.kind()) })
}

// TestLateSecondCopyMeetsNoRequest. The danger: a second copy of an answer, a moment behind the
// first, is served to whoever asks next on that connection.
func TestLateSecondCopyMeetsNoRequest(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(decide.Served)
	first.reply(t, served)
	r.until("the copy", func() bool { u := r.l.upstreams["c1"]; return len(u.idle) == 0 || !u.idle[0].quiet() })
	q := r.request(nil)
	r.send(q, long)
	second := receive(t, cache.commands, "command")
	if second.conn == first.conn {
		t.Error("the connection with the copy was used again")
	}
	second.reply(t, "*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n")
	r.want(decide.Served)
	if got := string(receive(t, q.slot.wire, "answer")); got != "$3\r\nown\r\n" {
		t.Errorf("the client got %q", got)
	}
}

// TestConnectionRests before it is used again, so that a copy right behind an answer has come by then.
func TestConnectionRests(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(decide.Served)
	r.do(func() {
		u := r.l.upstreams["c1"]
		c := u.idle[0]
		if r.l.now = c.idleSince + c.upstream.rest - 1; u.rested() != nil {
			t.Error("it was given out while it rests")
		}
		if r.l.now = c.idleSince + c.upstream.rest; u.rested() != c {
			t.Error("it was not given out after its rest")
		}
		c.close()
	})
}

// TestIdOfAnOpenRequest is turned away, until every attempt of that request is over.
func TestIdOfAnOpenRequest(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	q := r.request(nil)
	r.send(q, long)
	cmd := receive(t, cache.commands, "command")
	again := func() string {
		s := newSlot(newMemory(192))
		r.do(func() { r.l.accept(&client{open: map[int64]*request{}}, s, q.cmd, r.l.now) })
		select {
		case b := <-s.wire:
			return string(b)
		default:
			return "" // taken
		}
	}
	if got := again(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("while it is open: %q", got)
	}
	r.do(func() { r.l.perform(decide.Refuse{ID: q.id}) })
	if got := again(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("while an attempt is out: %q", got)
	}
	cmd.reply(t, served)
	r.want(decide.Served)
	if got := again(); got != "" {
		t.Errorf("after its end: %q", got)
	}
}

// TestSilentClients: a connection on which nothing or half a command comes is not kept.
func TestSilentClients(t *testing.T) {
	r := start(t, testConfig(t, silentDiscovery(t), nil))
	silent, half := dial(t, r.addr), dial(t, r.addr)
	half.send("*4\r\n$5\r\nC.G")
	if got := half.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("half a command: %q", got)
	}
	half.wantClosed()
	silent.wantClosed()
}

// TestClientsThatNeverAskedMakeRoomFirst, so that a crowd of them shuts out nobody.
func TestClientsThatNeverAskedMakeRoomFirst(t *testing.T) {
	srv := &Server{clients: map[*client]struct{}{}, loop: &loop{base: time.Now()}}
	now := srv.loop.clock()
	add := func(age decide.Time, asked bool, due int64) *client {
		c := &client{}
		c.lastUsed.Store(now - age)
		c.asked.Store(asked)
		c.due.Store(due)
		srv.clients[c] = struct{}{}
		return c
	}
	add(1000, false, 0) // its first command may be on its way
	add(50_000_000, true, 1)
	idle := add(5_000_000, true, 0)
	add(4_000_000, true, 0)
	if srv.leastMissed() != idle {
		t.Error("not the one idle for longest")
	}
	silent := add(100_000, false, 0)
	if srv.leastMissed() != silent {
		t.Error("not the one that never asked")
	}
}

// TestFloodOfBadCommands ends with the connection, and others are served meanwhile.
func TestFloodOfBadCommands(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	bad, good := dial(t, r.addr), dial(t, r.addr)
	bad.send(strings.Repeat(words("C.GET", "k", "id", "c=none,d=10"), mostErrors))
	for range mostErrors {
		if got := bad.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("answer %q", got)
		}
	}
	bad.wantClosed()
	good.send(get("r1"))
	receive(t, cache.commands, "command").reply(t, served)
	good.want("value")
}

// TestChurnLeavesNothing: caches come under new ids, at the address of one that has gone, and nothing of
// the old ones or of their requests stays.
func TestChurnLeavesNothing(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	var last *request
	var open fakeCommand
	for i := range 50 {
		name := fmt.Sprint("s", i)
		r.list(2*i+2, false, host(name, cache.addr(), "in_service"))
		q := r.request(nil)
		r.do(func() { r.l.perform(decide.Send{ID: q.id, Cache: name, StopAt: q.deadline}) })
		cmd := receive(t, cache.commands, "command")
		if i == 49 { // one is still out as its cache goes
			last, open = q, cmd
		} else {
			cmd.reply(t, served)
			r.want(decide.Served)
		}
		r.list(2*i+3, false, host(name, cache.addr(), "terminated"))
	}
	r.do(func() {
		if len(r.l.upstreams) != 2 { // c1 and the one with an attempt out
			t.Errorf("%d caches are kept", len(r.l.upstreams))
		}
		r.l.perform(decide.Send{ID: last.id, Cache: "s3", StopAt: last.deadline})
	})
	r.want(decide.NotSent) // a cache that is gone gets nothing, and the module hears of it
	open.reply(t, served)
	r.want(decide.Served)
	r.until("empty maps", func() bool {
		return len(r.l.upstreams) == 1 && len(r.l.requests) == 0 && len(r.l.ids) == 0 && r.l.conns == 0 && len(r.l.timers) <= 2
	})
}

// TestFigures: what codecs let pass in a length.
func TestFigures(t *testing.T) {
	for wire, want := range map[string]int{"$0\r\n": 0, "$12\r\n": 12, "$-1\r\n": -1} {
		if size, next, err := figure([]byte(wire), 0, '$', 99); size != want || next != len(wire) || err != nil {
			t.Errorf("%q: %d, %d, %v", wire, size, next, err)
		}
	}
	for _, wire := range []string{"$\r\n", "$+1\r\n", "$-2\r\n", "$-\r\n", "$-11\r\n", "$01\r\n", "$ 1\r\n", "$1 \r\n", "$1\n", "$1\rx", "$100", "$x", ":1\r\n"} {
		if _, _, err := figure([]byte(wire), 0, '$', 99); err == nil {
			t.Errorf("%q passed", wire)
		}
	}
	for _, wire := range []string{"", "$", "$-", "$-1", "$9", "$9\r"} {
		if _, next, err := figure([]byte(wire), 0, '$', 99); next != 0 || err != nil {
			t.Errorf("%q: %d, %v, want more", wire, next, err)
		}
	}
}

// holding is a rig whose one connection to c1 carries the first of two requests; the second waits
// for it.
func holding(t *testing.T, cache *fakeCache) (r *rig, first, second *request) {
	t.Helper()
	r = newRig(t, cache.addr(), nil)
	r.do(func() { r.l.upstreams["c1"].most = 1 })
	first, second = r.request(nil), r.request(nil)
	r.send(first, long)
	r.send(second, long)
	return r, first, second
}

// TestEndOfAConnectionWakesWhatWaitsForIt. The danger: attempts wait for a connection that has been
// closed, and stall until their dial time-out.
func TestEndOfAConnectionWakesWhatWaitsForIt(t *testing.T) {
	wantSecond := func(cache *fakeCache, r *rig) {
		t.Helper()
		cmd := receive(t, cache.commands, "command on a new connection")
		if cmd.args[2] != "r2" {
			t.Errorf("got %q", cmd.args)
		}
		cmd.reply(t, served)
		r.want(decide.Served)
	}
	t.Run("after an unclean answer", func(t *testing.T) {
		cache := newFakeCache(t)
		r, _, _ := holding(t, cache)
		receive(t, cache.commands, "command").reply(t, served+"noise")
		r.want(decide.Served)
		wantSecond(cache, r)
	})
	t.Run("after an attempt was given up", func(t *testing.T) {
		cache := newFakeCache(t)
		r, first, _ := holding(t, cache)
		receive(t, cache.commands, "command")
		r.do(func() { r.l.perform(decide.Cancel{ID: first.id}) })
		r.want(decide.Cancelled)
		wantSecond(cache, r)
	})
	t.Run("after the address has changed", func(t *testing.T) {
		cache, next := newFakeCache(t), newFakeCache(t)
		r, _, _ := holding(t, cache)
		cmd := receive(t, cache.commands, "command")
		r.list(2, false, host("c1", next.addr(), "in_service"))
		cmd.reply(t, served)
		r.want(decide.Served)
		wantSecond(next, r)
	})
}

// TestKeyedRequestIsNotWrittenAfterItsWindow. The danger: it waits for a connection, and is written
// when the caches have forgotten the attempt before it, which may have run.
func TestKeyedRequestIsNotWrittenAfterItsWindow(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() { r.l.upstreams["c1"].most = 1 })
	r.send(r.request(nil), long)
	cmd := receive(t, cache.commands, "command")
	q := r.request([]byte("value"))
	r.do(func() {
		r.l.perform(decide.Send{ID: q.id, Cache: "c1", StopAt: q.deadline, WriteBy: r.l.now + 50_000})
	})
	r.want(decide.NotSent) // by its timer: the connection is not free yet
	cmd.reply(t, served)
	r.want(decide.Served)
	r.do(func() {
		// The last look sees the window too, where the timer is late.
		u := r.l.upstreams["c1"]
		if a := (&attempt{upstream: u, stopAt: r.l.now + 2, writeBy: r.l.now}); u.sendable(a) {
			t.Error("sendable at the end of its window")
		}
	})
}

// TestTimeIsCutAtWhatTheClassAllows, its own and no other's.
func TestTimeIsCutAtWhatTheClassAllows(t *testing.T) {
	classes := []decide.Class{{Name: "short", Effect: decide.Safe, Limit: 1_200_000}, {Name: "long", Effect: decide.Safe, Limit: 3_000_000}}
	for class, want := range map[string]decide.Time{"short": 1_200_000, "long": 3_000_000} {
		cmd, err := parseCommand([][]byte{[]byte("C.GET"), []byte("k"), []byte("i"), []byte("c=" + class + ",d=9000")}, 50, classes)
		if err != nil || cmd.wait != want {
			t.Errorf("%s waits %d, %v", class, cmd.wait, err)
		}
	}
}

// TestKeyedWriteWithoutItsKey is turned away: no cache could drop its repeat.
func TestKeyedWriteWithoutItsKey(t *testing.T) {
	r := start(t, testConfig(t, silentDiscovery(t), nil))
	c := dial(t, r.addr)
	for _, meta := range []string{"c=put,d=100", "c=put,d=100,k="} {
		c.send(words("C.SET", "k1", "id", meta, "value"))
		if got := c.line(); !strings.HasPrefix(got, "-ERR k is needed") {
			t.Errorf("%s: %q", meta, got)
		}
	}
}

// TestHTTPIsClosed. The danger: a page in a browser posts to the router's address; line by line its
// header is skipped as bad commands, and the command in its body is carried out.
func TestHTTPIsClosed(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	for _, head := range []string{"POST / HTTP/1.1\r\n", "GET / HTTP/1.1\r\n", "Host: here\r\n", "post /\r\n"} {
		c := dial(t, r.addr)
		c.send(head + "\r\n" + get("r1"))
		if got := c.line(); !strings.HasPrefix(got, "-ERR Protocol error") {
			t.Errorf("%q: %q", head, got)
		}
		c.wantClosed()
	}
	select {
	case cmd := <-cache.commands:
		t.Errorf("carried out: %q", cmd.args)
	default:
	}
}

// TestLineIsReadOneWayWholeAndSplit, wherever it is split.
func TestLineIsReadOneWayWholeAndSplit(t *testing.T) {
	for _, wire := range []string{"PING\r\n", "PING\n", "PING\r\r\n", "PI\rNG\r\n", "PING \r\n", "\r\n", "\r\r\n"} {
		_, _, whole := nextCommand([]byte(wire))
		for i := 1; i < len(wire); i++ {
			_, used, err := nextCommand([]byte(wire[:i]))
			if used == 0 && err == nil {
				_, _, err = nextCommand([]byte(wire))
			}
			if (err == nil) != (whole == nil) {
				t.Errorf("%q split at %d: %v; whole: %v", wire, i, err, whole)
			}
		}
	}
	if _, _, err := nextCommand([]byte("PING\r\r\n")); err == nil {
		t.Error("two carriage returns were taken for the end of a line")
	}
}

// stuck is a log that nobody reads.
type stuck struct{ over chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.over
	return len(b), nil
}

// TestDrainEndsThoughNobodyReadsTheLog.
func TestDrainEndsThoughNobodyReadsTheLog(t *testing.T) {
	s := stuck{make(chan struct{})}
	log.SetOutput(s)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	t.Cleanup(func() { close(s.over) })
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.arrivals = 0
	r := startServer(t, srv)
	dial(t, r.addr).nc.Close()
	r.stop()
	if err := receive(t, r.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

package router

import (
	"fmt"
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
		if r.l.now = c.idleSince + restTime - 1; u.rested() != nil {
			t.Error("it was given out while it rests")
		}
		if r.l.now = c.idleSince + restTime; u.rested() != c {
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

package router

import (
	"fmt"
	"log"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingwinch/decide"
)

func TestServed(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(words("PING"))
	c.want("+PONG")
	c.send(get("r1"))
	cmd := receive(t, cache.commands, "command")
	if cmd.args[0] != "C.GET" || cmd.args[1] != "k1" || cmd.args[2] != "r1" {
		t.Errorf("the cache was sent %q", cmd.args)
	}
	cmd.reply(t, served)
	c.want("value")
}

// TestAnswersInCommandOrder: a quick answer waits for those before it on its connection, and
// only there.
func TestAnswersInCommandOrder(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(get("r1") + get("r2") + words("PING"))
	first, second := receive(t, cache.commands, "command"), receive(t, cache.commands, "command")
	if first.args[2] != "r1" {
		first, second = second, first
	}
	second.reply(t, "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n")
	other := dial(t, r.addr)
	other.send(get("r3"))
	receive(t, cache.commands, "command").reply(t, served)
	other.want("value")
	first.reply(t, "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n")
	c.want("one")
	c.want("two")
	c.want("+PONG")
}

// TestManyPipelinedCommandsAreTakenAtOnce. The danger: a command left unread behind others that
// are slow is taken long after its client began to wait, and is answered too late.
func TestManyPipelinedCommandsAreTakenAtOnce(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.module = &script{} // answers nothing
	r := startServer(t, srv)
	c := dial(t, r.addr)
	for i := range pipelined / 2 {
		c.send(get(fmt.Sprint("r", i)))
	}
	for taken := 0; taken < pipelined/2; {
		turn := make(chan int, 1)
		r.srv.loop.post(func() { turn <- r.srv.loop.open })
		taken = receive(t, turn, "turn of the loop")
	}
}

// TestClientGone: nobody waits for the answer any more, so the attempt is stopped.
func TestClientGone(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(get("r1"))
	receive(t, cache.commands, "command")
	c.nc.Close()
	receive(t, cache.ended, "end of the attempt's connection")
}

// TestSlowReaderHoldsUpNobody: one client reads nothing of many large answers.
func TestSlowReaderHoldsUpNobody(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["memory_mb"] = 4
	}, host("c1", cache.addr(), "in_service")))
	over := make(chan struct{})
	defer close(over)
	large := "*3\r\n$65536\r\n" + strings.Repeat("v", mostValue) + "\r\n$-1\r\n$-1\r\n"
	var large64 atomic.Int64
	go func() {
		for {
			select {
			case cmd := <-cache.commands:
				if strings.HasPrefix(cmd.args[2], "slow") {
					large64.Add(1)
					cmd.conn.Write([]byte(large))
				} else {
					cmd.conn.Write([]byte(served))
				}
			case <-over:
				return
			}
		}
	}()
	slow := dial(t, r.addr)
	slow.nc.SetReadBuffer(4096)
	for i := range 64 {
		slow.send(get(fmt.Sprint("slow", i)))
	}
	other := dial(t, r.addr)
	for range 50 {
		other.send(get("quick"))
		if got := other.line(); got != "value" && !strings.HasPrefix(got, "-") {
			t.Fatalf("answer %q", got)
		}
	}
	if large64.Load() == 0 {
		t.Error("the slow reader was not served at all")
	}
}

func TestPingBeforeAnyCacheIsKnown(t *testing.T) {
	r := start(t, testConfig(t, silentDiscovery(t), nil))
	c := dial(t, r.addr)
	c.send(words("PING"))
	if got := c.line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("answer %q", got)
	}
	c.send(get("r1")) // no cache: the module refuses
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
}

// TestMalformedCommands: what is wrong is answered and never sent on; where the bytes can't be
// told apart any more, the connection ends.
func TestMalformedCommands(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	for _, c := range []struct {
		wire string
		ends bool
	}{
		{words("FLUSHALL"), false},
		{words("C.GET"), false},
		{words("C.GET", "k", "id"), false},
		{words("C.GET", "k", "id", "c=read"), false},
		{words("C.GET", "k", "id", "d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=x"), false},
		{words("C.GET", "k", "id", "c=read,d=-1"), false},
		{words("C.GET", "k", "id", "c=read,d=1,d=2"), false},
		{words("C.GET", "", "id", "c=read,d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=10", "value"), false},
		{words("C.SET", "k", "id", "c=put,d=10"), false},
		{words("C.GET", "k", "id", "c=none,d=10"), false},
		{words("C.GET", "k", "id", "c=put,d=10"), false},
		{words("C.SET", "k", "id", "c=read,d=10", "value"), false},
		{words("C.GET", "k", "id", "c=read,c=read,d=10"), false},
		{words("C.GET", "k", "id", "c=read,d=+10"), false},
		{words("C.GET", "k", "", "c=read,d=10"), false},
		{"C.GET k id c=read,d=10\r\n", false},
		{words("C.GET", strings.Repeat("k", mostWord+1), "id", "c=read,d=10"), true},
		{"*+1\r\n$4\r\nPING\r\n", true},
		{"*-1\r\n", true},
		{"* 1\r\n", true},
		{"*1\r\n$04\r\nPING\r\n", true},
		{"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=put,d=9\r\n$60000000\r\n", true},
		{strings.Repeat("x", mostWord+1), true},
		{"\x00\xff\x01", true},
		{"FLUSHALL\r\n", false},
		{"*1\r\n$-2\r\n", true},
		{"*1\r\n$9223372036854775807\r\n", true},
		{"*x\r\n", true},
		{"*1\r\n!3\r\n", true},
		{"$4 PING\r\n", true},
		{"*2\r\n$5\r\nC.GETXX", true},
		{"*5\r\n$5\r\nC.SET\r\n$70000\r\n" + strings.Repeat("x", 2*mostCommand), true},
	} {
		cl := dial(t, r.addr)
		cl.send(c.wire)
		if got := cl.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: answer %q", c.wire, got)
		}
		if c.ends {
			cl.wantClosed()
		} else {
			cl.send(words("PING"))
			cl.want("+PONG")
		}
	}
	select {
	case cmd := <-cache.commands:
		t.Errorf("the cache was sent %q", cmd.args)
	default:
	}
}

func TestBusyRoundsUp(t *testing.T) {
	for wait, want := range map[decide.Time]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 1000: "-BUSY 1\r\n", 1001: "-BUSY 2\r\n", 600_000: "-BUSY 600\r\n"} {
		if got := string(appendBusy(nil, wait)); got != want {
			t.Errorf("%d: %q, want %q", wait, got, want)
		}
	}
}

// TestMostOpen: what is over the settings' bound is refused before it reaches the module.
func TestMostOpen(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["settings"].(map[string]any)["limits"].(map[string]any)["maxOpen"] = 1
	}, host("c1", cache.addr(), "in_service")))
	c := dial(t, r.addr)
	c.send(get("r1"))
	cmd := receive(t, cache.commands, "command")
	other := dial(t, r.addr)
	other.send(get("r2"))
	other.want("-BUSY")
	cmd.reply(t, served)
	c.want("value")
}

// TestDrainWithWorkInHand: after SIGTERM, connections and requests are still taken, all that was
// taken is answered, and then the router ends.
func TestDrainWithWorkInHand(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	srv.arrivals = 5 * time.Second // a slow machine must not miss it
	r := startServer(t, srv)
	idle, busy := dial(t, r.addr), dial(t, r.addr)
	idle.send(words("PING"))
	idle.want("+PONG")
	busy.send(get("r1"))
	first := receive(t, cache.commands, "command")
	r.stop()
	late := dial(t, r.addr)
	late.send(get("r2"))
	second := receive(t, cache.commands, "command")
	idle.wantClosed()
	first.reply(t, served)
	second.reply(t, served)
	busy.want("value")
	busy.wantClosed()
	late.want("value")
	late.wantClosed()
	if err := receive(t, r.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestDrainEndsInTime: what can't be answered holds the router up no longer than the longest
// deadline allows, and so does a command that never becomes whole.
func TestDrainEndsInTime(t *testing.T) {
	srv, err := New(testConfig(t, silentDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	srv.loop.module = &script{} // answers nothing
	srv.loop.longest = 1000
	r := startServer(t, srv)
	stuck, half := dial(t, r.addr), dial(t, r.addr)
	stuck.send(words("PING") + get("r1"))
	stuck.line() // not ready: no cache is known
	half.send(words("PING") + "*4\r\n$5\r\nC.G")
	half.line()
	r.stop()
	if err := receive(t, r.ended, "end of the router"); err != nil {
		t.Error(err)
	}
}

// TestIdleClientsMakeRoom: clients that hold connections without using them don't shut out others.
func TestIdleClientsMakeRoom(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"].(map[string]any)["sockets"] = leastSockets
	}, host("c1", cache.addr(), "in_service")))
	busy := dial(t, r.addr)
	busy.send(get("r1"))
	cmd := receive(t, cache.commands, "command")
	var all []*testClient
	for range 4 * int(r.srv.sockets.mostClients) {
		c := dial(t, r.addr)
		c.send(words("PING"))
		c.want("+PONG")
		all = append(all, c)
	}
	all[0].wantClosed()
	cmd.reply(t, served) // one with work in hand is left alone
	busy.want("value")
}

// exhausted is a listener that has no descriptors for a while.
type exhausted struct {
	net.Listener
	left atomic.Int64
}

func (e *exhausted) Accept() (net.Conn, error) {
	if e.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

// TestOutOfDescriptors: EMFILE does not end the accept loop.
func TestOutOfDescriptors(t *testing.T) {
	cache := newFakeCache(t)
	srv, err := New(testConfig(t, silentDiscovery(t), nil, host("c1", cache.addr(), "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	ln := &exhausted{Listener: srv.ln}
	ln.left.Store(3)
	srv.ln = ln
	r := startServer(t, srv)
	c := dial(t, r.addr)
	c.send(words("PING"))
	c.want("+PONG")
	if left := ln.left.Load(); left > 0 {
		t.Errorf("%d failures to come", left)
	}
}

// TestUpstreamDescriptors: where the caches' descriptors are used up, an attempt waits for one,
// and an idle connection to another cache makes room.
func TestUpstreamDescriptors(t *testing.T) {
	cache, other := newFakeCache(t), newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.do(func() {
		r.l.sockets.mostUpstreams = 1
		h, err := parseHosts([]byte(hosts(2, false, host("c2", other.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.l.learn(h, h.kind())
	})
	r.send(r.request(nil), long)
	cmd := receive(t, cache.commands, "command")
	q := r.request(nil)
	r.do(func() { r.l.perform(decide.Send{ID: q.id, Cache: "c2", StopAt: q.deadline}) })
	r.do(func() {
		if r.l.conns != 1 || !r.l.starved {
			t.Errorf("%d connections, starved %v", r.l.conns, r.l.starved)
		}
	})
	cmd.conn.Close()
	r.want(decide.ConnLost)
	receive(t, other.commands, "command").reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long) // the other cache's connection is idle now
	receive(t, cache.commands, "command").reply(t, served)
	r.want(decide.Served)
	receive(t, other.ended, "end of the idle connection")
}

// stuckWriter takes nothing until it is released.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// TestLogThatNobodyReads does not hold the loop up.
func TestLogThatNobodyReads(t *testing.T) {
	r := newRig(t, "127.0.0.1:1", nil)
	stuck := stuckWriter{make(chan struct{})}
	defer log.SetOutput(log.Writer())
	defer close(stuck.release)
	log.SetOutput(stuck)
	r.do(func() {
		for range 4 * logBacklog {
			r.l.perform(decide.Log{Text: "line"})
		}
	})
}

package router

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingwinch/decide"
)

const long = 20 * time.Second

// TestAnswersAndTheirOutcomes holds the rows of the protocol's table in which an answer comes.
func TestAnswersAndTheirOutcomes(t *testing.T) {
	for _, c := range []struct {
		wire   string
		result decide.Result
		miss   bool
	}{
		{served, decide.Served, false},
		{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$-1\r\n", decide.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$7\r\npending\r\n$22\r\ninflight=7,util=0.61,x\r\n", decide.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", decide.Served, false},
		{"-ERR failed\r\n", decide.Errored, false},
		{"-BUSY\r\n", decide.Rejected, false},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\n\x00=\xff,util=\r\n", decide.Served, false}, // an unreadable report harms nothing
	} {
		cache := newFakeCache(t)
		r := newRig(t, cache.addr(), nil)
		q := r.request(nil)
		r.send(q, long)
		cmd := receive(t, cache.commands, "command")
		cmd.reply(t, c.wire)
		o := r.want(c.result)
		if o.Miss != c.miss || o.Last != (c.result == decide.Served) {
			t.Errorf("%q: miss %v, last %v", c.wire, o.Miss, o.Last)
		}
		if c.result == decide.Served {
			if got := string(receive(t, q.slot.wire, "answer")); got != "$5\r\nvalue\r\n" {
				t.Errorf("%q: the client got %q", c.wire, got)
			}
		}
	}
}

func TestLoadReport(t *testing.T) {
	l := parseLoad("inflight=7,util=0.61,eps=2,queue=NaN")
	if l.Busy != 0.61 || l.Errors != 2 {
		t.Errorf("load %+v", l)
	}
	if l := parseLoad("util=-1"); l.Busy != -1 {
		t.Errorf("a bad figure gave %+v", l)
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r := newRig(t, addr, nil)
	r.send(r.request(nil), long)
	r.want(decide.NoConnection)
}

// unreachable is an address at which connections never come up: its queue is full.
func unreachable(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 20 {
		nc, err := net.DialTimeout("tcp", addr, time.Second)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return addr
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
	}
	t.Fatal("the queue does not fill")
	return ""
}

func TestConnectionThatNeverComesUpNeverRan(t *testing.T) {
	r := newRig(t, unreachable(t), func(c *Config) { c.Transport.DialTimeout = 50_000 })
	r.send(r.request(nil), long)
	r.want(decide.NoConnection)
}

// TestDrainAgainstPendingDial: what waits for a connection is not sent once the drain is known.
func TestDrainAgainstPendingDial(t *testing.T) {
	addr := unreachable(t)
	r := newRig(t, addr, nil)
	r.send(r.request(nil), long)
	r.do(func() {
		h, err := parseHosts([]byte(hosts(2, false, host("c1", addr, "terminating"))))
		if err != nil {
			t.Error(err)
		}
		r.l.learn(h, h.kind())
	})
	r.want(decide.NotSent)
}

// busyPool makes a rig whose connections to the cache are all in use.
func busyPool(t *testing.T) (*rig, *fakeCache, []fakeCommand) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
	var busy []fakeCommand
	for range leastConns {
		r.send(r.request(nil), long)
		busy = append(busy, receive(t, cache.commands, "command"))
	}
	return r, cache, busy
}

// freed ends what holds the connections and has one more request served: had anything else
// been sent on before it, the cache would have it by then.
func freed(t *testing.T, r *rig, cache *fakeCache, busy []fakeCommand) {
	t.Helper()
	for _, cmd := range busy {
		cmd.reply(t, served)
		r.want(decide.Served)
	}
	args := [][]byte{[]byte("C.GET"), []byte("k1"), []byte("last"), []byte("c=read,d=20000")}
	cmd, err := parseCommand(args, 100, r.l.cfg.Settings.Classes)
	if err != nil {
		t.Fatal(err)
	}
	r.send(r.take(cmd), long)
	if got := receive(t, cache.commands, "command"); got.args[2] != "last" {
		t.Errorf("the cache was sent %q", got.args)
	}
}

// TestWaitingAttemptIsNotSentWhenItsRequestIsOver holds the last look before the first byte.
func TestWaitingAttemptIsNotSentWhenItsRequestIsOver(t *testing.T) {
	for name, end := range map[string]func(*rig, *request){
		"refused":   func(r *rig, q *request) { r.l.perform(decide.Refuse{ID: q.id}) },
		"failed":    func(r *rig, q *request) { r.l.perform(decide.Fail{ID: q.id}) },
		"cancelled": func(r *rig, q *request) { r.l.perform(decide.Cancel{ID: q.id, Attempt: 0}) },
		"departed":  func(r *rig, q *request) { r.l.depart(q.client) },
	} {
		t.Run(name, func(t *testing.T) {
			r, cache, busy := busyPool(t)
			q := r.request(nil)
			r.send(q, long)
			r.do(func() { end(r, q) })
			r.want(decide.NotSent)
			freed(t, r, cache, busy)
		})
	}
}

func TestWaitingAttemptIsNotSentAfterItsTime(t *testing.T) {
	r, cache, busy := busyPool(t)
	r.send(r.request(nil), time.Millisecond)
	if o := receive(t, r.outcomes, "outcome"); !o.Result.NeverRan() {
		t.Errorf("outcome %d", o.Result)
	}
	freed(t, r, cache, busy)
}

func TestFullPoolCountsAsNoConnection(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Settings.Routers = 1000 })
	for range leastConns {
		r.send(r.request(nil), long)
		receive(t, cache.commands, "command")
	}
	r.do(func() { r.l.cfg.Transport.DialTimeout = 1000 })
	r.send(r.request(nil), long)
	r.want(decide.NoConnection)
}

// TestBurstDoesNotDialForEach: connections stay under the bound, and all is served in turn.
func TestBurstDoesNotDialForEach(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Settings.Routers = 12 })
	const burst = 100
	for range burst {
		r.send(r.request(nil), long)
	}
	conns := map[net.Conn]bool{}
	for range burst {
		cmd := receive(t, cache.commands, "command")
		conns[cmd.conn] = true
		cmd.reply(t, served)
		r.want(decide.Served)
	}
	if most := fleetConns / 12; len(conns) > most {
		t.Errorf("%d connections for %d requests, want %d at most", len(conns), burst, most)
	}
}

func TestBreakAfterTheLastByteMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").conn.Close()
	r.want(decide.ConnLost)
}

func TestBreakOnAReusedConnectionMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	first := receive(t, cache.commands, "command")
	first.reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	second := receive(t, cache.commands, "command")
	if second.conn != first.conn {
		t.Error("the idle connection was not used again")
	}
	second.conn.Close()
	r.want(decide.ConnLost)
}

// deafCache takes connections and reads nothing.
func deafCache(t *testing.T) (addr string, conns chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = make(chan net.Conn, 10)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			conns <- nc
		}
	}()
	return ln.Addr().String(), conns
}

// huge makes a request that no socket takes at once.
func huge(r *rig) *request {
	q := r.request([]byte("v"))
	r.do(func() { q.cmd.args[metaArg+1] = bytes.Repeat([]byte("v"), 64<<20) })
	return q
}

func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := deafCache(t)
	r := newRig(t, addr, nil)
	r.send(huge(r), long)
	nc := receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	nc.Close() // with bytes unread: a reset
	r.want(decide.NoConnection)
}

func TestGivingUpBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := deafCache(t)
	r := newRig(t, addr, nil)
	q := huge(r)
	r.send(q, long)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil { // it has begun
		t.Fatal(err)
	}
	r.do(func() { r.l.perform(decide.Cancel{ID: q.id, Attempt: 0}) })
	r.want(decide.NotSent)
}

func TestNoAnswerInTimeMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), 3*time.Second)
	receive(t, cache.commands, "command")
	r.want(decide.NoAnswer)
	receive(t, cache.ended, "end of the connection")
}

func TestCancelClosesTheConnectionAndMayHaveRun(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	q := r.request(nil)
	r.send(q, long)
	receive(t, cache.commands, "command")
	r.do(func() { r.l.perform(decide.Cancel{ID: q.id, Attempt: 0}) })
	r.want(decide.Cancelled)
	receive(t, cache.ended, "end of the connection")
}

// TestMalformedAnswers: a cache gone mad neither ends the router nor keeps it waiting.
func TestMalformedAnswers(t *testing.T) {
	for _, wire := range []string{"+noise\r\n", "+PONG\r\n", "-SYNTAX\r\n", "-ERR no end\n", ":5\r\n", "$5\r\nvalue\r\n", "*2\r\n$5\r\nvalue\r\n$-1\r\n",
		"*4\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n+value\r\n", "*3\r\n$3000000000\r\nvvvv",
		"*3\r\n$+5\r\nvalue\r\n$-1\r\n$-1\r\n", "*3\r\n$5\r\nvalue\r\n:1\r\n$-1\r\n", "garbage\r\n", "$-5\r\n", "$9223372036854775807\r\n", "*9223372036854775807\r\n",
		"*3\r\n$5\r\nvalueXX$3\r\nhit\r\n", "*1\r\n$x\r\n", "*-7\r\n", "$3\r\nabcdef\r\n",
		"+" + strings.Repeat("x", 4*mostLine), "*2\r\n$1\r\na\r\n!\r\n", served + "trailing"} {
		cache := newFakeCache(t)
		r := newRig(t, cache.addr(), nil)
		r.send(r.request(nil), long)
		receive(t, cache.commands, "command").reply(t, wire)
		if strings.HasPrefix(wire, served) {
			r.want(decide.Served)
			receive(t, cache.ended, "end of the connection that is out of step")
		} else {
			r.want(decide.ConnLost) // it has run
			receive(t, cache.ended, "end of the connection")
		}
	}
}

func TestAnswerInPieces(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	value := strings.Repeat("v", mostValue)
	q := r.request(nil)
	r.send(q, long)
	cmd := receive(t, cache.commands, "command")
	for _, part := range []string{"*", "3\r", "\n$6553", "6\r\n" + value[:1000], value[1000:], "\r", "\n$3\r\nhit", "\r\n$-1\r\n"} {
		cmd.reply(t, part)
	}
	r.want(decide.Served)
	if got := receive(t, q.slot.wire, "answer"); string(got) != "$65536\r\n"+value+"\r\n" {
		t.Errorf("the client got %d bytes", len(got))
	}
}

func TestIdleConnectionsAreClosedOnRequest(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(decide.Served)
	r.do(func() { r.l.perform(decide.CloseIdle{Cache: "c1"}) })
	receive(t, cache.ended, "end of the idle connection")
}

func TestIdleConnectionsAreClosedBeforeTheCacheDoes(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), func(c *Config) { c.Transport.Keepalive = 1000 })
	r.send(r.request(nil), long)
	receive(t, cache.commands, "command").reply(t, served)
	r.want(decide.Served)
	receive(t, cache.ended, "end of the idle connection")
}

// TestWhatGoesOn: everything but d goes on as it came.
func TestWhatGoesOn(t *testing.T) {
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	cmd, err := parseCommand([][]byte{[]byte("C.SET"), []byte("key"), []byte("id"),
		[]byte("c=put,t=acme,d=20000,k=5c0f,size=12"), []byte("\x00\r\nVALUE")}, 100, r.l.cfg.Settings.Classes)
	if err != nil {
		t.Fatal(err)
	}
	r.send(r.take(cmd), 10*time.Second)
	got := receive(t, cache.commands, "command").args
	if got[0] != "C.SET" || got[1] != "key" || got[2] != "id" || got[4] != "\x00\r\nVALUE" {
		t.Errorf("the cache was sent %q", got)
	}
	meta := strings.Split(got[3], ",")
	d, err := strconv.Atoi(strings.TrimPrefix(meta[2], "d="))
	meta[2] = "d"
	if strings.Join(meta, ",") != "c=put,t=acme,d,k=5c0f,size=12" || err != nil || d < 1 || d > 10_000 {
		t.Errorf("names and values %q", got[3])
	}
}

// TestFinalAnswerStopsAHalfWrittenAttempt: no more of it goes out, and it never ran.
func TestFinalAnswerStopsAHalfWrittenAttempt(t *testing.T) {
	addr, conns := deafCache(t)
	r := newRig(t, addr, nil)
	q := huge(r)
	r.send(q, long)
	if _, err := receive(t, conns, "connection").Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	r.do(func() { r.l.perform(decide.Refuse{ID: q.id}) })
	r.want(decide.NotSent)
	if got := string(receive(t, q.slot.wire, "answer")); got != busyReply {
		t.Errorf("the client got %q", got)
	}
}

// TestCacheThatMoves: connections to its old address are not used for new work.
func TestCacheThatMoves(t *testing.T) {
	old, moved := newFakeCache(t), newFakeCache(t)
	r := newRig(t, old.addr(), nil)
	r.send(r.request(nil), long)
	cmd := receive(t, old.commands, "command")
	r.do(func() {
		h, err := parseHosts([]byte(hosts(2, false, host("c1", moved.addr(), "in_service"))))
		if err != nil {
			t.Error(err)
		}
		r.l.learn(h, h.kind())
	})
	cmd.reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	receive(t, moved.commands, "command").reply(t, served)
	r.want(decide.Served)
}

// TestClaimedPatienceIsBounded by what the settings say of any client.
func TestClaimedPatienceIsBounded(t *testing.T) {
	r := newRig(t, "127.0.0.1:1", nil)
	cmd, err := parseCommand([][]byte{[]byte("C.GET"), []byte("k"), []byte("id"), []byte("c=read,d=2000000000")}, 60, r.l.cfg.Settings.Classes)
	if err != nil {
		t.Fatal(err)
	}
	q := r.take(cmd)
	r.do(func() {
		if q.deadline > r.l.now+20_000_000 {
			t.Errorf("deadline %d at %d", q.deadline, r.l.now)
		}
	})
}

package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

func TestPingReportsWhetherCachesServe(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	r.Do(func() { r.starting = true })
	c.Send(words("PING"))
	if got := c.Line(); !strings.HasPrefix(got, "-LOADING") {
		t.Errorf("answer %q", got)
	}
	r.Do(func() { r.starting = false })
	c.Send("PING\r\n" + words("ping", "echo") + words("QUIT"))
	c.Want("+PONG")
	c.Want("echo")
	c.Want("+OK")
	c.WantClosed()
	r.waitUntilEmpty()
}

// TestRepliesKeepCommandOrder checks the order of replies where they are given in another one, with the server's own among
// them.
func TestRepliesKeepCommandOrder(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("r0") + words("PING") + get("r1") + words("NOTHING") + get("r2"))
	requests := []receivedRequest{r.nextRequest(), r.nextRequest(), r.nextRequest()}
	for _, i := range []int{2, 0, 1} {
		r.answer(requests[i], "+"+requests[i].cmd.ID()+"\r\n")
	}
	for _, want := range []string{"+r0", "+PONG", "+r1", "-ERR unknown command", "+r2"} {
		c.Want(want)
	}
	r.Do(func() {
		if n := r.server.BufferedBytes(); n != 0 {
			t.Errorf("%d bytes stay reserved after all was answered", n)
		}
	})
}

// TestSplitCommandsAreExecutedOnce checks commands that arrive byte by byte.
func TestSplitCommandsAreExecutedOnce(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	wire := get("r0") + "\r\n" + words("C.SET", "k", "r1", "c=put,d=9,k=5", "v\r\nv") + get("r2")
	for i := range len(wire) {
		c.Send(wire[i : i+1])
	}
	for i := range 3 {
		a := r.nextRequest()
		if a.cmd.ID() != fmt.Sprint("r", i) || a.cmd.Write != (i == 1) {
			t.Errorf("request %d is %+v", i, a.cmd)
		}
		r.answer(a, value)
		c.Want("value")
	}
	r.wantNoRequest()
}

// TestClientsGoneReportsUnansweredRequestsOnce checks that the handler is called once for each request without a reply, and for
// no other.
func TestClientsGoneReportsUnansweredRequestsOnce(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("r0") + get("r1") + get("r2"))
	requests := []receivedRequest{r.nextRequest(), r.nextRequest(), r.nextRequest()}
	r.answer(requests[1], value)
	c.Close()
	for _, want := range []int{0, 2} {
		if s := routertest.Receive(t, r.gone, "client that has gone"); s != requests[want].ReplySlot {
			t.Errorf("the client of another request than %d is reported as gone", want)
		}
	}
	r.waitUntilEmpty()
	r.answer(requests[0], value) // the handler may still answer
	r.Do(func() {
		if n := r.server.BufferedBytes(); n != 0 || len(r.gone) > 0 {
			t.Errorf("%d bytes stay reserved, %d more clients are reported as gone", n, len(r.gone))
		}
	})
}

// TestBrokenConnectionExecutesNoFurtherCommands checks that commands behind one whose reply finds the connection broken are not
// executed without being reported as gone, and that their bytes do not stay reserved.
func TestBrokenConnectionExecutesNoFurtherCommands(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(words("PING"))
	c.Want("+PONG")
	r.Do(func() { // both arrive before the loop reads
		c.Send(words("PING") + get("r1"))
		c.SetLinger(0)
		c.Close()
	})
	r.waitUntilEmpty()
	for range len(r.requests) {
		a := r.nextRequest()
		if s := routertest.Receive(t, r.gone, "client that has gone"); s != a.ReplySlot {
			t.Error("the client of another request is reported as gone")
		}
	}
}

// TestPipelineLimitPausesReading checks that nothing is read past the limit until replies leave, and that all is read then.
func TestPipelineLimitPausesReading(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.Limits.MaxPipelined = 4 })
	c := r.dial()
	const all = 40
	half := len(get("r0")) / 2
	wire := ""
	for i := range all {
		wire += get(fmt.Sprint("r", i))
	}
	c.Send(wire[:half]) // half a command, then more than the bound
	r.Until("half a command", func() bool { return r.server.lists[statePartialCommand].first != nil })
	c.Send(wire[half:])
	for i := range all {
		a := r.nextRequest()
		if a.cmd.ID() != fmt.Sprint("r", i) {
			t.Fatalf("request %s, want r%d", a.cmd.ID(), i)
		}
		r.Do(func() {
			if n := len(a.connection.pendingReplies); n > 4 {
				t.Errorf("%d answers are due", n)
			}
		})
		r.answer(a, value)
		c.Want("value")
	}
	r.wantNoRequest()
}

// TestPipelineLimitSuspendsTimeLimits checks that a client at the limit is not closed as one that stops in the middle of a
// command or is idle.
func TestPipelineLimitSuspendsTimeLimits(t *testing.T) {
	for name, first := range map[string]int{"from its first command on": 0, "behind half a command": 10} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, func(o *Options) {
				o.Limits.MaxPipelined = 2
				o.Limits.CommandTime = shortTimeout
				o.Limits.IdleTime = shortTimeout
				o.Limits.CrowdedIdleTime = shortTimeout
			})
			c := r.dial()
			wire := get("r0") + get("r1") + get("r2")
			r.Do(func() {
				if c.Send(wire[:first]); first == 0 {
					c.Send(wire)
				}
			})
			if first > 0 {
				r.Until("half a command", func() bool { return r.server.lists[statePartialCommand].first != nil })
				c.Send(wire[first:])
			}
			requests := []receivedRequest{r.nextRequest(), r.nextRequest()}
			r.After(3 * shortTimeout)
			for _, a := range requests {
				r.answer(a, value)
				c.Want("value")
			}
			r.answer(r.nextRequest(), value)
			c.Want("value")
		})
	}
}

// TestCommandsPerTurnAreBounded checks that a client that sends many commands at once leaves others their turn.
func TestCommandsPerTurnAreBounded(t *testing.T) {
	r := newTestServer(t, nil)
	many, one := r.dial(), r.dial()
	many.Send(words("PING"))
	many.Want("+PONG")
	one.Send(words("PING"))
	one.Want("+PONG")
	wire := ""
	for i := range 8 * maxCommandsPerTurn {
		wire += get(fmt.Sprint("many", i))
	}
	r.Do(func() { // both have arrived before the loop reads
		many.Send(wire)
		one.Send(get("one"))
	})
	for before := 0; ; before++ {
		if a := r.nextRequest(); a.cmd.ID() == "one" {
			if before > maxCommandsPerTurn {
				t.Errorf("%d commands of another client came first", before)
			}
			return
		}
	}
}

// large is a reply of the maximum size.
var large = "$65536\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n"

// fillUp has a client request more than the sockets take without its reading, and returns the number of replies.
func fillUp(r *testServer, c *routertest.Client) int {
	r.t.Helper()
	const all = 200
	for i := range all {
		c.Send(get(fmt.Sprint("r", i)))
	}
	var requests []receivedRequest
	for range all {
		requests = append(requests, r.nextRequest())
	}
	r.Do(func() {
		for _, a := range requests {
			a.Answer([]byte(large))
		}
		c := r.server.lists[stateWriteBlocked].first
		if c == nil || len(c.unsent) == 0 || len(c.unsent) > len(large) || len(c.pendingReplies) < all/4 {
			r.t.Error("the sockets took all replies, or more than one was dequeued")
		}
	})
	return all
}

// TestWriteBlockedConnectionExpires checks that a client that does not read is closed after WriteTime, and its memory released.
func TestWriteBlockedConnectionExpires(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.Limits.WriteTime = shortTimeout })
	c := r.dial()
	fillUp(r, c)
	other := r.dial()
	other.Send(words("PING"))
	other.Want("+PONG")
	other.Close()
	r.waitUntilEmpty()
}

// TestSlowReaderGetsAllReplies checks that a client that reads late gets all replies in order, and that no memory stays
// reserved.
func TestSlowReaderGetsAllReplies(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	all := fillUp(r, c)
	for range all {
		if got := c.Line(); len(got) != resp.MaxValueBytes {
			t.Fatalf("an answer of %d bytes", len(got))
		}
	}
	r.Until("all bytes given back", func() bool { return r.server.BufferedBytes() == 0 })
	c.Send(get("again"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestWriteTimeRestartsWithEachReply checks that a client that reads steadily, but always has more to read, is not closed.
func TestWriteTimeRestartsWithEachReply(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	all := fillUp(r, c)
	var since Time
	r.Do(func() { since = r.server.lists[stateWriteBlocked].first.stateSince })
	for range all / 2 {
		c.Line()
	}
	r.Until("a later answer", func() bool {
		cl := r.server.lists[stateWriteBlocked].first
		return cl == nil || cl.stateSince > since
	})
}

// TestRepliesOfOneTurnAreWrittenTogether checks that small replies are written in order at the end of the turn, also where the
// handler changes its bytes after Answer, and that a large one does not wait.
func TestRepliesOfOneTurnAreWrittenTogether(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	var all []receivedRequest
	for i := range 5 {
		c.Send(get(fmt.Sprint("r", i)))
		all = append(all, r.nextRequest())
	}
	cl := all[0].connection
	r.Do(func() {
		b := []byte(value)
		for i, a := range all[:4] {
			copy(b[4:], fmt.Sprint("val", i))
			a.Answer(b)
			if len(cl.pendingReplies) != 5 {
				t.Errorf("answer %d has left by itself", i)
			}
		}
		copy(b[4:], "wrong")
	})
	for i := range 4 {
		c.Want(fmt.Sprint("val", i, "e"))
	}
	r.answer(all[4], value)
	c.Want("value")
	for i := range 2 {
		c.Send(get(fmt.Sprint("l", i)))
	}
	first, second := r.nextRequest(), r.nextRequest()
	r.Do(func() {
		first.Answer([]byte(large))
		if len(cl.pendingReplies) != 1 {
			t.Error("a large answer waits for others")
		}
		second.Answer([]byte(value))
	})
	if got := c.Line(); len(got) != resp.MaxValueBytes {
		t.Errorf("%d bytes of the large answer", len(got))
	}
	c.Want("value")
}

// TestBufferedBytesAreBounded checks that a command without memory is refused before it goes to the handler, that a reply
// without memory becomes a failure, and that each command gets a reply in its place.
func TestBufferedBytesAreBounded(t *testing.T) {
	const limit, all = 64 << 10, 50
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = limit })
	c := r.dial()
	for i := range all {
		c.Send(words("C.SET", "k", fmt.Sprint("r", i), "c=put,d=9,k=5", strings.Repeat("v", 2000)))
		r.Until("the command taken", func() bool {
			cl := r.server.lists[stateAwaitingReplies].first
			return cl != nil && len(cl.pendingReplies) == i+1
		})
	}
	fit := len(r.requests)
	r.Do(func() {
		if reserved := r.server.BufferedBytes(); reserved > limit+all*int64(len(BusyReply)) || fit*2000 > limit {
			t.Errorf("%d bytes are reserved for %d commands", reserved, fit)
		}
	})
	if fit < limit/3000 {
		t.Errorf("only %d of %d commands were taken", fit, all)
	}
	for range fit {
		r.answer(r.nextRequest(), large)
	}
	for i := range all {
		want := "-ERR failed"
		if i >= fit {
			want = "-BUSY"
		}
		if got := c.Line(); got != want && !(i < fit && len(got) == resp.MaxValueBytes) {
			t.Errorf("answer %d is %.30q, want %q", i, got, want)
		}
	}
	r.Do(func() {
		if reserved := r.server.BufferedBytes(); reserved != 0 {
			t.Errorf("%d bytes stay reserved after all was answered", reserved)
		}
	})
	c.Send(get("again"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestSmallRepliesAreSentWithoutMemory checks that refusals and PONG stay what they are where no memory is left.
func TestSmallRepliesAreSentWithoutMemory(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("r1") + get("r2"))
	refused, failed := r.nextRequest(), r.nextRequest()
	var filled int64
	r.Do(func() {
		filled = r.server.buffered.limit - r.server.buffered.used
		r.server.buffered.reserve(filled)
		refused.Answer([]byte("-BUSY 100\r\n"))
		failed.Answer([]byte(large))
	})
	c.Send(words("PING"))
	for _, want := range []string{"-BUSY 100", "-ERR failed", "+PONG"} {
		c.Want(want)
	}
	r.Do(func() { r.server.buffered.release(filled) })
	c.Send(get("r3"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestSilentConnectionsExpire checks that connections with no command or a partial one are closed.
func TestSilentConnectionsExpire(t *testing.T) {
	r := newTestServer(t, nil)
	silent, half := r.dial(), r.dial()
	half.Send("*4\r\n$5\r\nC.G")
	if got := half.Line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("half a command: %q", got)
	}
	half.WantClosed()
	silent.WantClosed()
	r.waitUntilEmpty()
}

// TestIdleConnectionsExpire checks that idle connections are closed, sooner above half of the connection limit, and that one
// that waits for a reply is not idle.
func TestIdleConnectionsExpire(t *testing.T) {
	for _, overHalfFull := range []bool{false, true} {
		t.Run(fmt.Sprintf("over half full %t", overHalfFull), func(t *testing.T) {
			r := newTestServer(t, func(o *Options) {
				if o.Limits.IdleTime = shortTimeout; overHalfFull {
					o.Limits.IdleTime, o.Limits.CrowdedIdleTime, o.MaxConnections = time.Hour, shortTimeout, 3
				}
			})
			idle, waits := r.dial(), r.dial()
			idle.Send(words("PING"))
			idle.Want("+PONG")
			waits.Send(get("r1"))
			a := r.nextRequest()
			idle.WantClosed()
			r.After(2 * shortTimeout)
			r.answer(a, value)
			waits.Want("value")
		})
	}
}

// TestEvictionCandidatePrefersUnusedConnections checks that connections that have sent no command can not shut out others.
func TestEvictionCandidatePrefersUnusedConnections(t *testing.T) {
	r := newTestServer(t, nil)
	add := func(age Time, s connectionState) *connection {
		c := &connection{server: r.server}
		c.enterState(s)
		c.stateSince -= age
		return c
	}
	r.Do(func() {
		defer func() { r.server.lists = [stateCount]connectionList{} }()
		add(1000, stateNew) // its first command may be under way
		add(50_000_000, stateAwaitingReplies)
		used := add(5_000_000, stateIdle)
		add(4_000_000, stateIdle)
		if r.server.evictionCandidate(nil) != used {
			t.Error("not the one idle for longest")
		}
		r.server.lists[stateNew] = connectionList{}
		silent := add(100_000, stateNew)
		add(1000, stateNew)
		if r.server.evictionCandidate(nil) != silent {
			t.Error("not the one without a command")
		}
		if r.server.evictionCandidate(silent) != used {
			t.Error("the newest connection, in favour of which one is to be closed")
		}
		silent.retired = true
		if c := r.server.evictionCandidate(nil); c == silent {
			t.Error("one that is retired already")
		}
	})
}

// TestPipelinedCommandsAreAnsweredWithoutMemory guards against a client that is closed with one refusal though many of its commands were read
// whole.
func TestPipelinedCommandsAreAnsweredWithoutMemory(t *testing.T) {
	for _, pipelined := range []int{100, 2000} { // below and above the limit of replies that are due
		r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = 8 << 10 })
		other := r.dial()
		other.Send(words("C.SET", "k", "first", "c=put,d=9,k=5", strings.Repeat("v", 8000)))
		taken := r.nextRequest() // it has the memory until its reply
		c := r.dial()
		var all strings.Builder
		for i := range pipelined {
			all.WriteString(words("C.SET", "k", fmt.Sprint("r", i), "c=put,d=9,k=5", strings.Repeat("v", 300)))
		}
		go c.Send(all.String())
		for range pipelined {
			c.Want("-BUSY")
		}
		c.Send(words("PING"))
		c.Want("+PONG")
		r.answer(taken, value)
		other.Want("value")
	}
}

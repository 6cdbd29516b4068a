package frontend

import (
	"fmt"
	"math/rand/v2"
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
		t.Errorf("got reply %q, want -LOADING", got)
	}
	r.Do(func() { r.starting = false })
	c.Send("PING\r\n" + words("ping", "echo") + words("QUIT"))
	c.Want("+PONG")
	c.Want("echo")
	c.Want("+OK")
	c.WantClosed()
	r.waitUntilEmpty()
}

// TestRepliesKeepCommandOrder checks that replies are written in the order of their commands, even if the handler answers in
// another order and some replies come from the server itself.
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
			t.Errorf("%d bytes stay reserved after all commands were answered", n)
		}
	})
}

// TestSplitCommandsAreExecutedOnce covers commands that arrive byte by byte.
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
			t.Errorf("request %d: got %+v", i, a.cmd)
		}
		r.answer(a, value)
		c.Want("value")
	}
	r.wantNoRequest()
}

// TestClientsGoneReportsUnansweredRequestsOnce checks that the handler is notified once of each request without a reply, and
// of no other request.
func TestClientsGoneReportsUnansweredRequestsOnce(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("r0") + get("r1") + get("r2"))
	requests := []receivedRequest{r.nextRequest(), r.nextRequest(), r.nextRequest()}
	r.answer(requests[1], value)
	c.Close()
	for _, want := range []int{0, 2} {
		if s := routertest.Receive(t, r.gone, "report of a client that has gone"); s != requests[want].ReplySlot {
			t.Errorf("got a report for another request, want request %d", want)
		}
	}
	r.waitUntilEmpty()
	r.answer(requests[0], value) // the handler may still answer
	r.Do(func() {
		if n := r.server.BufferedBytes(); n != 0 || len(r.gone) > 0 {
			t.Errorf("%d bytes stay reserved and %d further requests are reported", n, len(r.gone))
		}
	})
}

// TestBrokenConnectionExecutesNoFurtherCommands covers commands that follow a command whose reply finds the connection
// broken. None of them may be executed without being reported to ClientsGone, and their bytes must not stay reserved.
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
		if s := routertest.Receive(t, r.gone, "report of a client that has gone"); s != a.ReplySlot {
			t.Error("got a report for another request")
		}
	}
}

// TestPipelineLimitPausesReading checks that nothing is read past the limit until replies are written, and that all commands
// are read in the end.
func TestPipelineLimitPausesReading(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.Limits.MaxPipelined = 4 })
	c := r.dial()
	const all = 40
	half := len(get("r0")) / 2
	wire := ""
	for i := range all {
		wire += get(fmt.Sprint("r", i))
	}
	c.Send(wire[:half]) // a partial command, then more commands than the limit
	r.Until("a partial command", func() bool { return r.server.lists[statePartialCommand].first != nil })
	c.Send(wire[half:])
	for i := range all {
		a := r.nextRequest()
		if a.cmd.ID() != fmt.Sprint("r", i) {
			t.Fatalf("got request %s, want r%d", a.cmd.ID(), i)
		}
		r.Do(func() {
			if n := len(a.connection.pendingReplies); n > 4 {
				t.Errorf("%d replies are due, want at most 4", n)
			}
		})
		r.answer(a, value)
		c.Want("value")
	}
	r.wantNoRequest()
}

// TestPipelineLimitSuspendsTimeLimits checks that a client at the pipeline limit is not closed for being idle or for
// stopping in the middle of a command.
func TestPipelineLimitSuspendsTimeLimits(t *testing.T) {
	for name, first := range map[string]int{"from the first command": 0, "after a partial command": 10} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, func(o *Options) {
				o.Limits.MaxPipelined = 2
				o.Limits.CommandTime = shortTimeout
				o.Limits.IdleTime = shortTimeout
				o.Limits.IdleTimeUnderPressure = shortTimeout
			})
			c := r.dial()
			wire := get("r0") + get("r1") + get("r2")
			r.Do(func() {
				if c.Send(wire[:first]); first == 0 {
					c.Send(wire)
				}
			})
			if first > 0 {
				r.Until("a partial command", func() bool { return r.server.lists[statePartialCommand].first != nil })
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

// TestCommandsBehindPipelineLimitOutlastWriteBlock guards against whole commands that wait for the pipeline limit being dropped as a
// partial command, once a client that had not read a large reply has read it.
func TestCommandsBehindPipelineLimitOutlastWriteBlock(t *testing.T) {
	const limit, waiting = 4, 2
	r := newTestServer(t, func(o *Options) { o.Limits.MaxPipelined, o.Limits.CommandTime = limit, shortTimeout })
	c := r.dial()
	c.Send(get("first"))
	long := strings.Repeat("v", 16<<20) // more than the sockets buffer
	r.answer(r.nextRequest(), "+"+long+"\r\n")
	wire := ""
	for i := range limit + waiting {
		wire += get(fmt.Sprint("r", i))
	}
	c.Send(wire)
	var open []receivedRequest
	for range limit {
		open = append(open, r.nextRequest())
	}
	r.Until("a pause of reading while a reply is unread", func() bool {
		blocked := r.server.lists[stateWriteBlocked].first
		return blocked != nil && blocked.readPaused
	})
	c.Want("+" + long)
	r.After(3 * shortTimeout)
	for _, request := range open {
		r.answer(request, value)
	}
	for range waiting {
		r.answer(r.nextRequest(), value)
	}
	for range limit + waiting {
		c.Want("value")
	}
}

// TestCommandsPerTurnAreBounded checks that a client that sends many commands at once does not delay other clients.
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
				t.Errorf("%d commands of another client were executed first", before)
			}
			return
		}
	}
}

// large is a reply of the maximum size.
var large = "$65536\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n"

// fillSocketBuffers requests more than the sockets can buffer while the client does not read. It returns the number of
// replies.
func fillSocketBuffers(r *testServer, c *routertest.Client) int {
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
			r.t.Error("the sockets accepted all replies, or more than one reply was dequeued")
		}
	})
	return all
}

// TestWriteBlockedConnectionExpires checks that a client that does not read is closed after WriteTime and its memory is
// released.
func TestWriteBlockedConnectionExpires(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.Limits.WriteTime = shortTimeout })
	c := r.dial()
	fillSocketBuffers(r, c)
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
	all := fillSocketBuffers(r, c)
	for range all {
		if got := c.Line(); len(got) != resp.MaxValueBytes {
			t.Fatalf("got a reply of %d bytes, want %d", len(got), resp.MaxValueBytes)
		}
	}
	r.Until("the release of all bytes", func() bool { return r.server.BufferedBytes() == 0 })
	c.Send(get("again"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestWriteTimeRestartsWithEachReply checks that a client that reads steadily but always has unread replies is not closed.
func TestWriteTimeRestartsWithEachReply(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	all := fillSocketBuffers(r, c)
	var since Time
	r.Do(func() { since = r.server.lists[stateWriteBlocked].first.stateSince })
	for range all / 2 {
		c.Line()
	}
	r.Until("a later write", func() bool {
		cl := r.server.lists[stateWriteBlocked].first
		return cl == nil || cl.stateSince > since
	})
}

// TestRepliesOfOneTurnAreWrittenTogether checks that small replies are written in order at the end of the turn, even if the
// handler modifies the bytes after Answer, and that a large reply is written at once.
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
				t.Errorf("reply %d was written before the end of the turn", i)
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
			t.Error("a large reply was not written at once")
		}
		second.Answer([]byte(value))
	})
	if got := c.Line(); len(got) != resp.MaxValueBytes {
		t.Errorf("got a reply of %d bytes, want %d", len(got), resp.MaxValueBytes)
	}
	c.Want("value")
}

// TestBufferedBytesAreBounded checks that a command is rejected before it is passed to the handler if there is no memory for
// it, that a reply is replaced by a failure if there is no memory for it, and that each command gets a reply in its place.
func TestBufferedBytesAreBounded(t *testing.T) {
	const limit, all = 64 << 10, 50
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = limit })
	c := r.dial()
	for i := range all {
		c.Send(words("C.SET", "k", fmt.Sprint("r", i), "c=put,d=9,k=5", strings.Repeat("v", 2000)))
		r.Until("the execution of the command", func() bool {
			cl := r.server.lists[stateAwaitingReplies].first
			return cl != nil && len(cl.pendingReplies) == i+1
		})
	}
	accepted := len(r.requests)
	r.Do(func() {
		if reserved := r.server.BufferedBytes(); reserved > limit+all*int64(len(BusyReply)) || accepted*2000 > limit {
			t.Errorf("%d bytes are reserved for %d commands", reserved, accepted)
		}
	})
	if accepted < limit/3000 {
		t.Errorf("only %d of %d commands were accepted", accepted, all)
	}
	for range accepted {
		r.answer(r.nextRequest(), large)
	}
	for i := range all {
		want := "-ERR failed"
		if i >= accepted {
			want = "-BUSY"
		}
		if got := c.Line(); got != want && !(i < accepted && len(got) == resp.MaxValueBytes) {
			t.Errorf("reply %d: got %.30q, want %q", i, got, want)
		}
	}
	r.Do(func() {
		if reserved := r.server.BufferedBytes(); reserved != 0 {
			t.Errorf("%d bytes stay reserved after all commands were answered", reserved)
		}
	})
	c.Send(get("again"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestSmallRepliesAreSentWithoutMemory checks that rejections and PONG are sent unchanged if no memory is left.
func TestSmallRepliesAreSentWithoutMemory(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("r1") + get("r2"))
	rejected, failed := r.nextRequest(), r.nextRequest()
	var filled int64
	r.Do(func() {
		filled = r.server.buffered.limit - r.server.buffered.used
		r.server.buffered.reserve(filled)
		rejected.Answer([]byte("-BUSY 100\r\n"))
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

// TestSilentConnectionsExpire checks that connections without a command and connections with a partial command are closed.
func TestSilentConnectionsExpire(t *testing.T) {
	r := newTestServer(t, nil)
	silent, half := r.dial(), r.dial()
	half.Send("*4\r\n$5\r\nC.G")
	if got := half.Line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("partial command: got reply %q, want an error", got)
	}
	half.WantClosed()
	silent.WantClosed()
	r.waitUntilEmpty()
}

// TestIdleConnectionsExpire checks that idle connections are closed, sooner above half of the connection limit, and that a
// connection waiting for a reply does not count as idle.
func TestIdleConnectionsExpire(t *testing.T) {
	for _, overHalfFull := range []bool{false, true} {
		t.Run(fmt.Sprintf("over half full %t", overHalfFull), func(t *testing.T) {
			r := newTestServer(t, func(o *Options) {
				if o.Limits.IdleTime = shortTimeout; overHalfFull {
					o.Limits.IdleTime, o.Limits.IdleTimeUnderPressure, o.MaxConnections = time.Hour, shortTimeout, 3
				}
			})
			idle, waiting := r.dial(), r.dial()
			idle.Send(words("PING"))
			idle.Want("+PONG")
			waiting.Send(get("r1"))
			a := r.nextRequest()
			idle.WantClosed()
			r.After(2 * shortTimeout)
			r.answer(a, value)
			waiting.Want("value")
		})
	}
}

// TestEvictionCandidatePrefersUnusedConnections checks that connections that have sent no command cannot keep out other
// connections.
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
		add(1000, stateNew) // its first command may be in transit
		add(50_000_000, stateAwaitingReplies)
		used := add(5_000_000, stateIdle)
		add(4_000_000, stateIdle)
		if r.server.evictionCandidate(nil) != used {
			t.Error("candidate is not the connection idle for longest")
		}
		r.server.lists[stateNew] = connectionList{}
		silent := add(100_000, stateNew)
		add(1000, stateNew)
		if r.server.evictionCandidate(nil) != silent {
			t.Error("candidate is not the connection without a command")
		}
		if r.server.evictionCandidate(silent) != used {
			t.Error("candidate is not the connection idle for longest; the newest connection must be kept")
		}
		silent.retired = true
		if c := r.server.evictionCandidate(nil); c == silent {
			t.Error("candidate is already retired")
		}
	})
}

// TestPipelinedCommandsAreAnsweredWithoutMemory guards against a client that sent many complete commands being disconnected
// after a single rejection.
func TestPipelinedCommandsAreAnsweredWithoutMemory(t *testing.T) {
	for _, pipelined := range []int{100, 2000} { // below and above the pipeline limit
		r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = 8 << 10 })
		other := r.dial()
		other.Send(words("C.SET", "k", "first", "c=put,d=9,k=5", strings.Repeat("v", 8000)))
		holder := r.nextRequest() // holds the memory until its reply
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
		r.answer(holder, value)
		other.Want("value")
	}
}

// TestCommandsBehindPartialOneAreAnsweredWithoutMemory guards against commands being read and never answered behind a command
// that was rejected before all of it had arrived.
func TestCommandsBehindPartialOneAreAnsweredWithoutMemory(t *testing.T) {
	const rounds, memory = 20, 40 << 10 // enough for the reads, and not for a long write
	set := words("C.SET", "k", "long", "c=put,d=9,k=5", strings.Repeat("*1\r\n$4\r\nQUIT\r\n", resp.MaxValueBytes/14))
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = memory })
		c := r.dial()
		wire := strings.Repeat(set+get("r1"), rounds)
		go func() {
			for len(wire) > 0 {
				n := min(1+random.IntN(40_000), len(wire))
				c.Send(wire[:n])
				wire = wire[n:]
			}
		}()
		for range rounds {
			r.answer(r.nextRequest(), value)
			c.Want("-BUSY")
			c.Want("value")
		}
		c.Send(words("PING"))
		c.Want("+PONG")
		r.Do(func() {
			if got := len(r.rejected); got != rounds {
				t.Errorf("got %d rejections, want %d", got, rounds)
			}
			if reserved := r.server.BufferedBytes(); reserved != 0 {
				t.Errorf("%d bytes stay reserved", reserved)
			}
		})
	}
}

// TestRejectedPartialCommandExpires checks that a client that stops in the middle of a command that was rejected for lack of
// memory is disconnected, with one reply for the command.
func TestRejectedPartialCommandExpires(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes, o.Limits.CommandTime = 1<<10, shortTimeout })
	c := r.dial()
	wire := words("C.SET", "k", "long", "c=put,d=9,k=5", strings.Repeat("v", resp.MaxValueBytes))
	c.Send(wire[:len(wire)-1])
	c.Want("-BUSY")
	c.WantClosed()
	r.waitUntilEmpty()
}

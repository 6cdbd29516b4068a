package frontend

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// startDrain begins a drain. The returned channel is closed when the drain ends.
func (r *testServer) startDrain() <-chan struct{} {
	r.t.Helper()
	drained := make(chan struct{})
	r.Do(func() { r.server.Drain(func() { close(drained) }) })
	return drained
}

// TestDrainServesRequestsInProgress checks that requests that have arrived when a drain begins are served, as are requests
// that follow on the same connections.
func TestDrainServesRequestsInProgress(t *testing.T) {
	const clients = 30
	r := newTestServer(t, nil)
	var all []*routertest.Client
	for range clients {
		c := r.dial()
		c.Send(words("PING"))
		c.Want("+PONG")
		all = append(all, c)
	}
	drained := make(chan struct{})
	r.Do(func() {
		for i, c := range all { // these have arrived but are not read
			c.Send(get(fmt.Sprint("r", i)))
		}
		r.server.Drain(func() { close(drained) })
	})
	for i := range clients {
		a := r.nextRequest()
		// A second request follows the first one and is served too.
		var n int
		fmt.Sscanf(a.cmd.ID(), "r%d", &n)
		all[n].Send(get(fmt.Sprint("more", n)))
		r.answerOutOfOrder(a, fmt.Sprint("more", n))
		if i == 0 {
			select {
			case <-drained:
				t.Error("the drain ended while requests were in progress")
			default:
			}
		}
	}
	for _, c := range all {
		c.Want("value")
		c.Want("value")
		c.WantClosed()
	}
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
}

// answerOutOfOrder answers the request with the given id first, even if it arrives after other requests, and then answers a.
func (r *testServer) answerOutOfOrder(a receivedRequest, id string) {
	r.t.Helper()
	var passed []receivedRequest
	for {
		b := r.nextRequest()
		if b.cmd.ID() == id {
			r.answer(b, value)
			break
		}
		passed = append(passed, b)
	}
	for _, b := range passed { // the test receives them again later
		r.requests <- b
	}
	r.answer(a, value)
}

// TestDrainGivesPartialCommandsGrace checks that a drain waits a short time for the rest of a partial command, and then
// closes the connection with an error.
func TestDrainGivesPartialCommandsGrace(t *testing.T) {
	r := newTestServer(t, nil)
	stalled, continuing := r.dial(), r.dial()
	wire := get("r1")
	stalled.Send(wire[:20])
	continuing.Send(wire[:20])
	r.Until("both partial commands", func() bool {
		l := r.server.lists[statePartialCommand]
		return l.first != nil && l.first != l.last
	})
	drained := make(chan struct{})
	r.Do(func() {
		r.server.Drain(func() { close(drained) })
		continuing.Send(wire[20:])
	})
	a := r.nextRequest()
	if got := stalled.Line(); !strings.Contains(got, "does not go on") {
		t.Errorf("partial command: got reply %q, want the error of an incomplete command", got)
	}
	stalled.WantClosed()
	r.answer(a, value)
	continuing.Want("value")
	continuing.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
}

// TestDrainClosesIdleConnectionsAtOnce checks that a drain does not wait for connections without requests.
func TestDrainClosesIdleConnectionsAtOnce(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(words("PING"))
	c.Want("+PONG")
	drained := r.startDrain()
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
}

// TestRetireServesUnreadRequest covers a second request that has arrived but is not read when the handler gives the last
// reply on a retired connection. Closing the connection at that moment would reset it and lose the request.
func TestRetireServesUnreadRequest(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("first"))
	first := r.nextRequest()
	drained := r.startDrain()
	r.Do(func() {
		c.Send(get("second"))
		if first.connection.socket.HasNothingUnread() {
			t.Error("the second request has not arrived")
		}
		first.Answer([]byte(value))
	})
	c.Want("value")
	r.answer(r.nextRequest(), value)
	c.Want("value")
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
}

// TestRetireAnswersCommandsReadTogether guards against a retired connection being closed after the reply to a command while
// others that were read with it are not executed.
func TestRetireAnswersCommandsReadTogether(t *testing.T) {
	for name, sinceRetired := range map[string]machine.Time{"within the window": 0, "after the window": retiredRequestWindow + 1} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, nil)
			c := r.dial()
			c.Send(get("first"))
			first := r.nextRequest()
			r.startDrain()
			r.Do(func() {
				first.connection.retiredAt -= sinceRetired
				c.Send(words("PING") + words("C.GET", "k", "bad", "c=none,d=10") + get("second") + get("third"))
				first.Answer([]byte(value))
			})
			c.Want("value")
			c.Want("+PONG")
			if got := c.Line(); !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("invalid command: got reply %q, want an error", got)
			}
			want := "-BUSY"
			if sinceRetired == 0 {
				want = "value"
				r.answer(r.nextRequest(), value)
				r.answer(r.nextRequest(), value)
			}
			c.Want(want)
			c.Want(want)
			c.WantClosed()
			r.waitUntilEmpty()
		})
	}
}

// TestRetireSendsRestOfPartlySentReply covers a reply that is partly written when the grace of a retired connection ends,
// with no other reply due. The rest of the reply must still be sent.
func TestRetireSendsRestOfPartlySentReply(t *testing.T) {
	const sent = 10 // bytes of the reply
	var blocked atomic.Bool
	k := machine.RealKernel()
	send := k.Send
	k.Send = func(fd int, b []byte) (int, error) {
		switch {
		case !blocked.Load():
			return send(fd, b)
		case len(b) == len(value):
			return send(fd, b[:sent])
		}
		return 0, syscall.ENOBUFS
	}
	r := newTestServerOn(t, machine.Options{Kernel: &k}, nil)
	c := r.dial()
	c.Send(get("r1"))
	a := r.nextRequest()
	blocked.Store(true)
	r.answer(a, value)
	drained := r.startDrain()
	var graceEnd machine.Time
	r.Do(func() { graceEnd = r.Now() + 2*commandGrace })
	r.Until("the end of the grace", func() bool { return r.Now() > graceEnd })
	blocked.Store(false)
	c.Want("value")
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
}

// TestRetireBetweenTurnsAnswersRequests guards against a connection being closed over requests that were passed on, where more of its
// commands wait for the next turn: its state still said that it was new, or between commands.
func TestRetireBetweenTurnsAnswersRequests(t *testing.T) {
	const pipelined = 2*maxCommandsPerTurn + 1
	for _, isNew := range []bool{true, false} {
		r := newTestServer(t, nil)
		client := r.dial()
		state := stateNew
		if !isNew {
			client.Send(words("PING"))
			client.Want("+PONG")
			state = stateIdle
		}
		r.Until("the connection", func() bool { return r.server.lists[state].length == 1 })
		r.After(time.Duration(commandGrace) * time.Microsecond)
		r.Do(func() {
			wire := ""
			for i := range pipelined {
				wire += get(fmt.Sprint("r", i))
			}
			client.Send(wire)
			c := r.server.lists[state].first
			for c.socket.HasNothingUnread() { // the bytes are on their way over loopback, and the loop runs this function
				runtime.Gosched()
			}
			c.read()
			c.retire()
		})
		for range pipelined {
			r.answer(r.nextRequest(), value)
		}
		for range pipelined {
			client.Want("value")
		}
	}
}

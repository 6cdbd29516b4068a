package frontend

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// startDrain begins a drain. The channel is closed at its end.
func (r *testServer) startDrain() <-chan struct{} {
	r.t.Helper()
	drained := make(chan struct{})
	r.Do(func() { r.server.Drain(func() { close(drained) }) })
	return drained
}

// TestDrainServesRequestsInProgress checks that requests that have arrived when a drain begins are served, with those sent
// behind them.
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
		for i, c := range all { // these have arrived unread
			c.Send(get(fmt.Sprint("r", i)))
		}
		r.server.Drain(func() { close(drained) })
	})
	for i := range clients {
		a := r.nextRequest()
		// A second request is sent behind the first one: it is served too.
		var n int
		fmt.Sscanf(a.cmd.ID(), "r%d", &n)
		all[n].Send(get(fmt.Sprint("more", n)))
		r.answerNext(a, fmt.Sprint("more", n))
		if i == 0 {
			select {
			case <-drained:
				t.Error("the drain ended with requests in progress")
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

// answerNext answers the request with the given id, which may come behind others, and then a.
func (r *testServer) answerNext(a receivedRequest, id string) {
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
	for _, b := range passed { // later calls answer them
		r.requests <- b
	}
	r.answer(a, value)
}

// TestDrainGivesPartialCommandsGrace checks that the rest of a partial command is awaited for a moment, and that the connection
// is then closed with an error.
func TestDrainGivesPartialCommandsGrace(t *testing.T) {
	r := newTestServer(t, nil)
	halting, goesOn := r.dial(), r.dial()
	wire := get("r1")
	halting.Send(wire[:20])
	goesOn.Send(wire[:20])
	r.Until("both halves", func() bool {
		l := r.server.lists[statePartialCommand]
		return l.first != nil && l.first != l.last
	})
	drained := make(chan struct{})
	r.Do(func() {
		r.server.Drain(func() { close(drained) })
		goesOn.Send(wire[20:])
	})
	a := r.nextRequest()
	if got := halting.Line(); !strings.Contains(got, "does not go on") {
		t.Errorf("half a command: %q", got)
	}
	halting.WantClosed()
	r.answer(a, value)
	goesOn.Want("value")
	goesOn.WantClosed()
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

// TestRetireServesUnreadRequest checks a second request that lies unread when the last reply before the close is given. A close
// at that moment would reset the connection and lose the request.
func TestRetireServesUnreadRequest(t *testing.T) {
	r := newTestServer(t, nil)
	c := r.dial()
	c.Send(get("first"))
	first := r.nextRequest()
	drained := r.startDrain()
	r.Do(func() {
		c.Send(get("second"))
		if first.connection.socket.Quiet() {
			t.Error("the second request has not come")
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

// TestRetireSendsRestOfPartlySentReply checks a reply that is partly written when the grace of a retired connection ends, with
// nothing else due. The rest must still be sent.
func TestRetireSendsRestOfPartlySentReply(t *testing.T) {
	const sent = 10 // bytes of it
	var holds atomic.Bool
	k := machine.RealKernel()
	send := k.Send
	k.Send = func(fd int, b []byte) (int, error) {
		switch {
		case !holds.Load():
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
	holds.Store(true)
	r.answer(a, value)
	drained := r.startDrain()
	var over machine.Time
	r.Do(func() { over = r.Now() + 2*commandGrace })
	r.Until("the end of the moment", func() bool { return r.Now() > over })
	holds.Store(false)
	c.Want("value")
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
}

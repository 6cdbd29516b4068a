package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

func TestAppendBusyRoundsUp(t *testing.T) {
	for wait, want := range map[Time]string{0: "-BUSY\r\n", 1: "-BUSY 1\r\n", 1000: "-BUSY 1\r\n",
		1001: "-BUSY 2\r\n", 600_000: "-BUSY 600\r\n"} {
		if got := string(AppendBusy(nil, wait)); got != want {
			t.Errorf("%d: got %q, want %q", wait, got, want)
		}
	}
}

// fullServer returns a server at its connection limit, with the clients of all connections waiting for a reply.
func fullServer(t *testing.T) (*testServer, []receivedRequest) {
	r := newTestServer(t, func(o *Options) { o.MaxConnections, o.RetryAfter = 3, 70_000 })
	var waiting []receivedRequest
	for i := range 3 {
		r.dial().Send(get(fmt.Sprint("busy", i)))
		waiting = append(waiting, r.nextRequest())
	}
	return r, waiting
}

// TestExcessConnectionIsRejected checks that each request of a client past the connection limit is rejected at once. In the
// kernel's accept queue, the client would wait until its timeout.
func TestExcessConnectionIsRejected(t *testing.T) {
	r, _ := fullServer(t)
	for i := range 2 * maxExcessConnections {
		c := r.dial()
		c.Send(get(fmt.Sprint("late", i)) + get("behind"))
		c.Want("-BUSY 70")
		c.Want("-BUSY 70")
		c.WantClosed()
	}
	r.wantNoRequest()
}

// TestSilentExcessConnectionExpires checks that a connection past the limit that sends no complete request is closed after a
// short time.
func TestSilentExcessConnectionExpires(t *testing.T) {
	r, _ := fullServer(t)
	silent, half := r.dial(), r.dial()
	half.Send("*4\r\n$5\r\nC.G")
	silent.WantClosed()
	half.WantClosed()
	r.wantNoRequest()
}

// TestExcessConnectionIsServedBelowLimit checks that a connection past the limit is served once another connection has
// closed.
func TestExcessConnectionIsServedBelowLimit(t *testing.T) {
	r, waiting := fullServer(t)
	late := r.dial()
	late.Send(words("PING"))
	late.Want("+PONG") // the connection is accepted, past the limit
	r.answer(waiting[0], value)
	r.Do(func() {
		waiting[0].connection.close()
		if r.server.lists[stateExcess].first != nil {
			t.Error("the connection still counts as past the limit")
		}
	})
	late.Send(get("late"))
	a := r.nextRequest()
	if !strings.HasPrefix(a.cmd.ID(), "late") {
		t.Errorf("got request %s, want late", a.cmd.ID())
	}
	r.answer(a, value)
	late.Want("value")
}

// TestRejectionsNameTheirReason checks the reported reason of a rejection, since the reply to the client does not tell the
// connection limit from the memory limit.
func TestRejectionsNameTheirReason(t *testing.T) {
	t.Run("connections", func(t *testing.T) {
		r, _ := fullServer(t)
		late := r.dial()
		late.Send(get("late"))
		late.Want("-BUSY 70")
		r.wantRejected(RejectedConnectionLimit)
	})
	t.Run("memory for a request", func(t *testing.T) {
		r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = 8 << 10 })
		c := r.dial()
		c.Send(words("C.SET", "k", "r1", "c=put,d=9,k=5", strings.Repeat("v", 10<<10)))
		c.Want("-BUSY")
		r.wantRejected(RejectedMemory)
	})
	t.Run("memory for a partial request", func(t *testing.T) {
		r := newTestServer(t, func(o *Options) { o.MaxBufferedBytes = 8 << 10 })
		c := r.dial()
		whole := words("C.SET", "k", "r1", "c=put,d=9,k=5", strings.Repeat("v", 40<<10))
		c.Send(whole[:30<<10])
		c.Want("-BUSY")
		r.wantRejected(RejectedMemory)
	})
}

// wantRejected checks that the server has reported exactly one rejected request, with the given reason.
func (r *testServer) wantRejected(reason RejectReason) {
	r.t.Helper()
	r.Do(func() {
		if len(r.rejected) != 1 || r.rejected[0] != reason {
			r.t.Errorf("got reported reasons %q, want only %q", r.rejected, reason)
		}
	})
}

const halfCommand = "*4\r\n$5\r\nC.G"

// TestSilentClientsDoNotHoldOthersInQueue guards against a request waiting for seconds in the kernel's queue, neither answered nor
// shut, behind clients that stop in the middle of a command.
func TestSilentClientsDoNotHoldOthersInQueue(t *testing.T) {
	const silent, patience = 200, time.Second
	r, _ := fullServer(t)
	for range silent {
		r.dial().Send(halfCommand)
	}
	began := time.Now()
	c := r.dial()
	c.Send(get("usual"))
	c.Want("-BUSY 70")
	if took := time.Since(began); took > patience {
		t.Errorf("the request was answered after %v, want %v at most", took, patience)
	}
}

// TestStalledCommandGivesPlaceToNewConnection guards against clients that stop in the middle of a command keeping all places for as
// long as a command may take.
func TestStalledCommandGivesPlaceToNewConnection(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.MaxConnections, o.Limits.CommandTime = 3, time.Minute })
	for range 3 {
		r.dial().Send(halfCommand)
	}
	waitUntilRead(r, 3)
	r.After(time.Duration(stalledCommandTime) * time.Microsecond)
	c := r.dial()
	c.Send(get("usual"))
	r.answer(r.nextRequest(), value)
	c.Want("value")
}

// TestRecentlyUsedConnectionKeepsItsPlace guards against the connections of usual clients being closed in favour of hundreds of clients
// that send no command.
func TestRecentlyUsedConnectionKeepsItsPlace(t *testing.T) {
	r := newTestServer(t, func(o *Options) { o.MaxConnections = 8 })
	usual := r.dial()
	for i := range 100 {
		usual.Send(get(fmt.Sprint("usual", i)))
		r.answer(r.nextRequest(), value)
		usual.Want("value")
		r.dial().Send(halfCommand)
	}
}

// TestCompleteRequestTakesPlaceOfSlowCommand guards against clients that write slowly holding all places, so that each request of others
// is rejected.
func TestCompleteRequestTakesPlaceOfSlowCommand(t *testing.T) {
	const places = 3
	r := newTestServer(t, func(o *Options) { o.MaxConnections = places })
	var slow []*routertest.Client
	for range places {
		c := r.dial()
		c.Send("*4\r\n$5\r\nC.GET\r\n$900\r\n")
		slow = append(slow, c)
	}
	waitUntilRead(r, places)
	for range 30 { // they go on writing
		r.After(time.Duration(slowCommandTime) * time.Microsecond / 25)
		for _, c := range slow {
			c.Send("k")
		}
	}
	c := r.dial()
	for i := range 10 {
		c.Send(get(fmt.Sprint("usual", i)))
		r.answer(r.nextRequest(), value)
		c.Want("value")
	}
}

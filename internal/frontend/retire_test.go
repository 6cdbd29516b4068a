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

// retire begins a drain. The channel is closed at its end.
func (r *rig) retire() <-chan struct{} {
	r.t.Helper()
	drained := make(chan struct{})
	r.Do(func() { r.f.Drain(func() { close(drained) }) })
	return drained
}

// TestWhatComesInWhileAConnectionIsRetiredIsServed, as long as it can be had, and none of it is lost.
func TestWhatComesInWhileAConnectionIsRetiredIsServed(t *testing.T) {
	const clients = 30
	r := newRig(t, nil)
	var all []*routertest.Client
	for range clients {
		c := r.dial()
		c.Send(words("PING"))
		c.Want("+PONG")
		all = append(all, c)
	}
	drained := make(chan struct{})
	r.Do(func() {
		for i, c := range all { // these have come, and nobody has looked
			c.Send(get(fmt.Sprint("r", i)))
		}
		r.f.Drain(func() { close(drained) })
	})
	for i := range clients {
		a := r.next()
		// More comes behind what is due: it is read too.
		var n int
		fmt.Sscanf(a.cmd.ID(), "r%d", &n)
		all[n].Send(get(fmt.Sprint("more", n)))
		r.answerNext(a, fmt.Sprint("more", n))
		if i == 0 {
			select {
			case <-drained:
				t.Error("the drain ended with work in hand")
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
	r.empty()
}

// answerNext answers a request, and before it the one with the given id, which comes behind it.
func (r *rig) answerNext(a asked, id string) {
	r.t.Helper()
	var passed []asked
	for {
		b := r.next()
		if b.cmd.ID() == id {
			r.answer(b, value)
			break
		}
		passed = append(passed, b)
	}
	for _, b := range passed { // they wait for their own turn
		r.asked <- b
	}
	r.answer(a, value)
}

// TestRetiredClientWithHalfACommandHasAMoment to send the rest; then it is told and closed.
func TestRetiredClientWithHalfACommandHasAMoment(t *testing.T) {
	r := newRig(t, nil)
	halting, goesOn := r.dial(), r.dial()
	wire := get("r1")
	halting.Send(wire[:20])
	goesOn.Send(wire[:20])
	r.Until("both halves", func() bool {
		l := r.f.lists[partial]
		return l.first != nil && l.first != l.last
	})
	drained := make(chan struct{})
	r.Do(func() {
		r.f.Drain(func() { close(drained) })
		goesOn.Send(wire[20:])
	})
	a := r.next()
	if got := halting.Line(); !strings.Contains(got, "does not go on") {
		t.Errorf("half a command: %q", got)
	}
	halting.WantClosed()
	r.answer(a, value)
	goesOn.Want("value")
	goesOn.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.empty()
}

// TestIdleConnectionsEndAtOnceAndNewOnesAreRefused when the drain begins.
func TestIdleConnectionsEndAtOnceAndNewOnesAreRefused(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(words("PING"))
	c.Want("+PONG")
	drained := r.retire()
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.empty()
}

// TestRetireServesUnreadRequest: a second request lies unread on the connection when the last answer before its close is given.
// A close at that moment would reset the connection and lose the request.
func TestRetireServesUnreadRequest(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(get("first"))
	first := r.next()
	drained := r.retire()
	r.Do(func() {
		c.Send(get("second"))
		if first.client.nc.Quiet() {
			t.Error("the second request has not come")
		}
		first.Answer([]byte(value))
	})
	c.Want("value")
	r.answer(r.next(), value)
	c.Want("value")
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.empty()
}

// TestRetiredConnectionKeepsAnswerThatIsPartlySent: the last answer is partly with a client that does not take more for now,
// and nothing else is due, as the moment is over that a retired connection is given. The rest is still owed.
func TestRetiredConnectionKeepsAnswerThatIsPartlySent(t *testing.T) {
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
	r := newRigOn(t, machine.Options{Kernel: &k}, nil)
	c := r.dial()
	c.Send(get("r1"))
	a := r.next()
	holds.Store(true)
	r.answer(a, value)
	drained := r.retire()
	var over machine.Time
	r.Do(func() { over = r.Now() + 2*commandGrace })
	r.Until("the end of the moment", func() bool { return r.Now() > over })
	holds.Store(false)
	c.Want("value")
	c.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
}

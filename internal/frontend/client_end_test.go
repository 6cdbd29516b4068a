package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// disconnects are the ways in which a client can end its connection.
var disconnects = map[string]func(c *routertest.Client){
	"by a close":      func(c *routertest.Client) { c.Close() },
	"by a reset":      func(c *routertest.Client) { c.SetLinger(0); c.Close() },
	"by a half close": func(c *routertest.Client) { c.CloseWrite() },
}

// TestClientEndIsSeenWhileNotReading covers states in which the server does not read the connection. It guards against
// sending requests to caches after their client has gone.
func TestClientEndIsSeenWhileNotReading(t *testing.T) {
	for situation, prepare := range map[string]func(r *testServer, c *routertest.Client) (due int){
		"pipeline limit reached": func(r *testServer, c *routertest.Client) int {
			for i := range 10 {
				c.Send(get(fmt.Sprint("r", i)))
			}
			for range 4 {
				r.nextRequest()
			}
			r.Until("a pause in reading", func() bool { l := r.server.lists[stateAwaitingReplies].first; return l != nil && l.readPaused })
			return 4
		},
		"after QUIT": func(r *testServer, c *routertest.Client) int {
			c.Send(get("r0") + get("r1") + words("QUIT") + get("r2"))
			r.nextRequest()
			r.nextRequest()
			return 2
		},
		"after invalid bytes": func(r *testServer, c *routertest.Client) int {
			c.Send(get("r0") + "*x\r\n" + get("r1"))
			r.nextRequest()
			return 1
		},
		"with a partial command": func(r *testServer, c *routertest.Client) int {
			c.Send(get("r0") + get("r1")[:20])
			r.nextRequest()
			return 1
		},
	} {
		for way, disconnect := range disconnects {
			t.Run(situation+", "+way, func(t *testing.T) {
				r := newTestServer(t, func(o *Options) { o.Limits.MaxPipelined = 4 })
				c := r.dial()
				due := prepare(r, c)
				disconnect(c)
				for range due {
					routertest.Receive(t, r.gone, "report of a client that has gone")
				}
				r.waitUntilEmpty()
				r.wantNoRequest()
			})
		}
	}
}

// TestClientEndIsSeenWhileWriteBlocked covers a client that disconnects while the socket accepts no more of its replies and
// the handler holds another of its requests.
func TestClientEndIsSeenWhileWriteBlocked(t *testing.T) {
	for way, disconnect := range disconnects {
		t.Run(way, func(t *testing.T) {
			r := newTestServer(t, nil)
			c := r.dial()
			c.Send(get("r0") + get("r1"))
			first := r.nextRequest()
			r.nextRequest()
			r.answer(first, "$"+fmt.Sprint(16<<20)+"\r\n"+strings.Repeat("v", 16<<20)+"\r\n")
			r.Until("a write-blocked connection", func() bool { return r.server.lists[stateWriteBlocked].first != nil })
			disconnect(c)
			routertest.Receive(t, r.gone, "report of a client that has gone")
			r.waitUntilEmpty()
		})
	}
}

// TestManyClientsEndAtOnce checks that each of many clients that disconnect in one turn is reported once, and that no memory
// stays reserved for them.
func TestManyClientsEndAtOnce(t *testing.T) {
	const many = 500
	r := newTestServer(t, func(o *Options) { o.MaxConnections = many })
	var all []*routertest.Client
	for i := range many {
		c := r.dial()
		c.Send(get(fmt.Sprint("r", i)))
		all = append(all, c)
	}
	for range many {
		r.nextRequest()
	}
	r.Do(func() { // one turn handles all of them
		for _, c := range all {
			c.Close()
		}
	})
	seen := map[*ReplySlot]bool{}
	for range many {
		seen[routertest.Receive(t, r.gone, "report of a client that has gone")] = true
	}
	r.waitUntilEmpty()
	if len(seen) != many || len(r.gone) > 0 {
		t.Errorf("%d of %d clients are reported as gone, and %d reports are repeated", len(seen), many, len(r.gone))
	}
}

// TestDrainServesListenerBacklog covers connections that wait in the kernel's accept queue when a drain begins. Closing the
// listener at once would reset these connections and lose the requests already written to them.
func TestDrainServesListenerBacklog(t *testing.T) {
	const many = 3 * 64 // more connections than one turn accepts
	for name, pause := range map[string]bool{"in one turn": false, "with the listener paused": true} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, func(o *Options) { o.MaxConnections = 2 * many })
			var all []*routertest.Client
			drained := make(chan struct{})
			r.Do(func() {
				if pause {
					r.server.listener.Pause()
				}
				for i := range many {
					c := r.dial()
					c.Send(get(fmt.Sprint("r", i)))
					all = append(all, c)
				}
				r.server.Drain(func() { close(drained) })
			})
			if pause {
				r.Do(func() { r.server.listener.Resume() })
			}
			for range many {
				r.answer(r.nextRequest(), value)
			}
			for _, c := range all {
				c.Want("value")
				c.WantClosed()
			}
			routertest.Receive(t, drained, "end of the drain")
			r.waitUntilEmpty()
		})
	}
}

// TestDrainCompletesAtConnectionLimit checks that a drain ends if more connections wait at the listener than may be open,
// and that each client gets a reply.
func TestDrainCompletesAtConnectionLimit(t *testing.T) {
	const limit, many = 4, 40
	r := newTestServer(t, func(o *Options) { o.MaxConnections = limit })
	var all []*routertest.Client
	drained := make(chan struct{})
	r.Do(func() {
		for i := range many {
			c := r.dial()
			c.Send(get(fmt.Sprint("r", i)))
			all = append(all, c)
		}
		r.server.Drain(func() { close(drained) })
	})
	go func() {
		for a := range r.requests {
			r.Post(func() { a.Answer([]byte(value)) })
		}
	}()
	for _, c := range all {
		if got := c.Line(); got != "value" && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("got reply %q, want value or -BUSY", got)
		}
		c.WantClosed()
	}
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
	close(r.requests)
}

// TestDrainGivesNewConnectionsGrace checks that a client that has connected just before a drain can still send its first
// command.
func TestDrainGivesNewConnectionsGrace(t *testing.T) {
	r := newTestServer(t, nil)
	active, silent := r.dial(), r.dial()
	r.Until("both accepted connections", func() bool { return r.server.Connections() == 2 })
	drained := make(chan struct{})
	r.Do(func() {
		for c := r.server.lists[stateNew].first; c != nil; c = c.next {
			c.stateSince = r.Now() // restarts the time in the state, in case the test runs slowly
		}
		r.server.Drain(func() { close(drained) })
	})
	active.Send(get("r1"))
	r.answer(r.nextRequest(), value)
	active.Want("value")
	active.WantClosed()
	silent.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.waitUntilEmpty()
}

// stallLoop runs a turn of the loop that lasts for the given duration and calls during at its start. The commands of the
// other clients arrive first and are more than one turn has events for, so that bytes sent by during are still unread when
// the timers of the turn fire.
func (r *testServer) stallLoop(duration time.Duration, others []*routertest.Client, during func()) {
	r.t.Helper()
	r.Do(func() {
		for _, c := range others {
			c.Send(words("PING"))
		}
		during()
		time.Sleep(duration) // the test needs a stalled turn
	})
}

// connectMany opens more connections than one turn has events for.
func (r *testServer) connectMany() (all []*routertest.Client) {
	for range 300 {
		c := r.dial()
		c.Send(words("PING"))
		c.Want("+PONG")
		all = append(all, c)
	}
	return all
}

// TestExpiryReadsArrivedBytesFirst covers bytes that arrive in time, in a turn so long that the time limit passes before the
// bytes are read: the rest of a partial command and a request on a new connection, with and without a drain, and a request
// on an idle connection. The connection must not be closed before these bytes are read.
func TestExpiryReadsArrivedBytesFirst(t *testing.T) {
	const span = time.Duration(2*commandGrace) * time.Microsecond
	wire := get("r1")
	for name, c := range map[string]struct{ first, rest string }{
		"partial command": {wire[:20], wire[20:]}, "idle connection": {words("PING"), wire}, "new connection": {"", wire},
	} {
		for _, drains := range []bool{false, true} {
			if drains && name == "idle connection" {
				continue // a drain closes an idle connection at once
			}
			t.Run(fmt.Sprintf("%s, drain %t", name, drains), func(t *testing.T) {
				r := newTestServer(t, func(o *Options) {
					o.MaxConnections = 1000
					if !drains {
						o.Limits.IdleTime, o.Limits.CommandTime = span/2, span/2
					}
				})
				r.server.options.Limits.IdleTimeUnderPressure = time.Hour
				others := r.connectMany()
				one := r.dial()
				one.Send(c.first)
				if strings.HasPrefix(c.first, "*1") {
					one.Want("+PONG")
				}
				before := r.server.Accepted
				r.Until("the accepted connection", func() bool { return before() == len(others)+1 })
				drained := make(chan struct{})
				r.stallLoop(span, others, func() {
					for s := range r.server.lists {
						for c := r.server.lists[s].first; c != nil; c = c.next {
							c.stateSince = r.Now() // restarts the time in the state, in case the test runs slowly
						}
					}
					one.Send(c.rest)
					if drains {
						r.server.Drain(func() { close(drained) })
					}
				})
				r.answer(r.nextRequest(), value)
				one.Want("value")
				if drains {
					one.WantClosed()
					routertest.Receive(t, drained, "end of the drain")
				}
			})
		}
	}
}

package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/routertest"
)

// ways are those in which a client's connection ends.
var ways = map[string]func(c *routertest.Client){
	"by its end":      func(c *routertest.Client) { c.Close() },
	"by a reset":      func(c *routertest.Client) { c.SetLinger(0); c.Close() },
	"by a half close": func(c *routertest.Client) { c.CloseWrite() },
}

// TestClientThatGoesIsSeenWhereItIsNotRead: too many answers are due, the connection is to be closed behind them, answers are
// not taken. The danger: its requests wait on for a place or a connection, and are sent on for nobody.
func TestClientThatGoesIsSeenWhereItIsNotRead(t *testing.T) {
	for state, put := range map[string]func(r *rig, c *routertest.Client) (due int){
		"too many answers are due": func(r *rig, c *routertest.Client) int {
			for i := range 10 {
				c.Send(get(fmt.Sprint("r", i)))
			}
			for range 4 {
				r.next()
			}
			r.Until("a pause", func() bool { l := r.f.lists[busy].first; return l != nil && l.paused })
			return 4
		},
		"behind QUIT": func(r *rig, c *routertest.Client) int {
			c.Send(get("r0") + get("r1") + words("QUIT") + get("r2"))
			r.next()
			r.next()
			return 2
		},
		"behind bytes that can't be told apart": func(r *rig, c *routertest.Client) int {
			c.Send(get("r0") + "*x\r\n" + get("r1"))
			r.next()
			return 1
		},
		"half a command unread": func(r *rig, c *routertest.Client) int {
			c.Send(get("r0") + get("r1")[:20])
			r.next()
			return 1
		},
	} {
		for way, leave := range ways {
			t.Run(state+", "+way, func(t *testing.T) {
				r := newRig(t, func(o *Options) { o.Limits.MaxPipelined = 4 })
				c := r.dial()
				due := put(r, c)
				leave(c)
				for range due {
					routertest.Receive(t, r.departed, "departure")
				}
				r.empty()
				r.none()
			})
		}
	}
}

// TestClientThatGoesWithAnswersUntakenIsSeen: the socket takes no more of them, and more of its requests are at the desk.
func TestClientThatGoesWithAnswersUntakenIsSeen(t *testing.T) {
	for way, leave := range ways {
		t.Run(way, func(t *testing.T) {
			r := newRig(t, nil)
			c := r.dial()
			c.Send(get("r0") + get("r1"))
			first := r.next()
			r.next()
			r.answer(first, "$"+fmt.Sprint(16<<20)+"\r\n"+strings.Repeat("v", 16<<20)+"\r\n")
			r.Until("an answer that is not taken", func() bool { return r.f.lists[stuck].first != nil })
			leave(c)
			routertest.Receive(t, r.departed, "departure")
			r.empty()
		})
	}
}

// TestFiveHundredThatLeaveAtOnce are each departed once, and nothing is held for them.
func TestFiveHundredThatLeaveAtOnce(t *testing.T) {
	const many = 500
	r := newRig(t, func(o *Options) { o.MaxConnections = many })
	var all []*routertest.Client
	for i := range many {
		c := r.dial()
		c.Send(get(fmt.Sprint("r", i)))
		all = append(all, c)
	}
	for range many {
		r.next()
	}
	r.Do(func() { // so that one turn has them all
		for _, c := range all {
			c.Close()
		}
	})
	seen := map[*ReplySlot]bool{}
	for range many {
		seen[routertest.Receive(t, r.departed, "departure")] = true
	}
	r.empty()
	if len(seen) != many || len(r.departed) > 0 {
		t.Errorf("%d of %d departed, %d twice", len(seen), many, len(r.departed))
	}
}

// TestWhatWaitsAtTheListenerIsServedBeforeItEnds: the kernel has accepted it, and the program has not. The danger: the
// listener's close resets it, and the request that was written to it is lost.
func TestWhatWaitsAtTheListenerIsServedBeforeItEnds(t *testing.T) {
	const many = 3 * 64 // more than one turn takes in
	for name, pause := range map[string]bool{"in one turn": false, "while it is paused": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(o *Options) { o.MaxConnections = 2 * many })
			var all []*routertest.Client
			drained := make(chan struct{})
			r.Do(func() {
				if pause {
					r.f.ln.Pause()
				}
				for i := range many {
					c := r.dial()
					c.Send(get(fmt.Sprint("r", i)))
					all = append(all, c)
				}
				r.f.Drain(func() { close(drained) })
			})
			if pause {
				r.Do(func() { r.f.ln.Resume() })
			}
			for range many {
				r.answer(r.next(), value)
			}
			for _, c := range all {
				c.Want("value")
				c.WantClosed()
			}
			routertest.Receive(t, drained, "end of the drain")
			r.empty()
		})
	}
}

// TestListenerThatWaitsForRoomEndsOnceAllIsTakenIn: more wait than there may be clients, and all are told.
func TestListenerThatWaitsForRoomEndsOnceAllIsTakenIn(t *testing.T) {
	const most, many = 4, 40
	r := newRig(t, func(o *Options) { o.MaxConnections = most })
	var all []*routertest.Client
	drained := make(chan struct{})
	r.Do(func() {
		for i := range many {
			c := r.dial()
			c.Send(get(fmt.Sprint("r", i)))
			all = append(all, c)
		}
		r.f.Drain(func() { close(drained) })
	})
	go func() {
		for a := range r.asked {
			r.Post(func() { a.Answer([]byte(value)) })
		}
	}()
	for _, c := range all {
		if got := c.Line(); got != "value" && !strings.HasPrefix(got, "-BUSY") {
			t.Errorf("answer %q", got)
		}
		c.WantClosed()
	}
	routertest.Receive(t, drained, "end of the drain")
	r.empty()
	close(r.asked)
}

// TestNewConnectionHasAMomentForItsFirstCommand though the drain begins. The danger: who has just connected and is about to ask
// finds the connection closed, with no answer and no other router's address.
func TestNewConnectionHasAMomentForItsFirstCommand(t *testing.T) {
	r := newRig(t, nil)
	asks, silent := r.dial(), r.dial()
	r.Until("both connections", func() bool { return r.f.Connections() == 2 })
	drained := make(chan struct{})
	r.Do(func() {
		for c := r.f.lists[fresh].first; c != nil; c = c.next {
			c.since = r.Now() // however slow the machine is
		}
		r.f.Drain(func() { close(drained) })
	})
	asks.Send(get("r1"))
	r.answer(r.next(), value)
	asks.Want("value")
	asks.WantClosed()
	silent.WantClosed()
	routertest.Receive(t, drained, "end of the drain")
	r.empty()
}

// stalled makes a turn of the loop that lasts until the span has passed; play happens at its beginning. More clients than one
// turn has events for come first, so that what play sends is still unread when the turn's timers fire.
func (r *rig) stalled(span time.Duration, crowd []*routertest.Client, play func()) {
	r.t.Helper()
	r.Do(func() {
		for _, c := range crowd {
			c.Send(words("PING"))
		}
		play()
		time.Sleep(span) // the stall is what is tested
	})
}

// crowd is more clients than one turn has events for.
func (r *rig) crowd() (all []*routertest.Client) {
	for range 300 {
		c := r.dial()
		c.Send(words("PING"))
		c.Want("+PONG")
		all = append(all, c)
	}
	return all
}

// TestWhatHasComeByTheEndOfItsTimeIsRead, though a turn has taken so long that the time is over before anybody looked: the
// last byte of a command as its grace in a drain ends, and as its own time does; a request as its idle connection's ends.
func TestWhatHasComeByTheEndOfItsTimeIsRead(t *testing.T) {
	const span = 2 * commandGrace * time.Microsecond
	wire := get("r1")
	for name, c := range map[string]struct{ first, rest string }{
		"half a command": {wire[:20], wire[20:]}, "an idle connection": {words("PING"), wire}, "a new connection": {"", wire},
	} {
		for _, drains := range []bool{false, true} {
			if drains && name == "an idle connection" {
				continue // it is closed at once
			}
			t.Run(fmt.Sprintf("%s, drains %t", name, drains), func(t *testing.T) {
				r := newRig(t, func(o *Options) {
					o.MaxConnections = 1000
					if !drains {
						o.Limits.IdleTime, o.Limits.CommandTime = span/2, span/2
					}
				})
				r.f.o.Limits.CrowdedIdleTime = time.Hour
				crowd := r.crowd()
				one := r.dial()
				one.Send(c.first)
				if strings.HasPrefix(c.first, "*1") {
					one.Want("+PONG")
				}
				before := r.f.Accepted
				r.Until("the connection", func() bool { return before() == len(crowd)+1 })
				drained := make(chan struct{})
				r.stalled(span, crowd, func() {
					for s := range r.f.lists {
						for c := r.f.lists[s].first; c != nil; c = c.next {
							c.since = r.Now() // however slow the machine was so far
						}
					}
					one.Send(c.rest)
					if drains {
						r.f.Drain(func() { close(drained) })
					}
				})
				r.answer(r.next(), value)
				one.Want("value")
				if drains {
					one.WantClosed()
					routertest.Receive(t, drained, "end of the drain")
				}
			})
		}
	}
}

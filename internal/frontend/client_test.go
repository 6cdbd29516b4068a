package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

func TestPingSaysWhetherCachesAreKnown(t *testing.T) {
	r := newRig(t, nil)
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
	r.empty()
}

// TestAnswersLeaveInTheOrderOfTheirCommands, in whichever order they are given, the front's own among them.
func TestAnswersLeaveInTheOrderOfTheirCommands(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(get("r0") + words("PING") + get("r1") + words("NOTHING") + get("r2"))
	requests := []asked{r.next(), r.next(), r.next()}
	for _, i := range []int{2, 0, 1} {
		r.answer(requests[i], "+"+requests[i].cmd.ID()+"\r\n")
	}
	for _, want := range []string{"+r0", "+PONG", "+r1", "-ERR unknown command", "+r2"} {
		c.Want(want)
	}
	r.Do(func() {
		if n := r.f.BufferedBytes(); n != 0 {
			t.Errorf("%d bytes are held after all was answered", n)
		}
	})
}

// TestCommandsInPiecesAreTakenOnce, wherever they are cut.
func TestCommandsInPiecesAreTakenOnce(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	wire := get("r0") + "\r\n" + words("C.SET", "k", "r1", "c=put,d=9,k=5", "v\r\nv") + get("r2")
	for i := range len(wire) {
		c.Send(wire[i : i+1])
	}
	for i := range 3 {
		a := r.next()
		if a.cmd.ID() != fmt.Sprint("r", i) || a.cmd.Write != (i == 1) {
			t.Errorf("request %d is %+v", i, a.cmd)
		}
		r.answer(a, value)
		c.Want("value")
	}
	r.none()
}

// TestClientThatGoesIsDeparted: the desk hears once of each request that nobody waits for any more, and of no other.
func TestClientThatGoesIsDeparted(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(get("r0") + get("r1") + get("r2"))
	requests := []asked{r.next(), r.next(), r.next()}
	r.answer(requests[1], value)
	c.Close()
	for _, want := range []int{0, 2} {
		if s := routertest.Receive(t, r.departed, "departure"); s != requests[want].ReplySlot {
			t.Errorf("another request than %d departed", want)
		}
	}
	r.empty()
	r.answer(requests[0], value) // the desk may still give it
	r.Do(func() {
		if n := r.f.BufferedBytes(); n != 0 || len(r.departed) > 0 {
			t.Errorf("%d bytes are held, %d more departed", n, len(r.departed))
		}
	})
}

// TestClientThatBreaksOffAsItIsAnsweredAsksNoMore. The danger: an answer of the front's own finds the connection broken
// and closes it, and the commands behind it are taken all the same: nobody departs, and their bytes stay counted.
func TestClientThatBreaksOffAsItIsAnsweredAsksNoMore(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(words("PING"))
	c.Want("+PONG")
	r.Do(func() { // both come before the loop looks
		c.Send(words("PING") + get("r1"))
		c.SetLinger(0)
		c.Close()
	})
	r.empty()
	for range len(r.asked) {
		a := r.next()
		if s := routertest.Receive(t, r.departed, "departure"); s != a.ReplySlot {
			t.Error("another request departed")
		}
	}
}

// TestPipeliningIsBounded: past the bound nothing is read until answers leave, and then all is.
func TestPipeliningIsBounded(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Limits.MaxPipelined = 4 })
	c := r.dial()
	const all = 40
	half := len(get("r0")) / 2
	wire := ""
	for i := range all {
		wire += get(fmt.Sprint("r", i))
	}
	c.Send(wire[:half]) // half a command, then more than the bound
	r.Until("half a command", func() bool { return r.f.lists[partial].first != nil })
	c.Send(wire[half:])
	for i := range all {
		a := r.next()
		if a.cmd.ID() != fmt.Sprint("r", i) {
			t.Fatalf("request %s, want r%d", a.cmd.ID(), i)
		}
		r.Do(func() {
			if n := len(a.client.queue); n > 4 {
				t.Errorf("%d answers are due", n)
			}
		})
		r.answer(a, value)
		c.Want("value")
	}
	r.none()
}

// TestClientThatWaitsAtTheBoundIsNotOverdue. The danger: it has sent more than is read for now, and is closed as one that
// stops in a command, with all that it waits for.
func TestClientThatWaitsAtTheBoundIsNotOverdue(t *testing.T) {
	for name, first := range map[string]int{"from its first command on": 0, "behind half a command": 10} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(o *Options) {
				o.Limits.MaxPipelined = 2
				o.Limits.CommandTime = brief
				o.Limits.IdleTime = brief
				o.Limits.CrowdedIdleTime = brief
			})
			c := r.dial()
			wire := get("r0") + get("r1") + get("r2")
			r.Do(func() {
				if c.Send(wire[:first]); first == 0 {
					c.Send(wire)
				}
			})
			if first > 0 {
				r.Until("half a command", func() bool { return r.f.lists[partial].first != nil })
				c.Send(wire[first:])
			}
			requests := []asked{r.next(), r.next()}
			r.After(3 * brief)
			for _, a := range requests {
				r.answer(a, value)
				c.Want("value")
			}
			r.answer(r.next(), value)
			c.Want("value")
		})
	}
}

// TestCommandsOfOneClientTakeTurns with those of others: what one sends at once is not taken at once.
func TestCommandsOfOneClientTakeTurns(t *testing.T) {
	r := newRig(t, nil)
	many, one := r.dial(), r.dial()
	many.Send(words("PING"))
	many.Want("+PONG")
	one.Send(words("PING"))
	one.Want("+PONG")
	wire := ""
	for i := range 8 * turnsShare {
		wire += get(fmt.Sprint("many", i))
	}
	r.Do(func() { // both have come before the loop looks
		many.Send(wire)
		one.Send(get("one"))
	})
	for before := 0; ; before++ {
		if a := r.next(); a.cmd.ID() == "one" {
			if before > turnsShare {
				t.Errorf("%d commands of another client came first", before)
			}
			return
		}
	}
}

// large is an answer of the greatest size.
var large = "$65536\r\n" + strings.Repeat("v", resp.MaxValueBytes) + "\r\n"

// fillUp has a client ask for more than the machine takes without its reading, and returns how many answers that is.
func fillUp(r *rig, c *routertest.Client) int {
	r.t.Helper()
	const all = 200
	for i := range all {
		c.Send(get(fmt.Sprint("r", i)))
	}
	var requests []asked
	for range all {
		requests = append(requests, r.next())
	}
	r.Do(func() {
		for _, a := range requests {
			a.Answer([]byte(large))
		}
		if c := r.f.lists[stuck].first; c == nil || len(c.unsent) == 0 || len(c.unsent) > len(large) || len(c.queue) < all/4 {
			r.t.Error("the machine took it all, or more than one answer was taken off the queue")
		}
	})
	return all
}

// TestClientThatStopsReadingIsClosed after the time to take an answer, and its memory is given back.
func TestClientThatStopsReadingIsClosed(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Limits.WriteTime = brief })
	c := r.dial()
	fillUp(r, c)
	other := r.dial()
	other.Send(words("PING"))
	other.Want("+PONG")
	other.Close()
	r.empty()
}

// TestClientThatReadsLateGetsAll, in order, and holds nothing after it.
func TestClientThatReadsLateGetsAll(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	all := fillUp(r, c)
	for range all {
		if got := c.Line(); len(got) != resp.MaxValueBytes {
			t.Fatalf("an answer of %d bytes", len(got))
		}
	}
	r.Until("all bytes given back", func() bool { return r.f.BufferedBytes() == 0 })
	c.Send(get("again"))
	r.answer(r.next(), value)
	c.Want("value")
}

// TestTimeToTakeAnAnswerRunsAnewWithEach. The danger: a client that reads steadily but always has more to read is closed
// as one that does not read.
func TestTimeToTakeAnAnswerRunsAnewWithEach(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	all := fillUp(r, c)
	var since Time
	r.Do(func() { since = r.f.lists[stuck].first.since })
	for range all / 2 {
		c.Line()
	}
	r.Until("a later answer", func() bool {
		cl := r.f.lists[stuck].first
		return cl == nil || cl.since > since
	})
}

// TestAnswersThatComeInOneTurnLeaveTogether, in the order of their commands, and what the desk does with its bytes
// afterwards changes none of them. A large one does not wait.
func TestAnswersThatComeInOneTurnLeaveTogether(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	var all []asked
	for i := range 5 {
		c.Send(get(fmt.Sprint("r", i)))
		all = append(all, r.next())
	}
	cl := all[0].client
	r.Do(func() {
		b := []byte(value)
		for i, a := range all[:4] {
			copy(b[4:], fmt.Sprint("val", i))
			a.Answer(b)
			if len(cl.queue) != 5 {
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
	first, second := r.next(), r.next()
	r.Do(func() {
		first.Answer([]byte(large))
		if len(cl.queue) != 1 {
			t.Error("a large answer waits for others")
		}
		second.Answer([]byte(value))
	})
	if got := c.Line(); len(got) != resp.MaxValueBytes {
		t.Errorf("%d bytes of the large answer", len(got))
	}
	c.Want("value")
}

// TestMemoryIsBounded: a command that does not fit is refused before it is asked for, an answer that does not is failed;
// each command has its answer all the same, in its place.
func TestMemoryIsBounded(t *testing.T) {
	const most, all = 64 << 10, 50
	r := newRig(t, func(o *Options) { o.MaxBufferedBytes = most })
	c := r.dial()
	for i := range all {
		c.Send(words("C.SET", "k", fmt.Sprint("r", i), "c=put,d=9,k=5", strings.Repeat("v", 2000)))
		r.Until("the command taken", func() bool {
			cl := r.f.lists[busy].first
			return cl != nil && len(cl.queue) == i+1
		})
	}
	fit := len(r.asked)
	r.Do(func() {
		if held := r.f.BufferedBytes(); held > most+all*int64(len(BusyReply)) || fit*2000 > most {
			t.Errorf("%d bytes are held for %d commands", held, fit)
		}
	})
	if fit < most/3000 {
		t.Errorf("only %d of %d commands were taken", fit, all)
	}
	for range fit {
		r.answer(r.next(), large)
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
		if held := r.f.BufferedBytes(); held != 0 {
			t.Errorf("%d bytes are held after all was answered", held)
		}
	})
	c.Send(get("again"))
	r.answer(r.next(), value)
	c.Want("value")
}

// TestSmallAnswersAreGivenThoughMemoryIsUsedUp: a refusal stays one, and the router is seen to be alive.
func TestSmallAnswersAreGivenThoughMemoryIsUsedUp(t *testing.T) {
	r := newRig(t, nil)
	c := r.dial()
	c.Send(get("r1") + get("r2"))
	refused, failed := r.next(), r.next()
	var filled int64
	r.Do(func() {
		filled = r.f.memory.most - r.f.memory.held
		r.f.memory.take(filled)
		refused.Answer([]byte("-BUSY 100\r\n"))
		failed.Answer([]byte(large))
	})
	c.Send(words("PING"))
	for _, want := range []string{"-BUSY 100", "-ERR failed", "+PONG"} {
		c.Want(want)
	}
	r.Do(func() { r.f.memory.give(filled) })
	c.Send(get("r3"))
	r.answer(r.next(), value)
	c.Want("value")
}

// TestSilentClients: a connection on which nothing or half a command comes is not kept.
func TestSilentClients(t *testing.T) {
	r := newRig(t, nil)
	silent, half := r.dial(), r.dial()
	half.Send("*4\r\n$5\r\nC.G")
	if got := half.Line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("half a command: %q", got)
	}
	half.WantClosed()
	silent.WantClosed()
	r.empty()
}

// TestIdleClientsAreClosed, and sooner where descriptors run short; one that waits for an answer is not idle.
func TestIdleClientsAreClosed(t *testing.T) {
	for _, crowded := range []bool{false, true} {
		r := newRig(t, func(o *Options) {
			if o.Limits.IdleTime = brief; crowded {
				o.Limits.IdleTime, o.Limits.CrowdedIdleTime, o.MaxConnections = time.Hour, brief, 3
			}
		})
		idle, waits := r.dial(), r.dial()
		idle.Send(words("PING"))
		idle.Want("+PONG")
		waits.Send(get("r1"))
		a := r.next()
		idle.WantClosed()
		r.After(2 * brief)
		r.answer(a, value)
		waits.Want("value")
	}
}

// TestClientsThatNeverAskedMakeRoomFirst, so that a crowd of them shuts out nobody.
func TestClientsThatNeverAskedMakeRoomFirst(t *testing.T) {
	r := newRig(t, nil)
	add := func(age Time, s state) *client {
		c := &client{front: r.f}
		c.enter(s)
		c.since -= age
		return c
	}
	r.Do(func() {
		defer func() { r.f.lists = [states]list{} }()
		add(1000, fresh) // its first command may be on its way
		add(50_000_000, busy)
		used := add(5_000_000, idle)
		add(4_000_000, idle)
		if r.f.leastMissed(nil) != used {
			t.Error("not the one idle for longest")
		}
		r.f.lists[fresh] = list{}
		silent := add(100_000, fresh)
		add(1000, fresh)
		if r.f.leastMissed(nil) != silent {
			t.Error("not the one that never asked")
		}
		if r.f.leastMissed(silent) != used {
			t.Error("the newest, which room is made for, makes room itself")
		}
		silent.retired = true
		if c := r.f.leastMissed(nil); c == silent {
			t.Error("one that is closing already")
		}
	})
}

package standin

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
)

// newWarmFixture returns a fixture whose cache holds the key k, and a connection to the cache.
func newWarmFixture(t *testing.T) (*cacheFixture, *peer) {
	t.Helper()
	s := newCacheFixture(t, cacheOptions())
	s.c.Warm([]string{"k"})
	return s, s.dial(t, s.addr)
}

func TestStalledCacheAnswersNothing(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.Hang(true)
	w.send(t, get("k", "i"))
	v := s.dial(t, s.addr)
	v.send(t, words("PING"))
	s.run(t, 10*Second)
	expect(t, "read", w.take(), "")
	expect(t, "PING", v.take(), "")
	s.notes.has(t, "began i at s-1 from r-1", 1)
	s.c.Hang(false)
	s.run(t, Second)
	expect(t, "read, afterwards", w.take(), hit("k", "i", "hit"))
	expect(t, "PING, afterwards", v.take(), "+PONG\r\n")
}

func TestStalledCacheDropsCancelledRequests(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.Hang(true)
	w.send(t, get("k", "i"))
	s.run(t, Second)
	w.conn.Close()
	s.run(t, Second)
	s.c.Hang(false)
	s.run(t, Second)
	s.notes.has(t, "ended i", 1)
	s.notes.has(t, "ran i repeat false", 0)
}

func TestSilentCacheReadsNothing(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.Silent(true)
	w.send(t, get("k", "i"))
	v := s.dial(t, s.addr)
	s.run(t, 10*Second)
	s.notes.has(t, "began i at s-1 from r-1", 0)
	if s.c.Connections() != 1 {
		t.Error("silent cache accepted a connection")
	}
	s.c.Silent(false)
	v.send(t, get("k", "j"))
	s.run(t, Second)
	expect(t, "afterwards", w.take()+v.take(), hit("k", "i", "hit")+hit("k", "j", "hit"))
}

func TestSlowCacheFactor(t *testing.T) {
	s := newCacheFixture(t, cacheOptions())
	s.c.Slow(4)
	near(t, "a request of 60 ms", s.finish(t, 1), 240*Millisecond, 2*Millisecond)
	s.c.Slow(1)
	near(t, "and then", s.finish(t, 1), 60*Millisecond, 2*Millisecond)
}

func TestErrorsBeforeAndAfterExecution(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.ErrRate(1)
	for i := range 40 {
		w.send(t, get("k", fmt.Sprint(i)))
	}
	s.run(t, 10*Second)
	expect(t, "answers", w.take(), strings.Repeat("-ERR failed\r\n", 40))
	ran := 0
	for i := range 40 {
		ran += s.notes.count(fmt.Sprintf("ran %d repeat false", i))
	}
	if ran < 5 || ran > 35 {
		t.Errorf("got %d of 40 requests run", ran)
	}
}

func TestSpoiledRepliesAreMalformed(t *testing.T) {
	for _, c := range []struct {
		how  Spoil
		want string
	}{{Noise, "\x00\xffnoise"}, {WrongLength, "*3\r\n$4000\r\nshort\r\n"}, {Endless, "*3\r\n$10485760\r\nxxxx"},
		{Unreadable, "-ERR \x01\x02xxxx"}} {
		s, w := newWarmFixture(t)
		s.c.Spoil(1, c.how)
		w.send(t, get("k", "i"))
		s.run(t, Second)
		got := w.take()
		if !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: got %.40q", c.how, got)
		}
		if c.how == Endless && len(got) < endlessBytes {
			t.Errorf("endless value ended after %d bytes", len(got))
		}
		s.notes.has(t, "replied i failed", 1)
	}
}

func TestDoubleReplyOrNoise(t *testing.T) {
	good := hit("k", "i", "hit")
	for _, c := range []struct {
		noise bool
		after Time
		more  string
	}{{false, 0, good}, {true, 0, noiseBytes}, {false, 100 * Millisecond, good}, {true, 100 * Millisecond, noiseBytes}} {
		s, w := newWarmFixture(t)
		s.c.Double(1, c.noise, c.after)
		w.send(t, get("k", "i"))
		s.run(t, 90*Millisecond)
		want := good
		if c.after == 0 {
			want += c.more
		}
		expect(t, "at first", w.take(), want)
		s.run(t, 100*Millisecond)
		if c.after > 0 {
			expect(t, "later", w.take(), c.more)
		}
	}
}

func TestConnectionResets(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.ResetAfter(1)
	w.send(t, get("k", "i"))
	s.run(t, Second)
	expect(t, "after", w.take(), hit("k", "i", "hit"))
	if w.end == nil {
		t.Error("connection is open after the reply, want closed")
	}
	s.notes.has(t, "replied i served", 1)

	s, w = newWarmFixture(t)
	s.c.ResetInside(1)
	w.send(t, get("k", "i"))
	s.run(t, Second)
	got, whole := w.take(), hit("k", "i", "hit")
	if w.end == nil || got == "" || got == whole || !strings.HasPrefix(whole, got) {
		t.Errorf("reset inside a reply: got %q and end %v", got, w.end)
	}
	s.notes.has(t, "replied i failed", 1)

	s.c.ResetAccept(true)
	if v := s.dial(t, s.addr); v.end == nil {
		t.Error("connection is open after accept, want closed")
	}
}

func TestDropIdle(t *testing.T) {
	s, w := newWarmFixture(t)
	busy := s.dial(t, s.addr)
	busy.send(t, get("k", "i"))
	s.run(t, Millisecond)
	s.c.DropIdle(false)
	s.run(t, Second)
	if w.end == nil || busy.end != nil {
		t.Error("got a busy connection dropped or an idle connection open")
	}
	s.c.DropIdle(true)
	s.run(t, Second)
	if busy.end != nil {
		t.Error("silently dropped connection was closed before the next request")
	}
	busy.send(t, get("k", "j"))
	s.run(t, Second)
	if busy.end != machine.ErrReset {
		t.Errorf("next request: got end %v, want a reset", busy.end)
	}
	s.notes.has(t, "began j at s-1 from r-1", 0)
}

func TestBusyAndDrainingCachesReject(t *testing.T) {
	for _, set := range []func(*Cache, bool){(*Cache).Busy, (*Cache).Refusing} {
		s, w := newWarmFixture(t)
		w.send(t, get("k", "held"))
		s.run(t, Millisecond)
		set(s.c, true)
		w.send(t, get("k", "new"))
		s.run(t, Second)
		set(s.c, false)
		w.send(t, get("k", "later"))
		s.run(t, Second)
		expect(t, "answers", w.take(), hit("k", "held", "hit")+"-BUSY\r\n"+hit("k", "later", "hit"))
		s.notes.has(t, "ran new repeat false", 0)
	}
}

func TestBadLoadReport(t *testing.T) {
	s, w := newWarmFixture(t)
	s.c.BadReport(true)
	w.send(t, get("k", "i"))
	s.run(t, Second)
	if got := w.take(); !strings.Contains(got, "util=1e999") {
		t.Errorf("got %q", got)
	}
}

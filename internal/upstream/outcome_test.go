package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

// TestAnswersAndTheirOutcomes holds the rows of the protocol's table in which an answer comes.
func TestAnswersAndTheirOutcomes(t *testing.T) {
	for _, c := range []struct {
		wire   string
		result decide.Result
		miss   bool
	}{
		{served, decide.Served, false},
		{"*3\r\n$5\r\nvalue\r\n$4\r\nmiss\r\n$-1\r\n", decide.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$7\r\npending\r\n$22\r\ninflight=7,util=0.61,x\r\n", decide.Served, true},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n", decide.Served, false},
		{"-ERR failed\r\n", decide.Errored, false},
		{"-BUSY\r\n", decide.Rejected, false},
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\n\x00=\xff,util=\r\n", decide.Served, false}, // an unreadable report harms nothing
	} {
		cache := routertest.NewCache(t)
		r := newRig(t, cache.Addr(), nil)
		a := r.send(r.request(nil), long)
		r.command(cache).Reply(t, c.wire)
		o := r.want(c.result)
		if o.of != a || o.rep.Miss != c.miss {
			t.Errorf("%q: miss %v", c.wire, o.rep.Miss)
		}
		value := ""
		if c.result == decide.Served {
			value = "$5\r\nvalue\r\n"
		}
		if got := string(o.rep.Value); got != value {
			t.Errorf("%q: the value is %q", c.wire, got)
		}
	}
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	r := newRig(t, routertest.Refusing(t), nil)
	r.send(r.request(nil), long)
	r.want(decide.ConnectFailed)
}

func TestConnectionThatNeverComesUpNeverRan(t *testing.T) {
	r := newRig(t, routertest.Unreachable(t), func(o *Options) { o.DialTimeout = 50_000 })
	r.send(r.request(nil), long)
	r.want(decide.ConnectFailed)
}

// TestDrainAgainstPendingDial: what waits for a connection is not sent once the drain is known.
func TestDrainAgainstPendingDial(t *testing.T) {
	addr := routertest.Unreachable(t)
	r := newRig(t, addr, nil)
	r.send(r.request(nil), long)
	r.list("c1", addr, false, false)
	r.want(decide.NotSent)
}

func TestBreakAfterTheLastByteMayHaveRun(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	r.command(cache).Conn.Close()
	r.want(decide.ConnectionLost)
}

func TestBreakOnAReusedConnectionMayHaveRun(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.want(decide.Served)
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn != first.Conn {
		t.Error("the idle connection was not used again")
	}
	second.Conn.Close()
	r.want(decide.ConnectionLost)
}

// begun waits until an attempt's first byte has come at a cache that reads no further.
func begun(t *testing.T, conns <-chan net.Conn) net.Conn {
	t.Helper()
	nc := routertest.Receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return nc
}

func TestBreakBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newRig(t, addr, nil)
	r.send(r.huge(), long)
	begun(t, conns).Close() // with bytes unread: a reset
	r.want(decide.ConnectFailed)
}

func TestGivingUpBeforeTheLastByteNeverRan(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newRig(t, addr, nil)
	a := r.send(r.huge(), long)
	begun(t, conns)
	r.Do(func() {
		if !a.Unwritten() {
			t.Error("it passes for written")
		}
		a.Abort(decide.Cancelled)
	})
	r.want(decide.NotSent)
}

// TestLargeCommandGoesOutWholeInPieces: what a socket does not take at once follows, and only then may it run.
func TestLargeCommandGoesOutWholeInPieces(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newRig(t, addr, nil)
	w := r.huge()
	a := r.send(w, long)
	nc := begun(t, conns)
	buf := make([]byte, 1<<20)
	for left := len(w.Encode(nil, 19_000_000)) - 1; left > 0; { // d has five figures, as in the command that went out
		n, err := nc.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		left -= n
	}
	r.Until("the last byte written", func() bool { return !a.Unwritten() })
	nc.Write([]byte(served))
	r.want(decide.Served)
}

func TestNoAnswerInTimeMayHaveRun(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), 3*time.Second)
	r.command(cache)
	r.want(decide.TimedOut)
	r.end(cache)
}

func TestCancelClosesTheConnectionAndMayHaveRun(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	a := r.send(r.request(nil), long)
	r.command(cache)
	r.Do(func() { a.Abort(decide.Cancelled) })
	r.want(decide.Cancelled)
	r.end(cache)
}

// TestMalformedAnswers: a cache gone mad neither ends the router nor keeps it waiting.
func TestMalformedAnswers(t *testing.T) {
	for _, wire := range []string{"+noise\r\n", "+PONG\r\n", "-SYNTAX\r\n", "-ERR no end\n", ":5\r\n", "$5\r\nvalue\r\n",
		"*2\r\n$5\r\nvalue\r\n$-1\r\n", "*4\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
		"*3\r\n+value\r\n", "*3\r\n$3000000000\r\nvvvv", "*3\r\n$+5\r\nvalue\r\n$-1\r\n$-1\r\n",
		"*3\r\n$5\r\nvalue\r\n:1\r\n$-1\r\n", "garbage\r\n", "$-5\r\n", "$9223372036854775807\r\n",
		"*9223372036854775807\r\n", "*3\r\n$5\r\nvalueXX$3\r\nhit\r\n", "*1\r\n$x\r\n", "*-7\r\n", "$3\r\nabcdef\r\n",
		"+" + strings.Repeat("x", 4*512), "*2\r\n$1\r\na\r\n!\r\n", served + "trailing"} {
		cache := routertest.NewCache(t)
		r := newRig(t, cache.Addr(), nil)
		r.send(r.request(nil), long)
		r.command(cache).Reply(t, wire)
		if strings.HasPrefix(wire, served) {
			r.want(decide.Served)
		} else {
			r.want(decide.ConnectionLost) // it has run
		}
		r.end(cache) // it is out of step
	}
}

// TestProbeIsAnsweredByItsOwnAnswer alone: a value is none, and an error says that the cache is not well.
func TestProbeIsAnsweredByItsOwnAnswer(t *testing.T) {
	for wire, want := range map[string]decide.Result{"+PONG\r\n": decide.Served, served: decide.ConnectionLost,
		"-ERR failed\r\n": decide.Errored, "-BUSY\r\n": decide.Rejected} {
		cache := routertest.NewCache(t)
		r := newRig(t, cache.Addr(), nil)
		r.Do(func() { r.pool.Start("c1", &Attempt{SentAt: r.Now(), Deadline: r.Now() + long.Microseconds()}) })
		cmd := r.command(cache)
		if len(cmd.Args) != 1 || cmd.Args[0] != "PING" {
			t.Errorf("the cache was sent %q", cmd.Args)
		}
		cmd.Reply(t, wire)
		r.want(want)
		r.Do(func() {
			if n := r.pool.InFlight("c1"); n != 0 {
				t.Errorf("%d attempts: a probe was counted", n)
			}
		})
	}
}

func TestAnswerInPieces(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	value := strings.Repeat("v", resp.MaxValueBytes)
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	parts := []string{"*", "3\r", "\n$6553", "6\r\n" + value[:1000], value[1000:], "\r", "\n$3\r\nhit", "\r\n$-1\r\n"}
	for _, part := range parts {
		cmd.Reply(t, part)
	}
	if got := r.want(decide.Served).rep.Value; string(got) != "$65536\r\n"+value+"\r\n" {
		t.Errorf("the value has %d bytes", len(got))
	}
}

// TestLateSecondCopyMeetsNoRequest. The danger: a second copy of an answer, a moment behind the
// first, is served to whoever asks next on that connection.
func TestLateSecondCopyMeetsNoRequest(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.want(decide.Served)
	first.Reply(t, served)
	r.Until("the copy", func() bool {
		u := r.pool.caches["c1"]
		return len(u.idle) == 0 || !u.idle[0].nc.Quiet()
	})
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn == first.Conn {
		t.Error("the connection with the copy was used again")
	}
	second.Reply(t, "*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n")
	if got := string(r.want(decide.Served).rep.Value); got != "$3\r\nown\r\n" {
		t.Errorf("the value is %q", got)
	}
}

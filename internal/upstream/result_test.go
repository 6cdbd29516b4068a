package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/testbench/routertest"
)

// TestReplyDeterminesResult checks the result for each kind of reply.
func TestReplyDeterminesResult(t *testing.T) {
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
		{"*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\n\x00=\xff,util=\r\n", decide.Served, false}, // an invalid load report is ignored
	} {
		t.Run(fmt.Sprintf("%q", c.wire), func(t *testing.T) {
			cache := routertest.NewCache(t)
			r := newTestPool(t, cache.Addr(), nil)
			a := r.send(r.request(nil), long)
			r.command(cache).Reply(t, c.wire)
			o := r.wantResult(c.result)
			if o.attempt != a || o.reply.Miss != c.miss {
				t.Errorf("miss %v, same attempt %v", o.reply.Miss, o.attempt == a)
			}
			value := ""
			if c.result == decide.Served {
				value = "$5\r\nvalue\r\n"
			}
			if got := string(o.reply.Value); got != value {
				t.Errorf("the value is %q", got)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	r := newTestPool(t, routertest.Refusing(t), nil)
	r.send(r.request(nil), long)
	r.wantResult(decide.ConnectFailed)
}

func TestDialTimeoutIsConnectFailed(t *testing.T) {
	r := newTestPool(t, routertest.Unreachable(t), func(o *Options) { o.DialTimeout = 50_000 })
	r.send(r.request(nil), long)
	r.wantResult(decide.ConnectFailed)
}

// TestDrainDuringDialIsNotSent checks that an attempt that waits for a connection is not written once the drain is known.
func TestDrainDuringDialIsNotSent(t *testing.T) {
	addr := routertest.Unreachable(t)
	r := newTestPool(t, addr, nil)
	r.send(r.request(nil), long)
	r.updateCache("c1", addr, false, false)
	r.wantResult(decide.NotSent)
}

func TestBreakAfterLastByteIsConnectionLost(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	r.command(cache).Conn.Close()
	r.wantResult(decide.ConnectionLost)
}

func TestBreakOnReusedConnectionIsConnectionLost(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn != first.Conn {
		t.Error("the idle connection was not used again")
	}
	second.Conn.Close()
	r.wantResult(decide.ConnectionLost)
}

// waitForFirstByte waits until an attempt's first byte has arrived at a cache that reads no further.
func waitForFirstByte(t *testing.T, conns <-chan net.Conn) net.Conn {
	t.Helper()
	nc := routertest.Receive(t, conns, "connection")
	if _, err := nc.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return nc
}

func TestBreakBeforeLastByteIsConnectFailed(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newTestPool(t, addr, nil)
	r.send(r.hugeRequest(), long)
	waitForFirstByte(t, conns).Close() // with bytes unread: a reset
	r.wantResult(decide.ConnectFailed)
}

func TestAbortBeforeLastByteIsNotSent(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newTestPool(t, addr, nil)
	a := r.send(r.hugeRequest(), long)
	waitForFirstByte(t, conns)
	r.Do(func() {
		if !a.Unwritten() {
			t.Error("it counts as written")
		}
		a.Abort(decide.Cancelled)
	})
	r.wantResult(decide.NotSent)
}

// TestLargeCommandIsWrittenInPieces checks that what a socket does not take at once is written later, and that the attempt
// counts as unwritten until then.
func TestLargeCommandIsWrittenInPieces(t *testing.T) {
	addr, conns := routertest.DeafCache(t)
	r := newTestPool(t, addr, nil)
	w := r.hugeRequest()
	a := r.send(w, long)
	nc := waitForFirstByte(t, conns)
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
	r.wantResult(decide.Served)
}

func TestDeadlineWithoutReplyIsTimedOut(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), 3*time.Second)
	r.command(cache)
	r.wantResult(decide.TimedOut)
	r.waitForEnd(cache)
}

func TestCancelClosesConnection(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	a := r.send(r.request(nil), long)
	r.command(cache)
	r.Do(func() { a.Abort(decide.Cancelled) })
	r.wantResult(decide.Cancelled)
	r.waitForEnd(cache)
}

// TestMalformedReplyIsConnectionLost checks that the connection ends at an invalid reply. The request has run.
func TestMalformedReplyIsConnectionLost(t *testing.T) {
	for _, wire := range []string{"+noise\r\n", "+PONG\r\n", "-SYNTAX\r\n", "-ERR no end\n", ":5\r\n", "$5\r\nvalue\r\n",
		"*2\r\n$5\r\nvalue\r\n$-1\r\n", "*4\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n$-1\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
		"*3\r\n+value\r\n", "*3\r\n$3000000000\r\nvvvv", "*3\r\n$+5\r\nvalue\r\n$-1\r\n$-1\r\n",
		"*3\r\n$5\r\nvalue\r\n:1\r\n$-1\r\n", "garbage\r\n", "$-5\r\n", "$9223372036854775807\r\n",
		"*9223372036854775807\r\n", "*3\r\n$5\r\nvalueXX$3\r\nhit\r\n", "*1\r\n$x\r\n", "*-7\r\n", "$3\r\nabcdef\r\n",
		"+" + strings.Repeat("x", 4*512), "*2\r\n$1\r\na\r\n!\r\n", served + "trailing"} {
		t.Run(fmt.Sprintf("%.60q", wire), func(t *testing.T) {
			cache := routertest.NewCache(t)
			r := newTestPool(t, cache.Addr(), nil)
			r.send(r.request(nil), long)
			r.command(cache).Reply(t, wire)
			if strings.HasPrefix(wire, served) {
				r.wantResult(decide.Served)
			} else {
				r.wantResult(decide.ConnectionLost) // it has run
			}
			r.waitForEnd(cache) // what follows can not be matched to requests
		})
	}
}

// TestHealthCheckTakesOnlyItsReply checks that a value is no reply to a health check, and that an error is one of an unhealthy
// cache.
func TestHealthCheckTakesOnlyItsReply(t *testing.T) {
	for wire, want := range map[string]decide.Result{"+PONG\r\n": decide.Served, served: decide.ConnectionLost,
		"-ERR failed\r\n": decide.Errored, "-BUSY\r\n": decide.Rejected} {
		t.Run(fmt.Sprintf("%q", wire), func(t *testing.T) {
			cache := routertest.NewCache(t)
			r := newTestPool(t, cache.Addr(), nil)
			r.Do(func() { r.pool.Start("c1", &Attempt{SentAt: r.Now(), Deadline: r.Now() + long.Microseconds()}) })
			cmd := r.command(cache)
			if len(cmd.Args) != 1 || cmd.Args[0] != "PING" {
				t.Errorf("the cache was sent %q", cmd.Args)
			}
			cmd.Reply(t, wire)
			r.wantResult(want)
			r.Do(func() {
				if n := r.pool.InFlight("c1"); n != 0 {
					t.Errorf("%d attempts: a health check was counted", n)
				}
			})
		})
	}
}

func TestSplitReplyIsReadWhole(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	value := strings.Repeat("v", resp.MaxValueBytes)
	r.send(r.request(nil), long)
	cmd := r.command(cache)
	parts := []string{"*", "3\r", "\n$6553", "6\r\n" + value[:1000], value[1000:], "\r", "\n$3\r\nhit", "\r\n$-1\r\n"}
	for _, part := range parts {
		cmd.Reply(t, part)
	}
	if got := r.wantResult(decide.Served).reply.Value; string(got) != "$65536\r\n"+value+"\r\n" {
		t.Errorf("the value has %d bytes", len(got))
	}
}

// TestRepeatedReplyEndsIdleConnection checks that a copy of a reply, a moment behind the first, is not taken for the reply to
// the next request on that connection.
func TestRepeatedReplyEndsIdleConnection(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	r.send(r.request(nil), long)
	first := r.command(cache)
	first.Reply(t, served)
	r.wantResult(decide.Served)
	first.Reply(t, served)
	r.Until("the copy", func() bool {
		u := r.pool.caches["c1"]
		return len(u.idle) == 0 || !u.idle[0].socket.Quiet()
	})
	r.send(r.request(nil), long)
	second := r.command(cache)
	if second.Conn == first.Conn {
		t.Error("the connection with the copy was used again")
	}
	second.Reply(t, "*3\r\n$3\r\nown\r\n$-1\r\n$-1\r\n")
	if got := string(r.wantResult(decide.Served).reply.Value); got != "$3\r\nown\r\n" {
		t.Errorf("the value is %q", got)
	}
}

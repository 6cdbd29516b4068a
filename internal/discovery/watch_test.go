package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/httpclient"
	"starlingwinch/internal/limits"
	"starlingwinch/internal/retry"
	"starlingwinch/internal/testbench/routertest"
)

// follower runs a Watch on a loop, and passes on what its callbacks get.
type follower struct {
	*routertest.Loop
	t        *testing.T
	w        *Watch
	lists    chan List
	failures chan error
}

func follow(t *testing.T, addr string, after int64, edit func(*limits.Discovery)) *follower {
	t.Helper()
	f := &follower{Loop: routertest.NewLoop(t, nil), t: t, lists: make(chan List, 1000), failures: make(chan error, 10)}
	bounds := limits.Default().Discovery
	if edit != nil {
		edit(&bounds)
	}
	f.Do(func() {
		f.w = Follow(f.Loop, addr, Options{Discovery: bounds}, after, func(l List) { f.lists <- l }, func(err error) { f.failures <- err })
	})
	return f
}

// wantFailed waits for the failure of the watch, with this text in its error, and checks that nothing follows it.
func (f *follower) wantFailed(text string) error {
	f.t.Helper()
	err := routertest.Receive(f.t, f.failures, "failure of the call")
	if !strings.Contains(err.Error(), text) {
		f.t.Errorf("error %q, want %q", err, text)
	}
	f.Do(func() {
		if f.w.client.Busy() || f.w.client.Connected() || !f.w.stopped {
			f.t.Error("a failed watch has a call or a connection")
		}
	})
	f.wantNothing()
	return err
}

// wantTimedOut waits for the timeout of the call, and checks that its connection stays open.
func (f *follower) wantTimedOut() {
	f.t.Helper()
	if err := routertest.Receive(f.t, f.failures, "timeout of the call"); !errors.Is(err, httpclient.ErrTimeout) {
		f.t.Errorf("error %q, want a timeout", err)
	}
	f.Do(func() {
		if !f.w.TimedOut() || !f.w.client.Connected() {
			f.t.Error("the connection of a call that timed out is closed")
		}
	})
	f.wantNothing()
}

// wantNothing checks that no callback was called.
func (f *follower) wantNothing() {
	f.t.Helper()
	select {
	case l := <-f.lists:
		f.t.Errorf("list %+v", l)
	case err := <-f.failures:
		f.t.Errorf("failed: %v", err)
	default:
	}
}

// rawCall is one request as a raw discovery received it.
type rawCall struct {
	*http.Request
	net.Conn
}

// answer writes bytes as they are.
func (c rawCall) answer(t *testing.T, wire string) {
	t.Helper()
	if _, err := io.WriteString(c.Conn, wire); err != nil {
		t.Errorf("discovery could not answer: %v", err)
	}
}

// rawDiscovery hands each request to the test, which writes the answer byte by byte if it likes.
func rawDiscovery(t *testing.T) (addr string, calls <-chan rawCall) {
	t.Helper()
	addr, conns := routertest.DeafCache(t) // a listener that does nothing by itself
	handed := make(chan rawCall, 100)
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case nc := <-conns:
				go func() {
					r := bufio.NewReader(nc)
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						handed <- rawCall{req, nc}
					}
				}()
			case <-over:
				return
			}
		}
	}()
	return addr, handed
}

// withLength is an answer with a Content-Length.
func withLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestWatchPollsForChangesAfterEachAnswer, and for the full list first where none is known, over one connection.
func TestWatchPollsForChangesAfterEachAnswer(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, nil)
	first := routertest.Receive(t, calls, "call")
	if first.RequestURI != "/discovery/hosts" || first.Host != addr {
		t.Errorf("call %s to %s", first.RequestURI, first.Host)
	}
	first.answer(t, withLength(hosts(7, true, host("c1", "127.0.0.1:1", "in_service"))))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 7 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("list %+v", l)
	}
	for index := range 3 {
		c := routertest.Receive(t, calls, "call")
		after, wait := 0, Time(0)
		if _, err := fmt.Sscanf(c.RequestURI, "/discovery/hosts?after=%d&wait_ms=%d", &after, &wait); err != nil ||
			after != 7+index || wait*1000 > retry.MaxWatchWait || wait*1000 < retry.MaxWatchWait/4 {
			t.Errorf("call %s, want one for the changes after %d, of a second to four", c.RequestURI, 7+index)
		}
		if c.Conn != first.Conn {
			t.Error("another connection was opened")
		}
		c.answer(t, withLength(hosts(8+index, false)))
		routertest.Receive(t, f.lists, "list")
	}
}

func TestInvalidAnswerFailsWatch(t *testing.T) {
	for name, body := range map[string]string{
		"status 503":          "",
		"not JSON":            "not JSON",
		"empty object":        "{}",
		"no endpoints":        `{"index":5}`,
		"negative version":    `{"index":-5,"snapshot":true,"endpoints":[]}`,
		"changes of the past": hosts(3, false),
		"nothing can be used": hosts(9, true, host("", "127.0.0.1:1", "in_service")),
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := routertest.Discovery(t)
			f := follow(t, addr, 5, nil)
			routertest.Receive(t, calls, "call").Reply <- body
			err := f.wantFailed("")
			if errors.Is(err, ErrOverloaded) != (body == "") {
				t.Errorf("%q: %v", body, err)
			}
		})
	}
}

// TestChangesWithoutListFailWatch: it is not known what they are changes of.
func TestChangesWithoutListFailWatch(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	f := follow(t, addr, NoIndex, nil)
	routertest.Receive(t, calls, "call").Reply <- hosts(3, false)
	f.wantFailed("do not follow")
}

// TestCallsAreSpacedWhenAnsweredAtOnce, and the watch goes on: the next call comes within the 200 ms that the protocol allows.
func TestCallsAreSpacedWhenAnsweredAtOnce(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	const span = time.Second
	over := make(chan struct{})
	f.Post(func() { f.At(f.Now()+span.Microseconds(), func() { f.w.Stop(); close(over) }) })
	made := 0
	for open := true; open; {
		select {
		case c := <-calls:
			made++
			io.WriteString(c.Conn, withLength(hosts(5, false))) // it may be closed already
		case <-over:
			open = false
		}
	}
	if limit := maxCallBurst + int(span.Microseconds()/retry.CallPause) + 1; made > limit || len(f.lists) < 2 {
		t.Errorf("%d calls in %v, at most %d wanted; %d answers", made, span, limit, len(f.lists))
	}
	if retry.CallPause >= 200_000 {
		t.Errorf("a pause of %d µs ends the watch", retry.CallPause)
	}
}

// TestAnswerInEveryHTTPFraming is read alike, at once and byte by byte.
func TestAnswerInEveryHTTPFraming(t *testing.T) {
	body := hosts(8, false, host("c1", "127.0.0.1:1", "terminating"))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := 0; i < len(body); i += 7 {
		part := body[i:min(i+7, len(body))]
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	chunked += "0\r\n\r\n"
	// White space that looks like the end of the last chunk.
	lines := strings.Replace(body, ",", ",\r\n\r\n", 1)
	misleading := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines)
	for name, c := range map[string]struct {
		wire string
		ends bool // the end of the connection ends it
	}{
		"with a length":               {withLength(body), false},
		"chunked":                     {chunked, false},
		"chunked, with a look-alike":  {misleading, false},
		"without a length":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true},
		"without a length, HTTP/1.0":  {"HTTP/1.0 200 OK\r\n\r\n" + body, true},
		"with a length, then the end": {withLength(body), true},
	} {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", whole ", whole), func(t *testing.T) {
				addr, calls := rawDiscovery(t)
				f := follow(t, addr, 5, nil)
				call := routertest.Receive(t, calls, "call")
				step := len(c.wire)
				if !whole {
					step = 1
				}
				for i := 0; i < len(c.wire); i += step {
					call.answer(t, c.wire[i:i+step])
				}
				if c.ends {
					call.Conn.Close()
				}
				if l := routertest.Receive(t, f.lists, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
					t.Errorf("list %+v", l)
				}
				next := routertest.Receive(t, calls, "next call")
				if !strings.Contains(next.RequestURI, "after=8&") || (next.Conn == call.Conn) == c.ends {
					t.Errorf("call %s; the same connection: %v", next.RequestURI, next.Conn == call.Conn)
				}
			})
		}
	}
}

// TestTruncatedAnswerFailsWatch, however much of it was received.
func TestTruncatedAnswerFailsWatch(t *testing.T) {
	for _, wire := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{", "nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"} {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		c := routertest.Receive(t, calls, "call")
		c.answer(t, wire)
		c.Conn.Close()
		f.wantFailed("")
	}
}

// TestClosedIdleConnectionIsRedialledOnce: the call is idempotent and may be repeated. Where the new connection is closed too,
// it has failed.
func TestClosedIdleConnectionIsRedialledOnce(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withLength(hosts(6, false)))
	routertest.Receive(t, f.lists, "list")
	second := routertest.Receive(t, calls, "second call")
	second.Conn.Close() // as if it had closed it before the call came
	again := routertest.Receive(t, calls, "the same call again")
	if again.RequestURI != second.RequestURI || again.Conn == second.Conn {
		t.Errorf("call %s after %s", again.RequestURI, second.RequestURI)
	}
	again.Conn.Close()
	f.wantFailed("discovery at " + addr)
	select {
	case c := <-calls:
		t.Errorf("called once more: %s", c.RequestURI)
	default:
	}
}

// TestAnswerBeyondItsBoundsFailsWatch, as soon as it is beyond them.
func TestAnswerBeyondItsBoundsFailsWatch(t *testing.T) {
	const maxBody = 64 << 10
	for name, wire := range map[string]string{
		"header":          "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*(64<<10)),
		"declared length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBody+1),
		"length past int": "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
		"body in a chunk": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			maxBody+1, strings.Repeat(" ", maxBody+1)),
		"body without end": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", 3*maxBody+2*(64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := rawDiscovery(t)
			f := follow(t, addr, 5, func(b *limits.Discovery) { b.MaxListSize = maxBody })
			io.WriteString(routertest.Receive(t, calls, "call").Conn, wire) // it may be cut short
			f.wantFailed("")
		})
	}
}

func TestUnansweredCallTimesOutOrFails(t *testing.T) {
	brief := func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond }
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, brief)
	routertest.Receive(t, calls, "call")
	f.wantTimedOut()
	f.Do(f.w.Stop)
	f = follow(t, routertest.Unreachable(t), 5, brief)
	f.wantFailed("")
	f = follow(t, routertest.Refusing(t), 5, nil)
	f.wantFailed("refused")
}

// TestAnswerAfterTimeoutIsPassedOn, and the watch goes on from there: discovery may write just as the call times out, and counts
// what it has written as known to the router.
func TestAnswerAfterTimeoutIsPassedOn(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	f.wantTimedOut()
	call.answer(t, withLength(routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "terminating"))))
	if l := routertest.Receive(t, f.lists, "answer"); l.Index != 7 {
		t.Errorf("list %+v", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn != call.Conn || !strings.Contains(next.RequestURI, "?after=7&") {
		t.Errorf("the watch does not go on: %s", next.RequestURI)
	}
	// It times out once more, and then fails.
	f.wantTimedOut()
	next.Conn.Close()
	routertest.Receive(t, calls, "the same call, on a new connection").Conn.Close()
	f.wantFailed("ended before an answer")
}

// TestRedirectIsNotFollowed: it would lead away from the configured address.
func TestRedirectIsNotFollowed(t *testing.T) {
	elsewhere, calls := rawDiscovery(t)
	addr, first := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	routertest.Receive(t, first, "call").answer(t, fmt.Sprintf(
		"HTTP/1.1 302 Found\r\nLocation: http://%s/discovery/hosts\r\nContent-Length: 0\r\n\r\n", elsewhere))
	f.wantFailed("status 302")
	select {
	case c := <-calls:
		t.Errorf("call %s", c.RequestURI)
	default:
	}
}

// TestBytesAfterAnswerAreNotReadAsTheNext: the connection is closed instead.
func TestBytesAfterAnswerAreNotReadAsTheNext(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withLength(hosts(6, false))+withLength(hosts(60, true)))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 6 {
		t.Errorf("list %+v", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn == first.Conn {
		t.Error("the connection with bytes after its answer was used again")
	}
	f.wantNothing()
}

// TestStopSilencesWatch, whatever it was doing.
func TestStopSilencesWatch(t *testing.T) {
	t.Run("while a call is out", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		c := routertest.Receive(t, calls, "call")
		f.Do(f.w.Stop)
		if _, err := c.Conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection of the call stays open")
		}
		f.Do(func() {
			if f.w.client.Busy() || f.w.client.Connected() {
				t.Error("a stopped watch has a call or a connection")
			}
		})
		f.wantNothing()
	})
	t.Run("while it dials", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := &follower{Loop: routertest.NewLoop(t, nil), t: t, lists: make(chan List, 9), failures: make(chan error, 9)}
		f.Do(func() {
			f.w = Follow(f.Loop, addr, Options{Discovery: limits.Default().Discovery}, 5, func(l List) { f.lists <- l },
				func(err error) { f.failures <- err })
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("a call was made")
		}
		f.wantNothing()
	})
	t.Run("while a list is read", func(t *testing.T) {
		f := follow(t, routertest.SilentDiscovery(t), 5, nil)
		f.Do(func() {
			f.w.parse([]byte(hosts(9, true)))
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		f.wantNothing()
	})
	t.Run("while the next call is delayed", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		routertest.Receive(t, calls, "call").answer(t, withLength(hosts(6, false)))
		routertest.Receive(t, f.lists, "list")
		second := routertest.Receive(t, calls, "call")
		f.Do(func() { f.w.pace.tokens = -1000 })
		second.answer(t, withLength(hosts(7, false)))
		routertest.Receive(t, f.lists, "list")
		f.Do(f.w.Stop)
		f.After(250 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("a call was made")
		}
		f.wantNothing()
	})
}

// TestResetDoesNotEndAnswerWithoutLength: what was received before a reset may be a part of the list, without its drains.
func TestResetDoesNotEndAnswerWithoutLength(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, nil)
	call := routertest.Receive(t, calls, "call")
	call.answer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+hosts(8, true, host("c1", "127.0.0.1:1", "in_service")))
	f.Until("the answer's bytes", func() bool { return f.w.client.ReceivedBytes() > 0 })
	call.Conn.(*net.TCPConn).SetLinger(0)
	call.Conn.Close()
	f.wantFailed("ended before an answer")
}

// TestSilenceBetweenChunksTimesOut, and the answer is passed on once its other chunks come.
func TestSilenceBetweenChunksTimesOut(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	body := hosts(8, false, host("c1", "127.0.0.1:1", "terminating"))
	call.answer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 20, body[:20]))
	f.wantTimedOut()
	call.answer(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-20, body[20:]))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("list %+v", l)
	}
}

// TestChunkedBodyWithLastChunkLookalike: an indented list may hold a blank line. Where a read ends just behind it, the answer is
// incomplete, not malformed.
func TestChunkedBodyWithLastChunkLookalike(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	call := routertest.Receive(t, calls, "call")
	body := strings.Replace(hosts(8, false, host("c1", "127.0.0.1:1", "terminating")), ",", ",\r\n\r\n", 1)
	wire := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	lookalikeEnd := strings.Index(wire, ",\r\n\r\n") + len(",\r\n\r\n")
	call.answer(t, wire[:lookalikeEnd])
	f.Until("all of it", func() bool { return f.w.client.ReceivedBytes() == lookalikeEnd || f.w.stopped })
	f.wantNothing()
	call.answer(t, wire[lookalikeEnd:])
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("list %+v", l)
	}
}

// TestWatchesDrawDifferentWaits, so that routers whose watches fall silent together do not all call again at once.
func TestWatchesDrawDifferentWaits(t *testing.T) {
	addr, calls := rawDiscovery(t)
	queries := map[string]bool{}
	for range 8 {
		follow(t, addr, 5, nil)
		queries[routertest.Receive(t, calls, "call").RequestURI] = true
	}
	if len(queries) < 2 {
		t.Errorf("eight watches all poll with %v", queries)
	}
}

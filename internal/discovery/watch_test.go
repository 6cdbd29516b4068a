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

// testWatch runs a Watch on an event loop and records the arguments of its callbacks.
type testWatch struct {
	*routertest.Loop
	t        *testing.T
	w        *Watch
	lists    chan List
	failures chan error
}

func follow(t *testing.T, addr string, after int64, edit func(*limits.Discovery)) *testWatch {
	t.Helper()
	f := &testWatch{Loop: routertest.NewLoop(t, nil), t: t, lists: make(chan List, 1000), failures: make(chan error, 10)}
	bounds := limits.Default().Discovery
	if edit != nil {
		edit(&bounds)
	}
	f.Do(func() {
		f.w = Follow(f.Loop, addr, Options{Discovery: bounds}, after, func(l List) { f.lists <- l }, func(err error) { f.failures <- err })
	})
	return f
}

// wantFailed waits for the failure of the watch with an error that contains text, and checks that no other callback is called.
func (f *testWatch) wantFailed(text string) error {
	f.t.Helper()
	err := routertest.Receive(f.t, f.failures, "failure of the call")
	if !strings.Contains(err.Error(), text) {
		f.t.Errorf("got error %q, want %q in it", err, text)
	}
	f.Do(func() {
		if f.w.client.Busy() || f.w.client.Connected() || !f.w.stopped {
			f.t.Error("the failed watch still has a call or a connection, or is not stopped")
		}
	})
	f.wantNoCallback()
	return err
}

// wantTimedOut waits for the timeout of the call and checks that the connection of the call stays open.
func (f *testWatch) wantTimedOut() {
	f.t.Helper()
	if err := routertest.Receive(f.t, f.failures, "timeout of the call"); !errors.Is(err, httpclient.ErrTimeout) {
		f.t.Errorf("got error %q, want a timeout", err)
	}
	f.Do(func() {
		if !f.w.TimedOut() || !f.w.client.Connected() {
			f.t.Error("the watch does not report a timeout, or the connection of the call is closed")
		}
	})
	f.wantNoCallback()
}

// wantNoCallback checks that no callback was called.
func (f *testWatch) wantNoCallback() {
	f.t.Helper()
	select {
	case l := <-f.lists:
		f.t.Errorf("got list %+v, want no callback", l)
	case err := <-f.failures:
		f.t.Errorf("got failure %v, want no callback", err)
	default:
	}
}

// rawCall is a request that rawDiscovery received, and its connection.
type rawCall struct {
	*http.Request
	net.Conn
}

// answer writes bytes to the connection unchanged.
func (c rawCall) answer(t *testing.T, wire string) {
	t.Helper()
	if _, err := io.WriteString(c.Conn, wire); err != nil {
		t.Errorf("writing the answer failed: %v", err)
	}
}

// rawDiscovery starts a discovery server that passes each request to the test. The test writes the bytes of the answer.
func rawDiscovery(t *testing.T) (addr string, calls <-chan rawCall) {
	t.Helper()
	addr, conns := routertest.DeafCache(t) // accepts connections, and neither reads nor writes
	received := make(chan rawCall, 100)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
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
						received <- rawCall{req, nc}
					}
				}()
			case <-done:
				return
			}
		}
	}()
	return addr, received
}

// withContentLength returns an HTTP response with a Content-Length and this body.
func withContentLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestWatchPollsForChangesAfterEachAnswer checks that a watch first fetches the full list and then polls for changes, on one connection.
func TestWatchPollsForChangesAfterEachAnswer(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, nil)
	first := routertest.Receive(t, calls, "call")
	if first.RequestURI != "/discovery/hosts" || first.Host != addr {
		t.Errorf("got first call %s to %s, want /discovery/hosts to %s", first.RequestURI, first.Host, addr)
	}
	first.answer(t, withContentLength(hosts(7, true, host("c1", "127.0.0.1:1", "in_service"))))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 7 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("got list %+v, want the full list of version 7 with one endpoint", l)
	}
	for index := range 3 {
		c := routertest.Receive(t, calls, "call")
		after, wait := 0, Time(0)
		if _, err := fmt.Sscanf(c.RequestURI, "/discovery/hosts?after=%d&wait_ms=%d", &after, &wait); err != nil ||
			after != 7+index || wait*1000 > retry.MaxWatchWait || wait*1000 < retry.MaxWatchWait/4 {
			t.Errorf("got call %s, want a poll for the changes after %d with a wait of one to four seconds", c.RequestURI, 7+index)
		}
		if c.Conn != first.Conn {
			t.Error("the watch opened another connection")
		}
		c.answer(t, withContentLength(hosts(8+index, false)))
		routertest.Receive(t, f.lists, "list")
	}
}

func TestInvalidAnswerFailsWatch(t *testing.T) {
	for name, body := range map[string]string{
		"status 503":                     "",
		"not JSON":                       "not JSON",
		"empty object":                   "{}",
		"no endpoints":                   `{"index":5}`,
		"negative version":               `{"index":-5,"snapshot":true,"endpoints":[]}`,
		"changes up to an older version": hosts(3, false),
		"no usable entry":                hosts(9, true, host("", "127.0.0.1:1", "in_service")),
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := routertest.Discovery(t)
			f := follow(t, addr, 5, nil)
			routertest.Receive(t, calls, "call").Reply <- body
			err := f.wantFailed("")
			if errors.Is(err, ErrOverloaded) != (body == "") {
				t.Errorf("answer %q: got error %v, want ErrOverloaded only for status 503", body, err)
			}
		})
	}
}

// TestChangesWithoutListFailWatch checks that a watch without a list rejects changes, because the version that they follow is unknown.
func TestChangesWithoutListFailWatch(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	f := follow(t, addr, NoIndex, nil)
	routertest.Receive(t, calls, "call").Reply <- hosts(3, false)
	f.wantFailed("do not follow")
}

// TestCallsAreSpacedWhenAnsweredImmediately checks that a watch limits its call rate, but calls within the 200 ms that the protocol allows.
func TestCallsAreSpacedWhenAnsweredImmediately(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	const span = time.Second
	done := make(chan struct{})
	f.Post(func() { f.At(f.Now()+span.Microseconds(), func() { f.w.Stop(); close(done) }) })
	made := 0
	for open := true; open; {
		select {
		case c := <-calls:
			made++
			io.WriteString(c.Conn, withContentLength(hosts(5, false))) // fails if the watch has closed the connection
		case <-done:
			open = false
		}
	}
	if limit := maxCallBurst + int(span.Microseconds()/retry.MinCallInterval) + 1; made > limit || len(f.lists) < 2 {
		t.Errorf("got %d calls in %v and %d answers, want at most %d calls and at least 2 answers", made, span, len(f.lists), limit)
	}
	if retry.MinCallInterval >= 200_000 {
		t.Errorf("got a pause of %d µs, want less than the 200,000 that end the watch", retry.MinCallInterval)
	}
}

// TestAnswerInEveryHTTPFraming checks that an answer is parsed in each framing, whether it arrives in one write or byte by byte.
func TestAnswerInEveryHTTPFraming(t *testing.T) {
	body := hosts(8, false, host("c1", "127.0.0.1:1", "terminating"))
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := 0; i < len(body); i += 7 {
		part := body[i:min(i+7, len(body))]
		chunked += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	chunked += "0\r\n\r\n"
	// A blank line in the body has the same bytes as the end of the last chunk.
	lines := strings.Replace(body, ",", ",\r\n\r\n", 1)
	misleading := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines)
	for name, c := range map[string]struct {
		wire string
		ends bool // the server closes the connection after the answer
	}{
		"with a length":              {withContentLength(body), false},
		"chunked":                    {chunked, false},
		"chunked, with a blank line": {misleading, false},
		"without a length":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true},
		"without a length, HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\n" + body, true},
		"with a length, then closed": {withContentLength(body), true},
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
					t.Errorf("got list %+v, want version 8 with one endpoint", l)
				}
				next := routertest.Receive(t, calls, "next call")
				if c.ends && strings.Contains(c.wire, "Content-Length:") && next.Conn == call.Conn {
					// The call was sent before the close, because the length ends the answer. The watch must repeat it.
					early := next
					next = routertest.Receive(t, calls, "repeated call")
					if next.RequestURI != early.RequestURI {
						t.Errorf("got call %s, want %s again", next.RequestURI, early.RequestURI)
					}
				}
				if !strings.Contains(next.RequestURI, "after=8&") || (next.Conn == call.Conn) == c.ends {
					t.Errorf("got call %s, connection reused %v, want a call after 8, %v", next.RequestURI, next.Conn == call.Conn, !c.ends)
				}
			})
		}
	}
}

// TestTruncatedAnswerFailsWatch checks that a connection closed at any part of an answer fails the watch.
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

// TestClosedIdleConnectionIsRedialedOnce checks that the watch repeats a call, which is idempotent, if the server has closed the idle
// connection. The call fails if the server closes the new connection too.
func TestClosedIdleConnectionIsRedialedOnce(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withContentLength(hosts(6, false)))
	routertest.Receive(t, f.lists, "list")
	second := routertest.Receive(t, calls, "second call")
	second.Conn.Close() // the watch can't distinguish this from a close before the call arrived
	again := routertest.Receive(t, calls, "the same call again")
	if again.RequestURI != second.RequestURI || again.Conn == second.Conn {
		t.Errorf("got call %s, new connection: %v; want %s on a new connection", again.RequestURI, again.Conn != second.Conn, second.RequestURI)
	}
	again.Conn.Close()
	f.wantFailed("discovery at " + addr)
	select {
	case c := <-calls:
		t.Errorf("got a third call %s, want none", c.RequestURI)
	default:
	}
}

// TestAnswerBeyondLimitsFailsWatch checks that an answer fails the watch as soon as its header or body exceeds a limit.
func TestAnswerBeyondLimitsFailsWatch(t *testing.T) {
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
			io.WriteString(routertest.Receive(t, calls, "call").Conn, wire) // fails if the watch closes the connection before the end
			f.wantFailed("")
		})
	}
}

func TestUnansweredCallTimesOutOrFails(t *testing.T) {
	shortTimeouts := func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond }
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, shortTimeouts)
	routertest.Receive(t, calls, "call")
	f.wantTimedOut()
	f.Do(f.w.Stop)
	f = follow(t, routertest.Unreachable(t), 5, shortTimeouts)
	f.wantFailed("")
	f = follow(t, routertest.Refusing(t), 5, nil)
	f.wantFailed("refused")
}

// TestAnswerAfterTimeoutIsPassedOn checks that a watch passes on a late answer and continues: discovery may write the answer just as
// the call times out, and the router counts as notified of every change that discovery has written.
func TestAnswerAfterTimeoutIsPassedOn(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	f.wantTimedOut()
	call.answer(t, withContentLength(routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "terminating"))))
	if l := routertest.Receive(t, f.lists, "answer"); l.Index != 7 {
		t.Errorf("got list %+v, want version 7", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn != call.Conn || !strings.Contains(next.RequestURI, "?after=7&") {
		t.Errorf("got call %s, want one for the changes after 7 on the same connection", next.RequestURI)
	}
	// The next call times out too, and then fails.
	f.wantTimedOut()
	next.Conn.Close()
	routertest.Receive(t, calls, "the same call, on a new connection").Conn.Close()
	f.wantFailed("ended before an answer")
}

// TestRedirectIsNotFollowed checks that a redirect fails the watch, because its target is not the configured address.
func TestRedirectIsNotFollowed(t *testing.T) {
	redirectTarget, calls := rawDiscovery(t)
	addr, first := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	routertest.Receive(t, first, "call").answer(t, fmt.Sprintf(
		"HTTP/1.1 302 Found\r\nLocation: http://%s/discovery/hosts\r\nContent-Length: 0\r\n\r\n", redirectTarget))
	f.wantFailed("status 302")
	select {
	case c := <-calls:
		t.Errorf("got call %s to the target of the redirect, want none", c.RequestURI)
	default:
	}
}

// TestBytesAfterAnswerAreNotParsedAsNextAnswer checks that the watch closes the connection if bytes follow an answer.
func TestBytesAfterAnswerAreNotParsedAsNextAnswer(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withContentLength(hosts(6, false))+withContentLength(hosts(60, true)))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 6 {
		t.Errorf("got list %+v, want version 6", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn == first.Conn {
		t.Error("the watch reused a connection with bytes after its answer")
	}
	f.wantNoCallback()
}

// TestStopEndsWatch checks that a stopped watch makes no call and calls no callback, in each state of the watch.
func TestStopEndsWatch(t *testing.T) {
	t.Run("while a call is in flight", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		c := routertest.Receive(t, calls, "call")
		f.Do(f.w.Stop)
		if _, err := c.Conn.Read(make([]byte, 1)); err == nil {
			t.Error("the connection of the call is still open")
		}
		f.Do(func() {
			if f.w.client.Busy() || f.w.client.Connected() {
				t.Error("the stopped watch still has a call or a connection")
			}
		})
		f.wantNoCallback()
	})
	t.Run("while it dials", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := &testWatch{Loop: routertest.NewLoop(t, nil), t: t, lists: make(chan List, 9), failures: make(chan error, 9)}
		f.Do(func() {
			f.w = Follow(f.Loop, addr, Options{Discovery: limits.Default().Discovery}, 5, func(l List) { f.lists <- l },
				func(err error) { f.failures <- err })
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("the stopped watch made a call")
		}
		f.wantNoCallback()
	})
	t.Run("while a list is parsed", func(t *testing.T) {
		f := follow(t, routertest.SilentDiscovery(t), 5, nil)
		f.Do(func() {
			f.w.parse([]byte(hosts(9, true)))
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		f.wantNoCallback()
	})
	t.Run("while the next call is delayed", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		routertest.Receive(t, calls, "call").answer(t, withContentLength(hosts(6, false)))
		routertest.Receive(t, f.lists, "list")
		second := routertest.Receive(t, calls, "call")
		f.Do(func() { f.w.limiter.tokens = -1000 })
		second.answer(t, withContentLength(hosts(7, false)))
		routertest.Receive(t, f.lists, "list")
		f.Do(f.w.Stop)
		f.After(250 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("the stopped watch made a call")
		}
		f.wantNoCallback()
	})
}

// TestResetDoesNotEndAnswerWithoutLength guards against accepting the part of a list before a reset, which may lack the drains.
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

// TestSilenceBetweenChunksTimesOut checks a timeout in the middle of an answer, which is passed on after its other chunks arrive.
func TestSilenceBetweenChunksTimesOut(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	body := hosts(8, false, host("c1", "127.0.0.1:1", "terminating"))
	call.answer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 20, body[:20]))
	f.wantTimedOut()
	call.answer(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-20, body[20:]))
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("got list %+v, want version 8 with one endpoint", l)
	}
}

// TestChunkedBodyWithBlankLine checks a body that contains a blank line, as an indented list may. If a read ends right after the blank
// line, the received bytes end like the last chunk, but the answer is incomplete, not malformed.
func TestChunkedBodyWithBlankLine(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	call := routertest.Receive(t, calls, "call")
	body := strings.Replace(hosts(8, false, host("c1", "127.0.0.1:1", "terminating")), ",", ",\r\n\r\n", 1)
	wire := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	firstReadEnd := strings.Index(wire, ",\r\n\r\n") + len(",\r\n\r\n")
	call.answer(t, wire[:firstReadEnd])
	f.Until("the bytes up to the blank line", func() bool { return f.w.client.ReceivedBytes() == firstReadEnd || f.w.stopped })
	f.wantNoCallback()
	call.answer(t, wire[firstReadEnd:])
	if l := routertest.Receive(t, f.lists, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("got list %+v, want version 8 with one endpoint", l)
	}
}

// TestWatchesDrawDifferentWaits guards against a simultaneous call of all routers after their watches fall silent together.
func TestWatchesDrawDifferentWaits(t *testing.T) {
	addr, calls := rawDiscovery(t)
	queries := map[string]bool{}
	for range 8 {
		follow(t, addr, 5, nil)
		queries[routertest.Receive(t, calls, "call").RequestURI] = true
	}
	if len(queries) < 2 {
		t.Errorf("got the same poll %v from eight watches, want different waits", queries)
	}
}

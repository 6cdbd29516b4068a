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

// follower follows a discovery, on a running machine.
type follower struct {
	*routertest.Loop
	t      *testing.T
	w      *Watch
	told   chan List
	failed chan error
}

func follow(t *testing.T, addr string, after int64, edit func(*limits.Discovery)) *follower {
	t.Helper()
	f := &follower{Loop: routertest.NewLoop(t, nil), t: t, told: make(chan List, 1000), failed: make(chan error, 10)}
	bounds := limits.Default().Discovery
	if edit != nil {
		edit(&bounds)
	}
	f.Do(func() {
		f.w = Follow(f.Loop, addr, Options{Discovery: bounds}, after, func(l List) { f.told <- l }, func(err error) { f.failed <- err })
	})
	return f
}

// wantFailed waits for the news that the call has failed, and checks that nothing is heard after it.
func (f *follower) wantFailed(why string) error {
	f.t.Helper()
	err := routertest.Receive(f.t, f.failed, "news of the failed call")
	if !strings.Contains(err.Error(), why) {
		f.t.Errorf("error %q, want %q", err, why)
	}
	f.Do(func() {
		if f.w.client.Busy() || f.w.client.Connected() || !f.w.over {
			f.t.Error("a failed watch holds something")
		}
	})
	f.quiet()
	return err
}

// wantTimedOut waits for the news that the call has no answer in time, and checks that its connection stays.
func (f *follower) wantTimedOut() {
	f.t.Helper()
	if err := routertest.Receive(f.t, f.failed, "news of the late call"); !errors.Is(err, httpclient.ErrTimeout) {
		f.t.Errorf("error %q, want that it is late", err)
	}
	f.Do(func() {
		if !f.w.TimedOut() || !f.w.client.Connected() {
			f.t.Error("a lapsed call's connection is given up")
		}
	})
	f.quiet()
}

// quiet checks that nothing was heard.
func (f *follower) quiet() {
	f.t.Helper()
	select {
	case l := <-f.told:
		f.t.Errorf("told %+v", l)
	case err := <-f.failed:
		f.t.Errorf("failed: %v", err)
	default:
	}
}

// rawCall is one request as a raw discovery got it.
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

// withLength is an answer whose length is told.
func withLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestWatchAsksForWhatComesAfterEachAnswer, and for the whole list first where none is known; one
// connection serves all calls.
func TestWatchAsksForWhatComesAfterEachAnswer(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, nil)
	first := routertest.Receive(t, calls, "call")
	if first.RequestURI != "/discovery/hosts" || first.Host != addr {
		t.Errorf("call %s to %s", first.RequestURI, first.Host)
	}
	first.answer(t, withLength(hosts(7, true, host("c1", "127.0.0.1:1", "in_service"))))
	if l := routertest.Receive(t, f.told, "list"); l.Index != 7 || !l.Full || len(l.Endpoints) != 1 {
		t.Errorf("told %+v", l)
	}
	for index := range 3 {
		c := routertest.Receive(t, calls, "call")
		after, wait := 0, Time(0)
		if _, err := fmt.Sscanf(c.RequestURI, "/discovery/hosts?after=%d&wait_ms=%d", &after, &wait); err != nil ||
			after != 7+index || wait*1000 > retry.MaxWatchWait || wait*1000 < retry.MaxWatchWait/4 {
			t.Errorf("call %s, want one for what comes after %d, of a second to four", c.RequestURI, 7+index)
		}
		if c.Conn != first.Conn {
			t.Error("another connection was opened")
		}
		c.answer(t, withLength(hosts(8+index, false)))
		routertest.Receive(t, f.told, "list")
	}
}

// TestBadAnswersAreFailedCalls: the module hears of each as of a call that failed.
func TestBadAnswersAreFailedCalls(t *testing.T) {
	for _, body := range []string{"", "not JSON", "{}", `{"index":5}`, `{"index":-5,"snapshot":true,"endpoints":[]}`,
		hosts(3, false), // older than what is known
		hosts(9, true, host("", "127.0.0.1:1", "in_service")), // nothing in it can be used
	} {
		addr, calls := routertest.Discovery(t)
		f := follow(t, addr, 5, nil)
		routertest.Receive(t, calls, "call").Reply <- body
		err := f.wantFailed("")
		if errors.Is(err, ErrOverloaded) != (body == "") {
			t.Errorf("%q: %v", body, err)
		}
	}
}

// TestChangesWithoutAListAreAFailedCall: what they are changes of is not known.
func TestChangesWithoutAListAreAFailedCall(t *testing.T) {
	addr, calls := routertest.Discovery(t)
	f := follow(t, addr, NoIndex, nil)
	routertest.Receive(t, calls, "call").Reply <- hosts(3, false)
	f.wantFailed("do not follow")
}

// TestDiscoveryThatAnswersAtOnceIsCalledAtAPace, and the watch goes on: the next call comes within
// the 200 ms that the protocol allows.
func TestDiscoveryThatAnswersAtOnceIsCalledAtAPace(t *testing.T) {
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
	if most := maxCallsInARow + int(span.Microseconds()/retry.CallPause) + 1; made > most || len(f.told) < 2 {
		t.Errorf("%d calls in %v, at most %d wanted; %d answers", made, span, most, len(f.told))
	}
	if retry.CallPause >= 200_000 {
		t.Errorf("a pause of %d µs ends the watch", retry.CallPause)
	}
}

// TestAnswersInEveryFormOfHTTP are read alike, whole and byte by byte.
func TestAnswersInEveryFormOfHTTP(t *testing.T) {
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
				if l := routertest.Receive(t, f.told, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
					t.Errorf("told %+v", l)
				}
				next := routertest.Receive(t, calls, "next call")
				if !strings.Contains(next.RequestURI, "after=8&") || (next.Conn == call.Conn) == c.ends {
					t.Errorf("call %s; the same connection: %v", next.RequestURI, next.Conn == call.Conn)
				}
			})
		}
	}
}

// TestAnswerThatBreaksOffIsAFailedCall, however much of it came.
func TestAnswerThatBreaksOffIsAFailedCall(t *testing.T) {
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

// TestKeptConnectionThatWasClosedInBetweenIsDialledAgainOnce: the call changes nothing and may be made twice. On a new
// connection that breaks too, it has failed.
func TestKeptConnectionThatWasClosedInBetweenIsDialledAgainOnce(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withLength(hosts(6, false)))
	routertest.Receive(t, f.told, "list")
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

// TestAnswersPastTheirBoundsAreFailedCalls, as soon as they are past them.
func TestAnswersPastTheirBoundsAreFailedCalls(t *testing.T) {
	const most = 64 << 10
	for name, wire := range map[string]string{
		"header":           "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*(64<<10)),
		"told length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", most+1),
		"length past int":  "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n",
		"body in a chunk":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", most+1, strings.Repeat(" ", most+1)),
		"body without end": "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", 3*most+2*(64<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := rawDiscovery(t)
			f := follow(t, addr, 5, func(b *limits.Discovery) { b.MaxListSize = most })
			io.WriteString(routertest.Receive(t, calls, "call").Conn, wire) // it may be cut short
			f.wantFailed("")
		})
	}
}

// TestDiscoveryThatDoesNotAnswerInTimeIsAFailedCall: the time is that of the watch and then some.
func TestDiscoveryThatDoesNotAnswerInTimeIsAFailedCall(t *testing.T) {
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

// TestCallThatLapsesIsHeardStill, and the watch goes on from there. The danger: discovery writes just as the call is given up;
// what it has written counts as told.
func TestCallThatLapsesIsHeardStill(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	f.wantTimedOut()
	call.answer(t, withLength(routertest.Hosts(7, true, routertest.Host("c1", "127.0.0.1:7001", "terminating"))))
	if l := routertest.Receive(t, f.told, "answer"); l.Index != 7 {
		t.Errorf("told %+v", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn != call.Conn || !strings.Contains(next.RequestURI, "?after=7&") {
		t.Errorf("the watch does not go on: %s", next.RequestURI)
	}
	// Its end is told once more: by then it has failed.
	f.wantTimedOut()
	next.Conn.Close()
	routertest.Receive(t, calls, "the same call, on a new connection").Conn.Close()
	f.wantFailed("ended before an answer")
}

// TestRedirectIsNotFollowed. The danger: it leads away from the address that was configured.
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

// TestSecondAnswerOnOneCallMeetsNoOtherCall. The danger: bytes behind an answer are taken for the answer to the next call.
func TestSecondAnswerOnOneCallMeetsNoOtherCall(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, nil)
	first := routertest.Receive(t, calls, "call")
	first.answer(t, withLength(hosts(6, false))+withLength(hosts(60, true)))
	if l := routertest.Receive(t, f.told, "list"); l.Index != 6 {
		t.Errorf("told %+v", l)
	}
	next := routertest.Receive(t, calls, "next call")
	if next.Conn == first.Conn {
		t.Error("the connection that is out of step was used again")
	}
	f.quiet()
}

// TestStoppedWatchIsNotHeard, whatever it was doing.
func TestStoppedWatchIsNotHeard(t *testing.T) {
	t.Run("while a call is out", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		c := routertest.Receive(t, calls, "call")
		f.Do(f.w.Stop)
		if _, err := c.Conn.Read(make([]byte, 1)); err == nil {
			t.Error("the call's connection goes on")
		}
		f.Do(func() {
			if f.w.client.Busy() || f.w.client.Connected() {
				t.Error("it holds something")
			}
		})
		f.quiet()
	})
	t.Run("while it dials", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := &follower{Loop: routertest.NewLoop(t, nil), t: t, told: make(chan List, 9), failed: make(chan error, 9)}
		f.Do(func() {
			f.w = Follow(f.Loop, addr, Options{Discovery: limits.Default().Discovery}, 5, func(l List) { f.told <- l },
				func(err error) { f.failed <- err })
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("it has called")
		}
		f.quiet()
	})
	t.Run("while a list is read", func(t *testing.T) {
		f := follow(t, routertest.SilentDiscovery(t), 5, nil)
		f.Do(func() {
			f.w.parse([]byte(hosts(9, true)))
			f.w.Stop()
		})
		f.After(10 * time.Millisecond)
		f.quiet()
	})
	t.Run("while it pauses", func(t *testing.T) {
		addr, calls := rawDiscovery(t)
		f := follow(t, addr, 5, nil)
		routertest.Receive(t, calls, "call").answer(t, withLength(hosts(6, false)))
		routertest.Receive(t, f.told, "list")
		second := routertest.Receive(t, calls, "call")
		f.Do(func() { f.w.credit = -1000 })
		second.answer(t, withLength(hosts(7, false)))
		routertest.Receive(t, f.told, "list")
		f.Do(f.w.Stop)
		f.After(250 * time.Millisecond)
		if len(calls) > 0 {
			t.Error("it has called")
		}
		f.quiet()
	})
}

// TestResetIsNoEnd of an answer without a length, though all of it has come. The danger: the part that had come before a reset
// passes for the whole list, and the drains behind it are not learned.
func TestResetIsNoEnd(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, NoIndex, nil)
	call := routertest.Receive(t, calls, "call")
	call.answer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+hosts(8, true, host("c1", "127.0.0.1:1", "in_service")))
	f.Until("the answer's bytes", func() bool { return f.w.client.ReceivedBytes() > 0 })
	call.Conn.(*net.TCPConn).SetLinger(0)
	call.Conn.Close()
	f.wantFailed("ended before an answer")
}

// TestSilenceBetweenTwoChunksIsSilence, and what comes after it is heard all the same.
func TestSilenceBetweenTwoChunksIsSilence(t *testing.T) {
	addr, calls := rawDiscovery(t)
	f := follow(t, addr, 5, func(b *limits.Discovery) { b.AnswerTime, b.WatchTime = 50*time.Millisecond, 50*time.Millisecond })
	call := routertest.Receive(t, calls, "call")
	body := hosts(8, false, host("c1", "127.0.0.1:1", "terminating"))
	call.answer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", 20, body[:20]))
	f.wantTimedOut()
	call.answer(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-20, body[20:]))
	if l := routertest.Receive(t, f.told, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("told %+v", l)
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
	f.Until("all of it", func() bool { return f.w.client.ReceivedBytes() == lookalikeEnd || f.w.over })
	f.quiet()
	call.answer(t, wire[lookalikeEnd:])
	if l := routertest.Receive(t, f.told, "list"); l.Index != 8 || len(l.Endpoints) != 1 {
		t.Errorf("told %+v", l)
	}
}

// TestWatchesWaitForDifferentTimes. The danger: what makes one of them fall silent takes them all, and all routers ask anew at once.
func TestWatchesWaitForDifferentTimes(t *testing.T) {
	addr, calls := rawDiscovery(t)
	queries := map[string]bool{}
	for range 8 {
		follow(t, addr, 5, nil)
		queries[routertest.Receive(t, calls, "call").RequestURI] = true
	}
	if len(queries) < 2 {
		t.Errorf("eight watches all ask %v", queries)
	}
}

package upstream

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// sendForKey sends a request for a key, and returns the command that the cache receives.
func sendForKey(r *testPool, cache *routertest.Cache, key uint64, nonIdempotent bool) routertest.Command {
	req := r.request(nil)
	req.key, req.nonIdempotent = key, nonIdempotent
	r.send(req, long)
	return r.command(cache)
}

// value returns a reply in wire format whose value is the given text.
func value(text string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(text), text)
}

// TestDuplicateReplyIsNotTakenForNext checks that a duplicate reply that arrives after the next request was written to the
// connection is not taken for the reply to that request.
func TestDuplicateReplyIsNotTakenForNext(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	first := sendForKey(r, cache, 1, false)
	first.Reply(t, value("one"))
	r.wantResult(decide.Served)
	second := sendForKey(r, cache, 2, false)
	if second.Conn != first.Conn {
		t.Fatal("got a second connection, want the first one reused")
	}
	second.Reply(t, value("one")) // a duplicate of the first reply
	r.wantResult(decide.ConnectionLost)
	second.Reply(t, value("two")) // the real reply arrives too late
	routertest.Receive(t, cache.Ended, "end of the connection")
}

// TestEqualRepliesToOneKeyAreServed checks that equal consecutive replies are served if they are for the same key, or for requests
// that must not run twice.
func TestEqualRepliesToOneKeyAreServed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	for range 3 {
		sendForKey(r, cache, 1, false).Reply(t, value("one"))
		r.wantResult(decide.Served)
	}
	for key := range uint64(3) {
		sendForKey(r, cache, 10+key, true).Reply(t, value("done"))
		r.wantResult(decide.Served)
	}
}

// TestEqualRepliesToAllKeysAreServed checks that only the first equal reply is treated as a duplicate if a cache sends equal
// replies to all keys.
func TestEqualRepliesToAllKeysAreServed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	lost := 0
	for key := range uint64(40) {
		sendForKey(r, cache, key, false).Reply(t, value("empty"))
		if got := routertest.Receive(t, r.results, "result"); got.result != decide.Served {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("got %d of 40 equal replies treated as duplicates, want 1", lost)
	}
}

// TestUnsolicitedDuplicateIsRemembered checks that after a cache has sent an unsolicited duplicate, equal replies are treated as
// duplicates even for requests that must not run twice.
func TestUnsolicitedDuplicateIsRemembered(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	first := sendForKey(r, cache, 1, true)
	first.Reply(t, value("done"))
	r.wantResult(decide.Served)
	first.Reply(t, value("done"))
	routertest.Receive(t, cache.Ended, "end of the connection with the duplicate")
	sendForKey(r, cache, 2, true).Reply(t, value("done"))
	r.wantResult(decide.Served) // the first reply on a new connection
	sendForKey(r, cache, 3, true).Reply(t, value("done"))
	r.wantResult(decide.ConnectionLost)
}

package upstream

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// sendForKey has a connection carry a request for a key, and returns its command.
func sendForKey(r *testPool, cache *routertest.Cache, key uint64, unsafe bool) routertest.Command {
	w := r.request(nil)
	w.key, w.nonIdempotent = key, unsafe
	r.send(w, long)
	return r.command(cache)
}

// value returns a reply with a text.
func value(text string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(text), text)
}

// TestRepeatedReplyIsNotTakenForNext checks a copy of a reply that arrives when the connection carries the next request.
func TestRepeatedReplyIsNotTakenForNext(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	first := sendForKey(r, cache, 1, false)
	first.Reply(t, value("one"))
	r.wantResult(decide.Served)
	second := sendForKey(r, cache, 2, false)
	if second.Conn != first.Conn {
		t.Fatal("another connection was used")
	}
	second.Reply(t, value("one")) // a copy
	r.wantResult(decide.ConnectionLost)
	second.Reply(t, value("two")) // its own reply comes too late
	routertest.Receive(t, cache.Ended, "end of the connection")
}

// TestEqualRepliesToOneKeyAreServed checks equal replies to one key, and to requests that must not run twice.
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

// TestEqualRepliesToAllKeysAreServed checks that a cache that sends equal replies to all keys is believed after one mistake.
func TestEqualRepliesToAllKeysAreServed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	lost := 0
	for key := range uint64(40) {
		sendForKey(r, cache, key, false).Reply(t, value("empty"))
		if o := routertest.Receive(t, r.results, "outcome"); o.result != decide.Served {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of 40 equal replies were taken for copies", lost)
	}
}

// TestUnrequestedRepeatIsRemembered checks that a cache that was seen to send a copy is not believed even for requests that
// must not run twice.
func TestUnrequestedRepeatIsRemembered(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newTestPool(t, cache.Addr(), nil)
	first := sendForKey(r, cache, 1, true)
	first.Reply(t, value("done"))
	r.wantResult(decide.Served)
	first.Reply(t, value("done"))
	routertest.Receive(t, cache.Ended, "end of the connection with the copy")
	sendForKey(r, cache, 2, true).Reply(t, value("done"))
	r.wantResult(decide.Served) // the first on a new connection
	sendForKey(r, cache, 3, true).Reply(t, value("done"))
	r.wantResult(decide.ConnectionLost)
}

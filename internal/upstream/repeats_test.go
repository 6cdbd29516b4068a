package upstream

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
	"starlingwinch/internal/testbench/routertest"
)

// asks has one connection carry a request for a key, and returns its command.
func asks(r *rig, cache *routertest.Cache, key uint64, unsafe bool) routertest.Command {
	w := r.request(nil)
	w.key, w.unsafe = key, unsafe
	r.send(w, long)
	return r.command(cache)
}

func value(text string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(text), text)
}

// TestLateCopyOfAnAnswerIsNotTakenForTheNext. The danger: it comes when the connection carries the next
// request, and from then on each one gets the answer to the one before.
func TestLateCopyOfAnAnswerIsNotTakenForTheNext(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	first := asks(r, cache, 1, false)
	first.Reply(t, value("one"))
	r.want(decide.Served)
	second := asks(r, cache, 2, false)
	if second.Conn != first.Conn {
		t.Fatal("another connection was used")
	}
	second.Reply(t, value("one")) // the copy
	r.want(decide.ConnectionLost)
	second.Reply(t, value("two")) // its own comes too late
	routertest.Receive(t, cache.Ended, "end of the connection")
}

// TestEqualAnswersToOneKeyAreServed, and those to writes that may do harm.
func TestEqualAnswersToOneKeyAreServed(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	for range 3 {
		asks(r, cache, 1, false).Reply(t, value("one"))
		r.want(decide.Served)
	}
	for key := range uint64(3) {
		asks(r, cache, 10+key, true).Reply(t, value("done"))
		r.want(decide.Served)
	}
}

// TestCacheThatSaysTheSameOfAllKeysIsBelieved after one mistake.
func TestCacheThatSaysTheSameOfAllKeysIsBelieved(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	lost := 0
	for key := range uint64(40) {
		asks(r, cache, key, false).Reply(t, value("empty"))
		if o := routertest.Receive(t, r.outcomes, "outcome"); o.result != decide.Served {
			lost++
		}
	}
	if lost != 1 {
		t.Errorf("%d of 40 equal answers were taken for copies", lost)
	}
}

// TestCopyWhereNothingWasAskedProvesThem: from then on equal answers to writes that may do harm are
// not believed either.
func TestCopyWhereNothingWasAskedProvesThem(t *testing.T) {
	cache := routertest.NewCache(t)
	r := newRig(t, cache.Addr(), nil)
	first := asks(r, cache, 1, true)
	first.Reply(t, value("done"))
	r.want(decide.Served)
	first.Reply(t, value("done"))
	routertest.Receive(t, cache.Ended, "end of the connection with the copy")
	asks(r, cache, 2, true).Reply(t, value("done"))
	r.want(decide.Served) // the first on a new connection
	asks(r, cache, 3, true).Reply(t, value("done"))
	r.want(decide.ConnectionLost)
}

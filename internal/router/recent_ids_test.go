package router

import (
	"fmt"
	"strings"
	"testing"
)

// TestIDThatMayHaveRunIsNotSentAgain guards against a request that must not run twice running again when its id comes again after its
// client has left. A read may be sent again.
func TestIDThatMayHaveRunIsNotSentAgain(t *testing.T) {
	cache := newFakeCache(t)
	r := start(t, testConfig(t, "127.0.0.1:1", nil, host("c1", cache.Addr(), "in_service")), nil, nil)
	write := words("C.SET", "k", "write", "c=put,d=20000,k=5", "v")
	for _, command := range []string{write, get("read")} {
		leaving := dial(t, r.addr)
		leaving.Send(command)
		receive(t, cache.Commands, "request at the cache")
		leaving.Close()
	}
	r.Until("the end of the requests", func() bool { return len(r.r.requests) == 0 })
	c := dial(t, r.addr)
	c.Send(write)
	if got := c.Line(); !strings.HasPrefix(got, "-ERR the id is that of") {
		t.Errorf("got %q to an id that may have run, want an error", got)
	}
	c.Send(get("read"))
	again := receive(t, cache.Commands, "read at the cache")
	if id := again.Args[2]; id != "read" {
		t.Errorf("the cache received request %s again, want the read", id)
	}
	again.Reply(t, served)
	c.Want("value")
}

// TestRecentIDsAreBoundedInTimeAndNumber checks that ids are dropped in the order in which they were added.
func TestRecentIDsAreBoundedInTimeAndNumber(t *testing.T) {
	const ttl = 1000
	ids := newRecentIDs(ttl)
	for i := range 3 * maxRecentIDs {
		ids.add(fmt.Sprint(i), 1)
	}
	if len(ids.held) != maxRecentIDs || len(ids.added) > 2*maxRecentIDs+1 {
		t.Errorf("got %d ids and %d entries, want %d and at most %d", len(ids.held), len(ids.added), maxRecentIDs, 2*maxRecentIDs+1)
	}
	if first, last := fmt.Sprint(2*maxRecentIDs-1), fmt.Sprint(3*maxRecentIDs-1); ids.contains(first, 1) || !ids.contains(last, 1) {
		t.Error("the set does not hold the latest ids")
	}
	if last := fmt.Sprint(3*maxRecentIDs - 1); !ids.contains(last, ttl) || ids.contains(last, ttl+1) {
		t.Error("the set holds an id for another time than it should")
	}
	ids.add("same", ttl)
	ids.add("same", ttl+1)
	ids.dropOld(2 * ttl)
	if !ids.contains("same", 2*ttl) {
		t.Error("an id that was added again was dropped with its first entry")
	}
}

package router

import (
	"strings"
	"testing"

	"starlingwinch/decide"
)

// TestBooksMakeUpForALostOutcome: whatever the loop loses, the request is answered and its cache's
// place is given back.
func TestBooksMakeUpForALostOutcome(t *testing.T) {
	lines := logged(t)
	cache := newFakeCache(t)
	r := newRig(t, cache.addr(), nil)
	q := r.request(nil)
	r.do(func() {
		r.l.books.Handle(r.l.now, &decide.List{Kind: decide.ListFull, Entries: []decide.Entry{{ID: "c1", Size: 1}}})
		r.l.module = r.l.books
		acts := r.l.books.Handle(r.l.now, &decide.Request{ID: q.id, Class: "read", Key: 1, HasKey: true,
			Deadline: r.l.now + 1000})
		if len(acts) == 0 {
			t.Error("the module did not send it")
		} // and the loop forgets to carry that out
		r.l.now += 10_000_000
		r.l.balance()
		r.l.tell()
		if open := r.l.books.Open(); open != 0 {
			t.Errorf("%d requests are open", open)
		}
	})
	if got := string(receive(t, q.slot.wire, "answer")); !strings.HasPrefix(got, "-") {
		t.Errorf("answered %q", got)
	}
	for !strings.Contains(receive(t, lines, "line of the books"), "books: outcome-missing") {
	}
}

package machine_test

import (
	"slices"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestResumedComesBeforeTheNextCall: a call that takes longer than the span is followed by the word of it, and then by the others.
func TestResumedComesBeforeTheNextCall(t *testing.T) {
	const span = machine.Time(20_000)
	loop := routertest.NewLoop(t, nil)
	calls := make(chan string, 10)
	loop.Do(func() {
		loop.Resumed(span, func() { calls <- "resumed" })
		loop.Post(func() {
			calls <- "long"
			for loop.Late() < span { // the time that passes is what the test is about
			}
		})
		loop.Post(func() { calls <- "next" })
	})
	var got []string
	for range 3 {
		got = append(got, routertest.Receive(t, calls, "call"))
	}
	for got[0] == "resumed" { // this test may have been held up itself
		got = append(got[1:], routertest.Receive(t, calls, "call"))
	}
	if want := []string{"long", "resumed", "next"}; !slices.Equal(got, want) {
		t.Errorf("called %v, want %v", got, want)
	}
}

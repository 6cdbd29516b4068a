package machine_test

import (
	"slices"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/routertest"
)

// TestResumedComesBeforeTheNextCall checks that after a call that takes longer than the span, the loop calls the function
// registered with Resumed before any other pending call.
func TestResumedComesBeforeTheNextCall(t *testing.T) {
	const span = machine.Time(20_000)
	loop := routertest.NewLoop(t, nil)
	calls := make(chan string, 10)
	loop.Do(func() {
		loop.OnResume(span, func() { calls <- "resumed" })
		loop.Post(func() {
			calls <- "long"
			for loop.ClockLag() < span { // block the loop for longer than the span
			}
		})
		loop.Post(func() { calls <- "next" })
	})
	var got []string
	for range 3 {
		got = append(got, routertest.Receive(t, calls, "call"))
	}
	for got[0] == "resumed" { // the host may have delayed the loop before the long call
		got = append(got[1:], routertest.Receive(t, calls, "call"))
	}
	if want := []string{"long", "resumed", "next"}; !slices.Equal(got, want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
}

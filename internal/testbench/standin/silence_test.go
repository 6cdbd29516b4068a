package standin

import "testing"

func TestEarliestArrivalAfterSilence(t *testing.T) {
	f := faults{}
	if got := f.earliestArrival(5 * Second); got != 5*Second {
		t.Errorf("earliest arrival without a silence: got %d", got)
	}
	f.silentFrom, f.silentUntil = 2*Second, 5*Second
	for now, want := range map[Time]Time{
		5 * Second:                 5*Second - 3*Second,
		5*Second + catchUpTime:     2 * Second,
		5*Second + catchUpTime + 1: 5*Second + catchUpTime + 1,
		9 * Second:                 9 * Second,
	} {
		if got := f.earliestArrival(now); got != want {
			t.Errorf("earliest arrival of bytes read at %d: got %d, want %d", now, got, want)
		}
	}
}

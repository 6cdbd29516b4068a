package standin

import "testing"

func TestWhatCameDuringASilenceMayHaveComeAtItsBeginning(t *testing.T) {
	f := faults{}
	if got := f.mayHaveCome(5 * Second); got != 5*Second {
		t.Errorf("without a silence: %d", got)
	}
	f.deafFrom, f.deafTo = 2*Second, 5*Second
	for now, want := range map[Time]Time{
		5 * Second:              5*Second - 3*Second,
		5*Second + caughtUp:     2 * Second,
		5*Second + caughtUp + 1: 5*Second + caughtUp + 1,
		9 * Second:              9 * Second,
	} {
		if got := f.mayHaveCome(now); got != want {
			t.Errorf("read at %d: %d, want %d", now, got, want)
		}
	}
}

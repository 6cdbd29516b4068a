package machine

import (
	"math/rand"
	"slices"
	"testing"
)

func TestTimersFireByTimeThenInOrderOfSetting(t *testing.T) {
	r := startLoop(t, Options{})
	type mark struct {
		at    Time
		index int
	}
	var want, got []mark
	done := make(chan struct{})
	r.runInLoop(func() {
		now := r.Now()
		rng := rand.New(rand.NewSource(1))
		var all []Timer
		for index := range 10_000 {
			at := now + rng.Int63n(5)*1_000
			m := mark{at, index}
			all = append(all, r.At(at, func() { got = append(got, m) }))
			want = append(want, m)
		}
		for index := 9_999; index >= 0; index-- { // also removes timers from the middle of the heap
			if rng.Intn(3) == 0 {
				all[index].Stop()
				all[index].Stop()
				want = slices.Delete(want, index, index+1)
			}
		}
		slices.SortStableFunc(want, func(a, b mark) int { return int(a.at - b.at) })
		r.At(now+5_000, func() { close(done) })
	})
	await(t, "the last timer", done)
	if !slices.Equal(got, want) {
		t.Errorf("got %d timers fired, want %d, ordered by time and then by setting", len(got), len(want))
	}
}

func TestTimersOfOneInstantFireInOrderOfSetting(t *testing.T) {
	r := startLoop(t, Options{})
	var got []int
	done := make(chan struct{})
	r.runInLoop(func() {
		at := r.Now() + 1_000
		for i := range 10_000 {
			r.At(at, func() {
				if got = append(got, i); len(got) == 10_000 {
					close(done)
				}
			})
		}
	})
	await(t, "the last timer", done)
	if !slices.IsSorted(got) {
		t.Error("the timers did not fire in the order of setting")
	}
}

func TestTimerInPastFiresInLaterTurn(t *testing.T) {
	r := startLoop(t, Options{})
	fired, firedBeforePosted := 0, 0
	done := make(chan struct{})
	r.runInLoop(func() {
		var rearm func()
		inAt := true
		rearm = func() {
			if inAt {
				t.Error("a timer fired before At returned")
			}
			if fired++; fired < 1000 {
				inAt = true
				r.At(0, rearm)
				inAt = false
			}
		}
		r.At(0, rearm)
		inAt = false
		r.At(r.Now(), func() {
			if fired > 2 {
				t.Errorf("a due timer waited for %d timers that were set later, want at most 1", fired-1)
			}
			r.Post(func() { firedBeforePosted = fired })
			close(done)
		})
	})
	await(t, "the second timer", done)
	r.waitTurns()
	r.runInLoop(func() {
		if firedBeforePosted > 4 {
			t.Errorf("a posted function waited for %d timers, want at most 4", firedBeforePosted)
		}
	})
}

func TestTimerStoppedBySameInstantDoesNotFire(t *testing.T) {
	r := startLoop(t, Options{})
	done := make(chan struct{})
	r.runInLoop(func() {
		var second Timer
		at := r.Now() + 500
		r.At(at, func() { second.Stop() })
		second = r.At(at, func() { t.Error("a stopped timer fired") })
		r.At(at, func() { close(done) })
	})
	await(t, "the third timer", done)
}

func TestTimerFiresNotEarlyAndNowIsFixedWithinTurn(t *testing.T) {
	r := startLoop(t, Options{})
	done := make(chan struct{})
	r.runInLoop(func() {
		at := r.Now() + 3_000
		r.At(at, func() {
			now := r.Now()
			if now < at {
				t.Errorf("the timer fired %d µs early", at-now)
			}
			for before := r.Wall(); r.Wall() == before; { // wait until the wall clock advances
			}
			if r.Now() != now {
				t.Error("Now advanced within a turn")
			}
			close(done)
		})
	})
	await(t, "the timer", done)
}

package machine

import (
	"math/rand"
	"slices"
	"testing"
)

func TestTimersFireByTimeThenInOrderOfSetting(t *testing.T) {
	r := newRig(t, Options{})
	type mark struct {
		at Time
		nr int
	}
	var want, got []mark
	done := make(chan struct{})
	r.do(func() {
		now := r.Now()
		rng := rand.New(rand.NewSource(1))
		var all []Timer
		for nr := range 10_000 {
			at := now + rng.Int63n(5)*1_000
			m := mark{at, nr}
			all = append(all, r.At(at, func() { got = append(got, m) }))
			want = append(want, m)
		}
		for nr := 9_999; nr >= 0; nr-- { // out of the middle of the heap too
			if rng.Intn(3) == 0 {
				all[nr].Stop()
				all[nr].Stop()
				want = slices.Delete(want, nr, nr+1)
			}
		}
		slices.SortStableFunc(want, func(a, b mark) int { return int(a.at - b.at) })
		r.At(now+5_000, func() { close(done) })
	})
	await(t, "the last timer", done)
	if !slices.Equal(got, want) {
		t.Errorf("%d timers fired, want %d, or in another order", len(got), len(want))
	}
}

func TestTimersOfOneInstantFireInOrderOfSetting(t *testing.T) {
	r := newRig(t, Options{})
	var got []int
	done := make(chan struct{})
	r.do(func() {
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
		t.Error("they fired in another order")
	}
}

func TestTimerInPastFiresInLaterTurn(t *testing.T) {
	r := newRig(t, Options{})
	again, posted := 0, 0
	done := make(chan struct{})
	r.do(func() {
		var self func()
		inside := true
		self = func() {
			if inside {
				t.Error("a timer fired before At had returned")
			}
			if again++; again < 1000 {
				inside = true
				r.At(0, self)
				inside = false
			}
		}
		r.At(0, self)
		inside = false
		r.At(r.Now(), func() {
			if again > 2 {
				t.Errorf("a timer that is due waited for %d others that were set later", again-1)
			}
			r.Post(func() { posted = again })
			close(done)
		})
	})
	await(t, "the second timer", done)
	r.pass()
	r.do(func() {
		if posted > 4 {
			t.Errorf("a posted function waited for %d timers", posted)
		}
	})
}

func TestTimerStoppedBySameInstantDoesNotFire(t *testing.T) {
	r := newRig(t, Options{})
	done := make(chan struct{})
	r.do(func() {
		var second Timer
		at := r.Now() + 500
		r.At(at, func() { second.Stop() })
		second = r.At(at, func() { t.Error("a stopped timer fired") })
		r.At(at, func() { close(done) })
	})
	await(t, "the third timer", done)
}

func TestTimerFiresNotEarlyAndNowIsFixedWithinTurn(t *testing.T) {
	r := newRig(t, Options{})
	done := make(chan struct{})
	r.do(func() {
		at := r.Now() + 3_000
		r.At(at, func() {
			now := r.Now()
			if now < at {
				t.Errorf("it fired %d µs too early", at-now)
			}
			for before := r.Wall(); r.Wall() == before; { // until the clock has gone on
			}
			if r.Now() != now {
				t.Error("Now went on during a call")
			}
			close(done)
		})
	})
	await(t, "the timer", done)
}

package guard

import (
	"math/rand"
	"testing"
)

// Compared with a plain map, for tokens in order, far apart, out of order and below 0.
func TestTokensAreASet(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var got tokens
	want := map[int64]bool{}
	next := int64(0)
	var known []int64
	for range 200_000 {
		token := next
		switch x := rng.Intn(1000); {
		case x == 0:
			next += int64(rng.Intn(64 * tokenWords * 3)) // the window slides, or jumps
		case x < 5:
			token = rng.Int63n(2*next+2) - next
		case x < 500 && len(known) > 0:
			token = known[rng.Intn(len(known))]
		default:
			next++
		}
		known = append(known, token)
		if rng.Intn(2) == 0 {
			if fresh := got.set(token); fresh == want[token] {
				t.Fatalf("set %d: new %v, want %v", token, fresh, !want[token])
			}
			want[token] = true
		} else {
			if had := got.take(token); had != want[token] {
				t.Fatalf("take %d: %v, want %v", token, had, want[token])
			}
			delete(want, token)
		}
	}
}

func TestTimersThatNeverFireHaveABound(t *testing.T) {
	var s tokens
	last := int64(64*tokenWords + 3*mostOld)
	for token := range last + 1 {
		s.set(token)
	}
	if len(s.old) > mostOld {
		t.Errorf("%d tokens are kept one by one, want %d at most", len(s.old), mostOld)
	}
	if !s.take(0) || !s.take(last) {
		t.Error("a timer that was set may not fire")
	}
	if s.take(last) || s.take(last+1) {
		t.Error("a timer that is not set may fire")
	}
}

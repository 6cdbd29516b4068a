package guard

import (
	"math/rand"
	"testing"
)

// TestTimerTokensMatchMap compares the set with a map, for tokens in order, far apart, out of order and below 0.
func TestTimerTokensMatchMap(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var got timerTokens
	want := map[int64]bool{}
	next := int64(0)
	var known []int64
	for range 200_000 {
		token := next
		switch x := rng.Intn(1000); {
		case x == 0:
			next += int64(rng.Intn(64 * windowWords * 3)) // the window slides, or jumps
		case x < 5:
			token = rng.Int63n(2*next+2) - next
		case x < 500 && len(known) > 0:
			token = known[rng.Intn(len(known))]
		default:
			next++
		}
		known = append(known, token)
		if rng.Intn(2) == 0 {
			if added := got.add(token); added == want[token] {
				t.Fatalf("add %d: new %v, want %v", token, added, !want[token])
			}
			want[token] = true
		} else {
			if had := got.remove(token); had != want[token] {
				t.Fatalf("remove %d: %v, want %v", token, had, want[token])
			}
			delete(want, token)
		}
	}
}

func TestTimerTokensAreBounded(t *testing.T) {
	var s timerTokens
	last := int64(64*windowWords + 3*maxOldTokens)
	for token := range last + 1 {
		s.add(token)
	}
	if len(s.old) > maxOldTokens {
		t.Errorf("%d tokens are kept one by one, want at most %d", len(s.old), maxOldTokens)
	}
	if !s.remove(0) || !s.remove(last) {
		t.Error("a timer that was set counts as not set")
	}
	if s.remove(last) || s.remove(last+1) {
		t.Error("a timer that is not set counts as set")
	}
}

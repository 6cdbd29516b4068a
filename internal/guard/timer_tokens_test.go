package guard

import (
	"math/rand"
	"testing"
)

// TestTimerTokensMatchMap compares timerTokens with a map, for tokens that are in order, far apart, out of order and negative.
func TestTimerTokensMatchMap(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var tokens timerTokens
	want := map[int64]bool{}
	next := int64(0)
	var known []int64
	for range 200_000 {
		token := next
		switch choice := rng.Intn(1000); {
		case choice == 0:
			next += int64(rng.Intn(64 * windowWords * 3)) // advances the window by part of its length or by more
		case choice < 5:
			token = rng.Int63n(2*next+2) - next
		case choice < 500 && len(known) > 0:
			token = known[rng.Intn(len(known))]
		default:
			next++
		}
		known = append(known, token)
		if rng.Intn(2) == 0 {
			if added := tokens.add(token); added == want[token] {
				t.Fatalf("add(%d) returned %v, want %v", token, added, !want[token])
			}
			want[token] = true
		} else {
			if had := tokens.remove(token); had != want[token] {
				t.Fatalf("remove(%d) returned %v, want %v", token, had, want[token])
			}
			delete(want, token)
		}
	}
}

func TestTimerTokensAreBounded(t *testing.T) {
	var tokens timerTokens
	last := int64(64*windowWords + 3*maxOldTokens)
	for token := range last + 1 {
		tokens.add(token)
	}
	if len(tokens.old) > maxOldTokens {
		t.Errorf("%d tokens are below the window, want at most %d", len(tokens.old), maxOldTokens)
	}
	if !tokens.remove(0) || !tokens.remove(last) {
		t.Error("remove returned false for a token that was set, want true")
	}
	if tokens.remove(last) || tokens.remove(last+1) {
		t.Error("remove returned true for a token that is not set, want false")
	}
}

package guard

import "math/bits"

const (
	tokenWords = 4096    // words of the window: a quarter of a million tokens
	mostOld    = 1 << 16 // tokens behind the window that are kept one by one
)

// tokens is a set of timers' tokens. The module numbers them upwards and sets about three a request, so the newest stand in a window of bits that slides along; the few that wait
// for longer stand in a map. Any other order is right, too, only slower.
type tokens struct {
	words []uint64 // a ring, the word of tokens 64i to 64i+63 at i modulo its length
	first int64    // number of the window's first word
	old   map[int64]struct{}
	lost  int64 // once the map was forgotten, tokens from 0 to below this may have been in it
}

// set adds a token. It reports whether it was not in the set.
func (t *tokens) set(token int64) bool {
	if t.words == nil {
		t.words, t.old = make([]uint64, tokenWords), map[int64]struct{}{}
	}
	w := token >> 6
	if w < t.first {
		_, had := t.old[token]
		t.keep(token)
		return !had
	}
	if w >= t.first+tokenWords {
		t.slide(w - tokenWords + 1)
	}
	word, bit := &t.words[w%tokenWords], uint64(1)<<(token&63)
	had := *word&bit != 0
	*word |= bit
	return !had
}

// take takes a token out. It reports whether it was in the set.
func (t *tokens) take(token int64) bool {
	w := token >> 6
	if t.words == nil || w >= t.first+tokenWords {
		return false
	}
	if w < t.first {
		_, had := t.old[token]
		delete(t.old, token)
		return had || 0 <= token && token < t.lost
	}
	word, bit := &t.words[w%tokenWords], uint64(1)<<(token&63)
	had := *word&bit != 0
	*word &^= bit
	return had
}

// slide moves the window up to its new first word.
func (t *tokens) slide(first int64) {
	for w := t.first; w < min(first, t.first+tokenWords); w++ {
		word := &t.words[w%tokenWords]
		for ; *word != 0; *word &= *word - 1 {
			t.keep(w<<6 + int64(bits.TrailingZeros64(*word)))
		}
	}
	t.first = first
}

// keep adds a token that is behind the window. The danger: timers that never fire fill the memory;
// a set that is too large is forgotten, and what it held may fire unchecked.
func (t *tokens) keep(token int64) {
	if len(t.old) >= mostOld {
		clear(t.old)
		t.lost = t.first << 6
	}
	t.old[token] = struct{}{}
}

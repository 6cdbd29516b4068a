package guard

import "math/bits"

const (
	// windowWords is the size of the window in words of 64 tokens: it holds a quarter of a million tokens.
	windowWords = 4096
	// maxOldTokens is the number of tokens behind the window that are kept one by one.
	maxOldTokens = 1 << 16
	// tokenWordShift is the binary logarithm of the number of tokens in a word.
	tokenWordShift = 6
)

// timerTokens is a set of timers' tokens. The module numbers them upwards and sets about three for each request, so the newest
// stand in a window of bits that slides along, and the few that wait for longer in a map. Any other order works too, but is
// slower.
type timerTokens struct {
	window         []uint64           // a ring: the word of tokens 64i to 64i+63 is at i modulo its length
	firstWord      int64              // number of the window's first word
	old            map[int64]struct{} // tokens behind the window
	forgottenBelow int64              // old was cleared: tokens from 0 to below this may have been in it
}

// add adds a token, and reports whether it was not in the set.
func (t *timerTokens) add(token int64) bool {
	if t.window == nil {
		t.window, t.old = make([]uint64, windowWords), map[int64]struct{}{}
	}
	word := token >> tokenWordShift
	if word < t.firstWord {
		_, had := t.old[token]
		t.addOld(token)
		return !had
	}
	if word >= t.firstWord+windowWords {
		t.slide(word - windowWords + 1)
	}
	bitsOfWord, bit := t.place(token)
	had := *bitsOfWord&bit != 0
	*bitsOfWord |= bit
	return !had
}

// remove takes a token out, and reports whether it was in the set.
func (t *timerTokens) remove(token int64) bool {
	word := token >> tokenWordShift
	if t.window == nil || word >= t.firstWord+windowWords {
		return false
	}
	if word < t.firstWord {
		_, had := t.old[token]
		delete(t.old, token)
		return had || 0 <= token && token < t.forgottenBelow
	}
	bitsOfWord, bit := t.place(token)
	had := *bitsOfWord&bit != 0
	*bitsOfWord &^= bit
	return had
}

// place returns the word and the bit of a token in the window.
func (t *timerTokens) place(token int64) (word *uint64, bit uint64) {
	return &t.window[token>>tokenWordShift%windowWords], uint64(1) << (token & (1<<tokenWordShift - 1))
}

// slide moves the window up to a new first word.
func (t *timerTokens) slide(firstWord int64) {
	for word := t.firstWord; word < min(firstWord, t.firstWord+windowWords); word++ {
		bitsOfWord := &t.window[word%windowWords]
		for ; *bitsOfWord != 0; *bitsOfWord &= *bitsOfWord - 1 { // clears the lowest bit
			t.addOld(word<<tokenWordShift + int64(bits.TrailingZeros64(*bitsOfWord)))
		}
	}
	t.firstWord = firstWord
}

// addOld adds a token that is behind the window. Timers that never fire must not fill the memory, so a set that is too large is
// cleared, and what it held may fire unchecked.
func (t *timerTokens) addOld(token int64) {
	if len(t.old) >= maxOldTokens {
		clear(t.old)
		t.forgottenBelow = t.firstWord << tokenWordShift
	}
	t.old[token] = struct{}{}
}

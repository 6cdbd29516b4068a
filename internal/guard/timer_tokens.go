package guard

import "math/bits"

const (
	// windowWords is the size of the window in 64-bit words of one bit per token: 262,144 tokens.
	windowWords = 4096
	// maxOldTokens is the maximum number of tokens below the window, which are stored in a map.
	maxOldTokens = 1 << 16
	// tokenWordShift is log2 of the number of tokens in a word.
	tokenWordShift = 6
)

// timerTokens is a set of timer tokens. The module assigns increasing tokens and sets about three timers per request, so the set
// stores the newest tokens in a sliding bitmap and the few older tokens in a map. Tokens in any other order work too, but are
// slower.
type timerTokens struct {
	window       []uint64           // ring buffer: word i, for tokens 64i to 64i+63, is at i modulo the length
	firstWord    int64              // number of the window's first word; lower words are below the window
	old          map[int64]struct{} // tokens below the window
	clearedBelow int64              // if old was cleared: tokens from 0 to below this one may have been in old
}

// add adds a token and reports whether the token is new to the set.
func (t *timerTokens) add(token int64) bool {
	if t.window == nil {
		t.window, t.old = make([]uint64, windowWords), map[int64]struct{}{}
	}
	word := token >> tokenWordShift
	if word < t.firstWord {
		_, wasSet := t.old[token]
		t.addOld(token)
		return !wasSet
	}
	if word >= t.firstWord+windowWords {
		t.slideWindow(word - windowWords + 1)
	}
	bitsOfWord, bit := t.wordAndBit(token)
	wasSet := *bitsOfWord&bit != 0
	*bitsOfWord |= bit
	return !wasSet
}

// remove removes a token and reports whether the token was, or may have been, in the set.
func (t *timerTokens) remove(token int64) bool {
	word := token >> tokenWordShift
	if t.window == nil || word >= t.firstWord+windowWords {
		return false
	}
	if word < t.firstWord {
		_, wasSet := t.old[token]
		delete(t.old, token)
		return wasSet || 0 <= token && token < t.clearedBelow
	}
	bitsOfWord, bit := t.wordAndBit(token)
	wasSet := *bitsOfWord&bit != 0
	*bitsOfWord &^= bit
	return wasSet
}

// wordAndBit returns the word in the window that holds a token, and the token's bit in that word.
func (t *timerTokens) wordAndBit(token int64) (word *uint64, bit uint64) {
	return &t.window[token>>tokenWordShift%windowWords], uint64(1) << (token & (1<<tokenWordShift - 1))
}

// slideWindow moves the window up to a new first word and moves the tokens that fall below it to old.
func (t *timerTokens) slideWindow(firstWord int64) {
	for word := t.firstWord; word < min(firstWord, t.firstWord+windowWords); word++ {
		bitsOfWord := &t.window[word%windowWords]
		for ; *bitsOfWord != 0; *bitsOfWord &= *bitsOfWord - 1 { // clears the lowest bit
			t.addOld(word<<tokenWordShift + int64(bits.TrailingZeros64(*bitsOfWord)))
		}
	}
	t.firstWord = firstWord
}

// addOld adds a token that is below the window. Timers that never fire must not exhaust memory, so addOld clears the map once it
// holds maxOldTokens. After that, remove reports a token below clearedBelow as set without a check.
func (t *timerTokens) addOld(token int64) {
	if len(t.old) >= maxOldTokens {
		clear(t.old)
		t.clearedBelow = t.firstWord << tokenWordShift
	}
	t.old[token] = struct{}{}
}

package gossip

// replayWindowBits is how far behind the largest number an unseen one is still accepted.
const replayWindowBits = 64

// replayWindow rejects datagrams that come more than once, by their sequence numbers (RFC 4303, 3.4.3).
type replayWindow struct {
	largest uint64 // number that was accepted
	seen    uint64 // bit i stands for the number largest-i
}

// accept reports whether a number is new, and marks it as seen.
func (w *replayWindow) accept(number uint64) bool {
	if number > w.largest {
		w.advance(number)
		return true
	}
	behind := w.largest - number
	if behind >= replayWindowBits || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}

// advance moves the window up to a number, which is seen.
func (w *replayWindow) advance(number uint64) {
	shift := number - w.largest
	w.largest = number
	if shift >= replayWindowBits {
		w.seen = 1
		return
	}
	w.seen = w.seen<<shift | 1
}

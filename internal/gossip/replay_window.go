package gossip

// replayWindowBits is the number of sequence numbers up to the largest one accepted that the window tracks.
const replayWindowBits = 64

// replayWindow rejects datagrams with a sequence number that was received before, or that is too old (RFC 4303, 3.4.3).
type replayWindow struct {
	largest uint64 // largest sequence number that was accepted
	seen    uint64 // bit i is set if the number largest-i was accepted
}

// accept reports whether a sequence number is new and within the window, and records it.
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

// advance moves the window up to number and records it.
func (w *replayWindow) advance(number uint64) {
	shift := number - w.largest
	w.largest = number
	if shift >= replayWindowBits {
		w.seen = 1
		return
	}
	w.seen = w.seen<<shift | 1
}

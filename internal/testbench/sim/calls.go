package sim

// shortageRetryDelay is the wait before a dial that lacked a resource is tried again, as on the real machine.
const shortageRetryDelay = 10 * Millisecond

// FailingCalls say how often calls of a host's kernel fail: each is the probability for one call.
type FailingCalls struct {
	Dials        float64 // a dial lacks a descriptor, port, memory or route for the moment
	ShortReads   float64 // a read returns fewer bytes than have arrived
	MaxShortRead int     // bytes that a short read returns at most
}

// FailCalls has calls of the host's kernel fail from now on.
func (h *Host) FailCalls(f FailingCalls) { h.failing = f }

// drawShortage draws whether a connection can't be begun now.
func (h *Host) drawShortage() bool {
	return h.failing.Dials > 0 && h.failures.Float64() < h.failing.Dials
}

// drawReadSize draws how many of n bytes a read takes.
func (h *Host) drawReadSize(n int) int {
	if n < 2 || h.failing.ShortReads <= 0 || h.failures.Float64() >= h.failing.ShortReads {
		return n
	}
	return 1 + h.failures.IntN(min(n-1, max(1, h.failing.MaxShortRead)))
}

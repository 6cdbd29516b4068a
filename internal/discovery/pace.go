package discovery

import "starlingwinch/internal/retry"

// maxCallBurst is the maximum number of consecutive calls without a delay.
const maxCallBurst = 10

// callLimiter is a token bucket that limits the rate of a watch's calls: after a burst, the interval is retry.MinCallInterval.
// Without the limit, a watch would call discovery without a pause if discovery answered every call immediately.
type callLimiter struct {
	tokens    float64 // calls that may be made without a delay
	updatedAt Time    // time of the latest refill of tokens
}

func newCallLimiter(now Time) callLimiter { return callLimiter{tokens: maxCallBurst, updatedAt: now} }

// delay returns 0 and consumes a token if a call may be made now. Otherwise, it returns the time until the next token.
func (p *callLimiter) delay(now Time) Time {
	p.tokens = min(maxCallBurst, p.tokens+float64(now-p.updatedAt)/retry.MinCallInterval)
	p.updatedAt = now
	if p.tokens < 1 {
		return Time((1-p.tokens)*retry.MinCallInterval) + 1
	}
	p.tokens--
	return 0
}

package discovery

import "starlingwinch/internal/retry"

// maxCallBurst is how many calls may follow one another without a delay.
const maxCallBurst = 10

// callPace is a token bucket that spaces the calls of a watch: after a burst, they are retry.CallPause apart. Without it, a
// discovery that answers every call at once would be called without end.
type callPace struct {
	tokens    float64 // calls that may be made without a delay
	updatedAt Time    // as of then
}

func newCallPace(now Time) callPace { return callPace{tokens: maxCallBurst, updatedAt: now} }

// delay takes the token of a call that is made now and returns 0, or returns how long that call must wait.
func (p *callPace) delay(now Time) Time {
	p.tokens = min(maxCallBurst, p.tokens+float64(now-p.updatedAt)/retry.CallPause)
	p.updatedAt = now
	if p.tokens < 1 {
		return Time((1-p.tokens)*retry.CallPause) + 1
	}
	p.tokens--
	return 0
}

package policy

const (
	logBurst        = 20  // lines that a hook may log at once, and lines that it may log each second
	microsPerSecond = 1e6 // Time units in a second
)

// logLimiter is a token bucket for the log lines of one hook, which would fill the router's log otherwise.
type logLimiter struct {
	tokens     float64 // lines that may be logged now
	updatedAt  Time    // when tokens were last added
	suppressed int     // lines left out since the last one that was logged
}

// newLogLimiter returns a limiter with a whole burst.
func newLogLimiter(now Time) logLimiter { return logLimiter{tokens: logBurst, updatedAt: now} }

// take takes a token for one line. It reports how many lines before it were suppressed, and false where this one is too.
func (l *logLimiter) take(now Time) (suppressed int, ok bool) {
	l.tokens = min(logBurst, l.tokens+float64(now-l.updatedAt)*logBurst/microsPerSecond)
	l.updatedAt = now
	if l.tokens < 1 {
		l.suppressed++
		return 0, false
	}
	l.tokens--
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

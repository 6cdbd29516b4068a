package policy

const (
	logBurst        = 20  // burst in lines, and rate in lines per second
	microsPerSecond = 1e6 // µs
)

// logLimiter is a token bucket for the log lines of one hook. Without a limit, a hook could fill the log of the router.
type logLimiter struct {
	tokens     float64 // lines that may be logged now
	updatedAt  Time    // when tokens were last added
	suppressed int     // lines suppressed since the last logged line
}

// newLogLimiter returns a limiter with a full bucket.
func newLogLimiter(now Time) logLimiter { return logLimiter{tokens: logBurst, updatedAt: now} }

// take consumes a token for one line. It returns the number of lines suppressed since the last logged line. If no token is
// left, it reports false and the present line is suppressed too.
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

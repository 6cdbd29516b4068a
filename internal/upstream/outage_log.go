package upstream

import (
	"context"
	"log/slog"

	"starlingwinch/decide"
)

const (
	// failuresBeforeLog is the number of consecutive failures after which a cache is logged as unavailable.
	failuresBeforeLog = 5
	// outageLogInterval is the interval, in microseconds, at which the log line about an outage of all caches is repeated,
	// because a single line is easily missed.
	outageLogInterval Time = 60_000_000
)

// failureCause is the reason why a cache serves no requests.
type failureCause uint8

const (
	noFailure          failureCause = iota
	connectionsRefused              // connections can't be established
	requestsStalled                 // requests get no reply
	connectionsReset                // connections break
	errorsOnly                      // all replies are errors
	allRejected                     // the cache rejects all requests
	failureCauses                   // the number of causes
)

// failureNames and failureDetails are the names and descriptions of the causes in the log.
var (
	failureNames   = [failureCauses]string{"", "refused", "hung", "reset", "errors", "busy"}
	failureDetails = [failureCauses]string{"", "connections do not come up", "it takes requests and answers none",
		"its connections break", "it answers nothing else", "it turns all work away"}
)

// failureCauseOf returns the cause that a result indicates. Results of attempts that were not sent, or were cancelled early,
// indicate no failure.
func failureCauseOf(result decide.Result) failureCause {
	switch result {
	case decide.ConnectFailed:
		return connectionsRefused
	case decide.TimedOut:
		return requestsStalled
	case decide.ConnectionLost:
		return connectionsReset
	case decide.Errored:
		return errorsOnly
	case decide.Rejected:
		return allRejected
	}
	return noFailure
}

// consecutiveFailures counts the failures of one cache since it last served an attempt. The counts are used only for log lines
// and do not influence where requests go.
type consecutiveFailures struct {
	cause  failureCause // cause of the latest failures
	count  int          // number of consecutive failures with this cause
	logged failureCause // the last logged cause; noFailure while the cache is not logged as unavailable
}

// recordResult records the result of an attempt or a health check that ended after the elapsed time.
func (c *cache) recordResult(result decide.Result, elapsed Time) {
	if result == decide.Cancelled && elapsed >= c.pool.options.StalledAfter {
		result = decide.TimedOut // cancelled because another attempt was served; this one got no reply in time
	}
	if result == decide.Served {
		c.recordSuccess()
		return
	}
	cause := failureCauseOf(result)
	if cause == noFailure {
		return
	}
	if cause != c.failures.cause {
		c.failures.cause, c.failures.count = cause, 0
	}
	c.failures.count++
	if c.failures.count < failuresBeforeLog || c.failures.logged == cause {
		return
	}
	wasAvailable := c.failures.logged == noFailure
	c.failures.logged = cause
	c.pool.logger.Warn("cache unavailable", "cache", c.name, "cause", failureNames[cause], "detail", failureDetails[cause])
	if wasAvailable {
		c.pool.countUnavailable(1)
	}
}

// recordSuccess records that the cache served an attempt or a health check.
func (c *cache) recordSuccess() {
	if c.failures.logged != noFailure {
		c.pool.logger.Info("cache available", "cache", c.name)
	}
	c.resetFailures()
}

// resetFailures clears the recorded failures of a cache that serves, was removed or has a new process.
func (c *cache) resetFailures() {
	if c.failures.logged != noFailure {
		c.pool.countUnavailable(-1)
	}
	c.failures = consecutiveFailures{}
}

// countUnavailable changes the number of caches that are logged as unavailable. It also restarts outageLogInterval, so that the
// next sweep logs an outage even if one was logged recently.
func (p *Pool) countUnavailable(change int) {
	p.unavailableCaches += change
	p.outageLoggedAt = 0
}

// logOutage logs an outage of all caches, with the number of caches for each cause, at most once per outageLogInterval.
func (p *Pool) logOutage() {
	serving, counts := 0, [failureCauses]int{}
	for _, c := range p.sortedCaches {
		if c.serving {
			serving++
			counts[c.failures.logged]++
		}
	}
	now := p.machine.Now()
	loggedRecently := p.outageLoggedAt > 0 && now < p.outageLoggedAt+outageLogInterval
	if serving == 0 || counts[noFailure] > 0 || loggedRecently {
		return
	}
	p.outageLoggedAt = now
	attrs := []slog.Attr{slog.Int("caches", serving)}
	for cause, n := range counts {
		if n > 0 {
			attrs = append(attrs, slog.Int(failureNames[cause], n))
		}
	}
	p.logger.LogAttrs(context.Background(), slog.LevelError, "no cache available", attrs...)
}

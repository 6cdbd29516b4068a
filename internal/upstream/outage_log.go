package upstream

import (
	"context"
	"log/slog"

	"starlingwinch/decide"
)

const (
	// failuresBeforeLog is the number of failures in a row from which a cache is logged as unavailable.
	failuresBeforeLog = 5
	// outageLogInterval is until the log says again that no cache serves, in microseconds: one line is easily missed.
	outageLogInterval Time = 60_000_000
)

// failureCause is why a cache serves nothing.
type failureCause uint8

const (
	noFailure          failureCause = iota
	connectionsRefused              // they do not come up
	requestsStalled                 // they get no reply
	connectionsReset                // they break
	errorsOnly                      // all replies are errors
	allRejected                     // the cache rejects all requests
	failureCauses                   // the number of causes
)

// failureNames and failureDetails describe the causes in the log.
var (
	failureNames   = [failureCauses]string{"", "refused", "hung", "reset", "errors", "busy"}
	failureDetails = [failureCauses]string{"", "connections do not come up", "it takes requests and answers none",
		"its connections break", "it answers nothing else", "it turns all work away"}
)

// failureCauseOf returns the cause that a result speaks for. Results of attempts that were not sent, or cancelled early, speak
// for none.
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

// failureRun holds the failures of one cache since an attempt was served, for the log alone: they do not influence where
// requests go.
type failureRun struct {
	cause  failureCause // of the latest failures
	count  int          // of failures in a row with this cause
	logged failureCause // the cause that the log names; noFailure while it does not call the cache unavailable
}

// recordResult takes in how an attempt or a health check ended, after how long.
func (c *cache) recordResult(result decide.Result, elapsed Time) {
	if result == decide.Cancelled && elapsed >= c.pool.options.StalledAfter {
		result = decide.TimedOut // another attempt was served meanwhile
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

// recordSuccess takes in that an attempt or a health check was served.
func (c *cache) recordSuccess() {
	if c.failures.logged != noFailure {
		c.pool.logger.Info("cache available", "cache", c.name)
	}
	c.forgetFailures()
}

// forgetFailures drops the failures of a cache that serves, was removed or has a new process.
func (c *cache) forgetFailures() {
	if c.failures.logged != noFailure {
		c.pool.countUnavailable(-1)
	}
	c.failures = failureRun{}
}

// countUnavailable changes the number of caches that the log calls unavailable. An outage is logged at the next sweep, however
// lately it was before.
func (p *Pool) countUnavailable(change int) {
	p.unavailableCaches += change
	p.outageLoggedAt = 0
}

// logOutage logs that no cache serves, with the number of caches for each cause, at most once in outageLogInterval.
func (p *Pool) logOutage() {
	serving, counts := 0, [failureCauses]int{}
	for _, c := range p.sorted {
		if c.serving {
			serving++
			counts[c.failures.logged]++
		}
	}
	now := p.machine.Now()
	loggedLately := p.outageLoggedAt > 0 && now < p.outageLoggedAt+outageLogInterval
	if serving == 0 || counts[noFailure] > 0 || loggedLately {
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

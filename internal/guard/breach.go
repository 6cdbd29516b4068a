package guard

import "starlingwinch/decide"

// Kind classifies a breach of the contract.
type Kind uint8

// Kinds of breaches by the event loop.
const (
	RequestRepeated      Kind = iota // a Request with the ID of an open request
	ResultUnknown                    // an AttemptResult for an attempt that was never sent
	ResultRepeated                   // a second AttemptResult for an attempt
	ResultMissing                    // no AttemptResult within overdueTolerance after the attempt's deadline
	ResponseStartUnknown             // a ResponseStarted for an attempt that is not in flight
	ClientGoneUnknown                // a ClientGone for an unknown request, or a second ClientGone
	HealthCheckUnknown               // a HealthCheckResult for a cache without a health check in flight
	HealthCheckMissing               // no HealthCheckResult within overdueTolerance after the health check was sent
	TimerNotSet                      // a Timer whose token is not set or has already fired
)

// Kinds of breaches by the decision module.
const (
	SendAfterEnd        Kind = iota + TimerNotSet + 1 // a Send for a request that has ended or is unknown
	SendUnlisted                                      // a Send to a cache that is not listed
	AnswerAfterEnd                                    // a final answer to a request that has ended or is unknown
	AnswerMissing                                     // no final answer within overdueTolerance after the request's deadline
	CancelUnknown                                     // a Cancel of an attempt that is not in flight
	HealthCheckUnlisted                               // a HealthCheck of a cache that is not listed
	CloseIdleUnlisted                                 // a CloseIdle for a cache that is not listed
	TimerReused                                       // a SetTimer whose token is already set
	CancelTimerNotSet                                 // a CancelTimer whose token is not set or has already fired
)

// Kinds of breaches by either side: a count differs from the Contract's.
const (
	ModuleCountDiffers Kind = iota + CancelTimerNotSet + 1 // the module's count of attempts in flight at a cache
	SocketCountDiffers                                     // the number of attempts in flight on a cache's sockets
	OpenCountDiffers                                       // the module's count of open requests
	kindCount                                              // number of kinds
)

// kindNames are the names of the kinds in logs.
var kindNames = [kindCount]string{
	"request-twice", "outcome-unknown", "outcome-twice", "outcome-missing", "started-unknown", "departed-wrong", "probed-unknown",
	"probed-missing", "timer-unset",
	"send-over", "send-unlisted", "answer-over", "answer-missing", "cancel-unknown", "probe-unlisted", "close-unlisted",
	"timer-reused", "drop-unset",
	"module-count", "socket-count", "open-count",
}

// String returns the name of the kind in logs.
func (k Kind) String() string { return kindNames[k] }

// Breach describes one breach of the contract.
type Breach struct {
	Kind    Kind
	At      decide.Time
	Request int64    // 0 if the breach concerns no request
	Cache   string   // empty if the breach concerns no cache
	Text    string   // description for the log
	History []string // earlier events and actions that concern the request or the cache, latest last
}

// reportBreach counts a breach and reports it if it is the first of its kind or ReportAll is set.
func (c *Contract) reportBreach(kind Kind, request int64, cache, text string) {
	c.counts[kind]++
	if c.report == nil || c.counts[kind] > 1 && !c.ReportAll {
		return
	}
	c.report(Breach{
		Kind:    kind,
		At:      c.now,
		Request: request,
		Cache:   cache,
		Text:    text,
		History: c.history(request, cache),
	})
}

// Count returns the number of breaches of a kind.
func (c *Contract) Count(kind Kind) int { return c.counts[kind] }

// Breaches returns the number of breaches of all kinds.
func (c *Contract) Breaches() (n int) {
	for _, count := range c.counts {
		n += count
	}
	return n
}

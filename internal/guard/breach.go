package guard

import "starlingwinch/decide"

// Kind is a way to break the contract.
type Kind uint8

// Kinds of breaches by the loop.
const (
	RequestRepeated      Kind = iota // a Request that is open already
	ResultUnknown                    // an AttemptResult of an attempt that was never sent
	ResultRepeated                   // an AttemptResult of an attempt that had one
	ResultMissing                    // no AttemptResult long after the attempt's deadline
	ResponseStartUnknown             // a ResponseStarted of an attempt that is not out
	ClientGoneUnknown                // a ClientGone of a request that was never announced, or a second one
	HealthCheckUnknown               // a HealthCheckResult where no health check of this cache is out
	HealthCheckMissing               // no HealthCheckResult long after the health check
	TimerNotSet                      // a Timer with a token that was never set, or has fired
)

// Kinds of breaches by the module.
const (
	SendAfterEnd        Kind = iota + TimerNotSet + 1 // a Send for a request that is over or was never announced
	SendUnlisted                                      // a Send to a cache that is not listed
	AnswerAfterEnd                                    // a final answer to a request that is over or was never announced
	AnswerMissing                                     // no final answer long after the request's deadline
	CancelUnknown                                     // a Cancel of an attempt that is not out
	HealthCheckUnlisted                               // a HealthCheck of a cache that is not listed
	CloseIdleUnlisted                                 // a CloseIdle of a cache that is not listed
	TimerReused                                       // a SetTimer with a token that is set already
	CancelTimerNotSet                                 // a CancelTimer of a token that was never set, or has fired
)

// Kinds of breaches by either side: counts differ.
const (
	ModuleCountDiffers Kind = iota + CancelTimerNotSet + 1 // of attempts in flight at a cache, by the module
	SocketCountDiffers                                     // of attempts in flight at a cache, on its sockets
	OpenCountDiffers                                       // of open requests, by the module
	kindCount                                              // the number of kinds
)

// kindNames are the names of the kinds in the log.
var kindNames = [kindCount]string{
	"request-twice", "outcome-unknown", "outcome-twice", "outcome-missing", "started-unknown", "departed-wrong", "probed-unknown",
	"probed-missing", "timer-unset",
	"send-over", "send-unlisted", "answer-over", "answer-missing", "cancel-unknown", "probe-unlisted", "close-unlisted",
	"timer-reused", "drop-unset",
	"module-count", "socket-count", "open-count",
}

// String returns the name of the kind in the log.
func (k Kind) String() string { return kindNames[k] }

// Breach is one thing that broke the contract.
type Breach struct {
	Kind    Kind
	At      decide.Time
	Request int64    // 0 where none is concerned
	Cache   string   // empty where none is concerned
	Text    string   // what is wrong, for the log
	History []string // what concerned the request or the cache before, the latest at the end
}

// breach counts one and reports it, if it is the first of its kind or all are reported.
func (c *Contract) breach(kind Kind, request int64, cache, text string) {
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

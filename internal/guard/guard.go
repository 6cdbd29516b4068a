// Package guard checks at run time, in tests and in production, that the router's event loop and its decision module keep the
// router's rules. It has two checkers.
//
// A Contract wraps the decision module and checks the exchange of events and actions between the loop and the module: every Send
// gets one AttemptResult, every HealthCheck gets one HealthCheckResult, every request gets one final answer, a timer fires once,
// and no event or action refers to an unknown request, attempt, cache or timer. The Contract counts each breach, reports it with
// the events that led to it, and repairs it: it drops repeated events and events about unknown objects before they reach the
// module, withholds invalid actions from the loop, and supplies results that are missing (OverdueEvents).
//
// A Guard enforces the rules about client requests immediately before the loop acts: no attempt after the final answer or to a
// cache that accepts no requests, no repeat that could run a request twice, no deadline later than the client's, and no rejection
// of a request that may have run.
//
// The package does not choose the cache for a request. It does no I/O, reads no clock and starts no goroutine; all methods must
// be called from the loop's goroutine. The testbench's package rules checks the same rules from outside, on the sockets.
package guard

// Package guard checks a router at two places, in tests and in service.
//
// A Contract stands between the router's loop and its decision module and holds both to what they owe each other: every Send
// gets one AttemptResult, every HealthCheck one HealthCheckResult, every request one final answer, a timer fires once, and
// nothing refers to what was never announced. What breaks the contract is reported with the events that led to it, counted and
// repaired: an event that is a repeat or concerns nothing known is not handed to the module, an action that makes no sense is
// not carried out, and a result that is missing is made up (Overdue).
//
// A Guard holds the loop to the rules about the requests of clients, in the moment before the loop acts: no attempt after the
// final answer or to a cache that takes no requests, no repeat that could run a request twice, no deadline beyond the client's
// and no refusal of a request that may have run.
//
// The package has no opinion on where a request goes. It does no I/O, reads no clock and starts no goroutine; all methods
// belong to the loop's goroutine. Package rules of the testbench watches the same promises from outside, on the sockets.
package guard

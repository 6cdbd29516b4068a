package retry

// minMeanDelay is the lower limit of a mean delay, in microseconds. Without a limit, few clients would call without a pause.
const minMeanDelay Time = 170_000

// callCount is the number of calls that the clients make in a span. The longer a call takes, the fewer calls the service queues
// and the more often the service is idle between calls. Each of few clients therefore calls more often than each of many.
type callCount struct {
	perClient int // calls of each client
	shared    int // further calls, divided among all clients
}

var (
	// callsWithinBound applies to the span of the bound, if the service rejects calls and the time of its return is unknown.
	callsWithinBound = callCount{perClient: 2, shared: 64}
	// callsInTimeLeft applies to the time that is left after the service's return.
	callsInTimeLeft = callCount{perClient: 4, shared: 16}
)

// meanDelay returns the mean delay between the calls that one of the clients makes in a span. The delay is at least minMeanDelay,
// or a lower minimum if the bound is short.
func (c callCount) meanDelay(span Time, clients int, bound Time) Time {
	minimum := min(minMeanDelay, bound/meanDivisor)
	return max(minimum, span*Time(clients)/Time(c.perClient*clients+c.shared))
}

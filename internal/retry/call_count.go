package retry

// minMeanDelay is the least mean delay, in microseconds: few clients would otherwise call without end.
const minMeanDelay Time = 170_000

// callCount is how many calls a client makes in a span. The longer a call takes, the fewer the service queues, and the more often
// it is idle between calls; so each of few clients calls more often than each of many.
type callCount struct {
	perClient int
	together  int // all clients make so many more
}

var (
	// callsWithinBound are the calls within the bound, where the service rejects them and its return is not known.
	callsWithinBound = callCount{perClient: 2, together: 64}
	// callsInTimeLeft are the calls in the time that is left since the service's return.
	callsInTimeLeft = callCount{perClient: 4, together: 16}
)

// meanDelay is the mean delay with which one of so many clients makes its calls in a span. It has a minimum, which is lower where
// the bound is short.
func (c callCount) meanDelay(span Time, clients int, bound Time) Time {
	least := min(minMeanDelay, bound/meanDivisor)
	return max(least, span*Time(clients)/Time(c.perClient*clients+c.together))
}

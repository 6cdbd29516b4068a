package retrystorm

// addressSets is the number of sets in an addressTable.
const addressSets = 1024

// addressCount counts the requests of one address in one interval.
type addressCount struct {
	tag      uint32
	interval uint32 // an entry of an earlier interval is free
	requests uint32
}

// addressTable counts requests by address in intervals of one second. It is a set-associative table.
type addressTable struct {
	sets     [][associativity]addressCount // nil before the first request
	interval uint32
	requests int // in the current interval
	distinct int // addresses in the current interval

	previousMean      float64 // requests per address in the previous interval
	previousAddresses int     // addresses in the previous interval
}

// count counts a request and returns the number of requests of the same address in the current interval.
func (a *addressTable) count(client uint64) uint32 {
	if a.sets == nil {
		a.sets = make([][associativity]addressCount, addressSets)
	}
	a.requests++
	set, replaced := &a.sets[client%addressSets], 0
	for i := range set {
		e := &set[i]
		if e.interval == a.interval && e.tag == tagOf(client) {
			e.requests++
			return e.requests
		}
		if e.interval != a.interval || set[replaced].interval == a.interval && e.requests < set[replaced].requests {
			replaced = i
		}
	}
	a.distinct++
	set[replaced] = addressCount{tagOf(client), a.interval, 1}
	return 1
}

// nextInterval begins an interval.
func (a *addressTable) nextInterval() {
	a.previousAddresses, a.previousMean = a.distinct, float64(a.requests)/float64(max(1, a.distinct))
	a.interval++
	a.distinct, a.requests = 0, 0
}

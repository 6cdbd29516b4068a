package retrystorm

// addressSets is the number of sets of the table of addresses.
const addressSets = 1024

// address counts the requests of one address in one turn.
type address struct {
	tag      uint32
	turn     uint32 // an entry of an earlier turn is free
	requests uint32
}

// addresses counts requests by address over a second at a time, which is a turn, in a set-associative table.
type addresses struct {
	sets     [][associativity]address // nil before the first request
	turn     uint32
	requests int // of this turn
	distinct int // addresses of this turn

	previousMean      float64 // requests for each address in the turn before
	previousAddresses int     // addresses in the turn before
}

// count notes a request and returns the number of requests that its address has made in this turn.
func (a *addresses) count(client uint64) uint32 {
	if a.sets == nil {
		a.sets = make([][associativity]address, addressSets)
	}
	a.requests++
	set, replaced := &a.sets[client%addressSets], 0
	for i := range set {
		e := &set[i]
		if e.turn == a.turn && e.tag == tagOf(client) {
			e.requests++
			return e.requests
		}
		if e.turn != a.turn || set[replaced].turn == a.turn && e.requests < set[replaced].requests {
			replaced = i
		}
	}
	a.distinct++
	set[replaced] = address{tagOf(client), a.turn, 1}
	return 1
}

// nextTurn begins a turn.
func (a *addresses) nextTurn() {
	a.previousAddresses, a.previousMean = a.distinct, float64(a.requests)/float64(max(1, a.distinct))
	a.turn++
	a.distinct, a.requests = 0, 0
}

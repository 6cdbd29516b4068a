package retrystorm

import "math"

// connectionLost is the value of unservedRequest.countedAt for a request whose connection broke.
const connectionLost = math.MaxUint32

// associativity is the number of entries in each set of a set-associative table. A new entry replaces an older entry of its
// set.
const associativity = 4

// unservedRequest is a request that was rejected, failed or abandoned. It has 16 bytes. Times are in ms since the detector's
// epoch.
type unservedRequest struct {
	tag       uint32 // tag of the key; 0 for an empty entry
	since     uint32 // time of the client's first request
	until     uint32 // time at which the client stops retrying
	countedAt uint32 // time at which the request was last counted as a retry; 0 for never
}

// unservedTable is a set-associative table of unserved requests. The first put allocates its memory.
type unservedTable struct {
	capacity int // entries
	sets     [][associativity]unservedRequest
}

func (u *unservedTable) set(key uint64) *[associativity]unservedRequest {
	return &u.sets[key%uint64(len(u.sets))]
}

// tagOf returns the part of a key that the tables store, which is never 0.
func tagOf(key uint64) uint32 { return uint32(key>>32) | 1 }

// put stores an unserved request. It replaces an empty or expired entry, or else the entry that expires first.
func (u *unservedTable) put(key uint64, e unservedRequest, now uint32) {
	if u.sets == nil {
		u.sets = make([][associativity]unservedRequest, max(1, u.capacity/associativity))
	}
	set, replaced := u.set(key), 0
	for i := range set {
		if set[i].tag == 0 || set[i].until <= now {
			replaced = i
			break
		}
		if set[i].until < set[replaced].until {
			replaced = i
		}
	}
	e.tag = tagOf(key)
	set[replaced] = e
}

// take removes and returns the unserved request that a request retries. One unserved request accounts for one retry.
// Otherwise all requests for the same key by clients behind one address would count as retries.
func (u *unservedTable) take(key uint64, now uint32) (e unservedRequest, found bool) {
	if u.sets == nil {
		return e, false
	}
	set := u.set(key)
	for i := range set {
		e = set[i]
		if e.tag != tagOf(key) {
			continue
		}
		set[i] = unservedRequest{}
		if e.until > now {
			return e, true
		}
	}
	return unservedRequest{}, false
}

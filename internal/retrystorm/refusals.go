package retrystorm

import "math"

// connectionLost stands in place of a refusal's countedAt for a request whose connection broke.
const connectionLost = math.MaxUint32

// associativity is the number of entries that a key may have in a set-associative table. An older entry is replaced.
const associativity = 4

// refusal is a request that was rejected, failed or abandoned: 16 bytes. Times are in ms since the detector's epoch.
type refusal struct {
	tag       uint32 // of its key; 0 for an empty entry
	since     uint32 // when its client requested it first
	until     uint32 // when its client stops retrying
	countedAt uint32 // when it was counted as a retry last; 0 for never
}

// refusals is a set-associative table of requests that were not served. Its memory is allocated with the first one.
type refusals struct {
	capacity int // entries
	sets     [][associativity]refusal
}

func (r *refusals) set(key uint64) *[associativity]refusal { return &r.sets[key%uint64(len(r.sets))] }

// tagOf returns the part of a key that is stored, which is never 0.
func tagOf(key uint64) uint32 { return uint32(key>>32) | 1 }

// put stores a refusal, in place of one that is over or else of the one that is over first.
func (r *refusals) put(key uint64, e refusal, now uint32) {
	if r.sets == nil {
		r.sets = make([][associativity]refusal, max(1, r.capacity/associativity))
	}
	set, replaced := r.set(key), 0
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

// take finds the refusal that a request is the retry of, and removes it. One refusal accounts for one retry: otherwise all
// clients behind one address that request the same key would count as retrying.
func (r *refusals) take(key uint64, now uint32) (e refusal, found bool) {
	if r.sets == nil {
		return e, false
	}
	set := r.set(key)
	for i := range set {
		e = set[i]
		if e.tag != tagOf(key) {
			continue
		}
		set[i] = refusal{}
		if e.until > now {
			return e, true
		}
	}
	return refusal{}, false
}

package retrystorm

import "math"

// lost stands in place of when a request was counted, for one whose connection broke.
const lost = math.MaxUint32

// ways is how many entries a key may stand in. An older one makes room.
const ways = 4

// refusal is what is remembered of a request that was refused, failed or left: 16 bytes. Times are in ms.
type refusal struct {
	tag     uint32 // 0 for none
	since   uint32 // when its client first asked
	until   uint32 // when the client's patience is over
	counted uint32 // when it was counted last as one that came back; 0 for never
}

// refusals remembers requests that were not served, in bounded memory. Nothing is taken until the first one.
type refusals struct {
	most int
	sets [][ways]refusal
}

func (r *refusals) set(key uint64) *[ways]refusal { return &r.sets[key%uint64(len(r.sets))] }

// tagOf is never 0.
func tagOf(key uint64) uint32 { return uint32(key>>32) | 1 }

// put remembers one.
func (r *refusals) put(key uint64, e refusal, now uint32) {
	if r.sets == nil {
		r.sets = make([][ways]refusal, max(1, r.most/ways))
	}
	set, oldest := r.set(key), 0
	for i := range set {
		if set[i].tag == 0 || set[i].until <= now {
			oldest = i
			break
		}
		if set[i].until < set[oldest].until {
			oldest = i
		}
	}
	e.tag = tagOf(key)
	set[oldest] = e
}

// take finds the one that an ask comes back from, and forgets it: one refusal accounts for one retry. The danger:
// clients behind one address ask for the same key, and all of them pass for retries of the first.
func (r *refusals) take(key uint64, now uint32) (e refusal, found bool) {
	if r.sets == nil {
		return e, false
	}
	set := r.set(key)
	for i := range set {
		if e = set[i]; e.tag == tagOf(key) {
			set[i] = refusal{}
			if e.until > now {
				return e, true
			}
		}
	}
	return refusal{}, false
}

// address is what one address has asked for in this second.
type address struct {
	tag   uint32
	turn  uint32
	asked uint32
}

// addresses counts asks by address, over a second at a time, in bounded memory.
type addresses struct {
	sets  [][ways]address
	turn  uint32
	asked int // in this turn
	seen  int // addresses in this turn
	mean  float64
	many  int // addresses in the turn before
}

const addressSets = 1024

// count books an ask and returns how many that address has made in this turn.
func (a *addresses) count(client uint64) uint32 {
	if a.sets == nil {
		a.sets = make([][ways]address, addressSets)
	}
	a.asked++
	set, least := &a.sets[client%addressSets], 0
	for i := range set {
		e := &set[i]
		if e.turn == a.turn && e.tag == tagOf(client) {
			e.asked++
			return e.asked
		}
		if e.turn != a.turn || set[least].turn == a.turn && e.asked < set[least].asked {
			least = i
		}
	}
	a.seen++
	set[least] = address{tagOf(client), a.turn, 1}
	return 1
}

// next begins a turn.
func (a *addresses) next() {
	a.many, a.mean = a.seen, float64(a.asked)/float64(max(1, a.seen))
	a.turn++
	a.seen, a.asked = 0, 0
}

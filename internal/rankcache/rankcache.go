// Package rankcache remembers the first ranks of keys that were placed lately, so that a key that is requested again costs a
// look-up and not a comparison with each cache of a large fleet.
//
// It is a two-way set-associative cache of fixed size, in which the slot of a set that was used last stays. It has no pointers,
// so that the garbage collector has nothing to scan. What it does not hold is computed again: it changes what a placement costs
// and never what it is. Keys must be well mixed numbers.
package rankcache

import "math"

// MaxRanks is the number of ranks of a key that are remembered.
const MaxRanks = 8

const (
	// setBits is the binary logarithm of the number of sets.
	setBits = 14
	// setCount is the number of sets, of two slots each: 32,768 keys in 1 MiB.
	setCount = 1 << setBits
	// keyMultiplier spreads keys that differ in their low bits alone: 2^64 divided by the golden ratio (Knuth, The Art of
	// Computer Programming, section 6.4).
	keyMultiplier = 0x9e3779b97f4a7c15
)

// List is the first ranks of a key, as numbers of caches.
type List [MaxRanks]uint16

// slot holds the ranks of one key.
type slot struct {
	key      uint64
	epoch    uint32 // of the Put, from 1; 0 for an empty slot
	count    uint16 // of ranks in list
	usedLast bool   // later than the other slot of its set
	list     List
}

// Cache is the table. The zero value is empty, and allocates its memory at the first Put.
type Cache struct {
	slots []slot
	epoch uint32 // number of calls of Forget; slots of an earlier epoch do not count
}

// Forget empties the cache, in constant time.
func (c *Cache) Forget() {
	c.epoch++
	if c.epoch == math.MaxUint32 {
		// The epochs begin anew, so that slots of the first ones must not be left.
		c.epoch, c.slots = 0, nil
	}
}

// Get returns what was put for the key since the last Forget, or nil. The ranks are valid until the next call.
func (c *Cache) Get(key uint64) []uint16 {
	if c.slots == nil {
		return nil
	}
	set := c.set(key)
	for i := range set {
		s := &set[i]
		if s.key == key && s.epoch == c.epoch+1 {
			s.usedLast, set[1-i].usedLast = true, false
			return s.list[:s.count]
		}
	}
	return nil
}

// Put remembers the first ranks of a key, at most MaxRanks, in place of the key of its set that was used longer ago.
func (c *Cache) Put(key uint64, first []uint16) {
	if c.slots == nil {
		c.slots = make([]slot, 2*setCount)
	}
	set := c.set(key)
	i := 0
	if set[0].usedLast && set[0].epoch == c.epoch+1 {
		i = 1
	}
	set[i] = slot{key: key, epoch: c.epoch + 1, usedLast: true}
	set[i].count = uint16(copy(set[i].list[:], first))
	set[1-i].usedLast = false
}

// set returns the two slots in which a key may be.
func (c *Cache) set(key uint64) *[2]slot {
	first := key * keyMultiplier >> (64 - setBits) * 2
	return (*[2]slot)(c.slots[first : first+2])
}

// Package rankcache caches the first ranks of recently placed keys, so that placing a key again costs one look-up instead of a
// comparison with every cache server of a large fleet.
//
// The cache is two-way set-associative, has a fixed size, and replaces the least recently used slot of a set. It contains no
// pointers, so that the garbage collector has nothing to scan. Ranks that are not cached are computed again: the cache affects
// the cost of a placement and never its result. Keys must be well-mixed numbers, such as hashes.
package rankcache

import "math"

// MaxRanks is the maximum number of ranks cached for a key.
const MaxRanks = 8

const (
	// setBits is the binary logarithm of the number of sets.
	setBits = 14
	// setCount is the number of sets, which have two slots each: 32,768 keys in 1 MiB.
	setCount = 1 << setBits
	// keyMultiplier distributes keys that differ only in their low bits: 2^64 divided by the golden ratio (Knuth, The Art of
	// Computer Programming, section 6.4).
	keyMultiplier = 0x9e3779b97f4a7c15
)

// List holds the first ranks of a key, as numbers assigned by a Numbering.
type List [MaxRanks]uint16

// slot holds the ranks of one key.
type slot struct {
	key      uint64
	epoch    uint32 // epoch of the Put, from 1; 0 for an empty slot
	count    uint16 // number of ranks in list
	usedLast bool   // used more recently than the other slot of the set
	list     List
}

// Cache maps keys to their first ranks. The zero value is empty, and allocates its memory at the first Put.
type Cache struct {
	slots []slot
	epoch uint32 // number of calls of Clear; slots from earlier epochs are invalid
}

// Clear empties the cache in constant time.
func (c *Cache) Clear() {
	c.epoch++
	if c.epoch == math.MaxUint32 {
		// The epoch restarts from 0, so the slots must be discarded: those from earlier epochs would become valid again.
		c.epoch, c.slots = 0, nil
	}
}

// Get returns the ranks stored for the key since the last Clear, or nil. The ranks are valid until the next call of a method.
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

// Put stores the first ranks of a key, at most MaxRanks, and replaces the least recently used key of the set.
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

// set returns the two slots that may hold the key.
func (c *Cache) set(key uint64) *[2]slot {
	first := key * keyMultiplier >> (64 - setBits) * 2
	return (*[2]slot)(c.slots[first : first+2])
}

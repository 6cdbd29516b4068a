// Package rankcache remembers the first ranks of keys lately placed, so that a key that is asked for again costs a look and
// not a comparison with each cache of a large fleet.
//
// It is a table of fixed size with two places for each part of the keys (a two-way set-associative cache, in which
// the place used last stays), without pointers, so that the collector has nothing to look for. What it does not hold is
// worked out anew: it changes what a placement costs and never what it is. Keys are numbers that are well mixed.
package rankcache

import "math"

// MaxRanks is how many ranks of a key are remembered.
const MaxRanks = 8

const sets = 1 << 14 // of two places each: 32,768 keys in 1 MiB

// List is the first ranks of a key, as numbers of caches.
type List [MaxRanks]uint16

type place struct {
	key   uint64
	epoch uint32 // 0 for none
	n     uint16
	newer bool // than the other one of its set
	list  List
}

// Cache is the table. The zero value is empty and takes its memory with the first Put.
type Cache struct {
	places []place
	epoch  uint32
}

// Forget empties it, in constant time.
func (m *Cache) Forget() {
	if m.epoch++; m.epoch == math.MaxUint32 {
		// The danger: after four billion changes ranks of the first fleet pass for those of today's.
		m.epoch, m.places = 0, nil
	}
}

// Get is what was put for the key since the last Forget; nil where it is not known.
func (m *Cache) Get(key uint64) []uint16 {
	if m.places == nil {
		return nil
	}
	set := m.set(key)
	for i := range set {
		if p := &set[i]; p.key == key && p.epoch == m.epoch+1 {
			p.newer, set[1-i].newer = true, false
			return p.list[:p.n]
		}
	}
	return nil
}

// Put remembers the first ranks of a key, Most at most, in place of the one of its set that was used longer ago.
func (m *Cache) Put(key uint64, ranks []uint16) {
	if m.places == nil {
		m.places = make([]place, 2*sets)
	}
	set := m.set(key)
	i := 0
	if set[0].newer && set[0].epoch == m.epoch+1 {
		i = 1
	}
	set[i] = place{key: key, epoch: m.epoch + 1, newer: true}
	set[i].n = uint16(copy(set[i].list[:], ranks))
	set[1-i].newer = false
}

// set is the two places of a key. Multiplying spreads keys of which only the low bits differ (Knuth, 6.4).
func (m *Cache) set(key uint64) *[2]place {
	i := key * 0x9e3779b97f4a7c15 >> 50 * 2
	return (*[2]place)(m.places[i : i+2])
}

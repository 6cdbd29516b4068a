package rankcache

import (
	"math/rand/v2"
	"slices"
	"testing"
	"unsafe"
)

func TestGetReturnsLastPut(t *testing.T) {
	var m Cache
	draw := rand.New(rand.NewPCG(1, 2))
	known := map[uint64][]uint16{}
	hits := 0
	for range 200_000 {
		key := uint64(draw.IntN(20_000))
		switch got := m.Get(key); {
		case got != nil:
			if hits++; !slices.Equal(got, known[key]) {
				t.Fatalf("key %d: got %v, want %v", key, got, known[key])
			}
		default:
			list := make([]uint16, 1+draw.IntN(MaxRanks))
			for i := range list {
				list[i] = uint16(draw.IntN(1 << 16))
			}
			m.Put(key, list)
			known[key] = list
		}
	}
	if hits < 150_000 {
		t.Errorf("got %d hits in 200,000 look-ups of 20,000 keys, want at least 150,000", hits)
	}
}

func TestClearEmptiesCache(t *testing.T) {
	var m Cache
	for range 3 {
		for key := range uint64(1000) {
			m.Put(key, []uint16{7})
		}
		m.Clear()
		for key := range uint64(1000) {
			if got := m.Get(key); got != nil {
				t.Fatalf("key %d: got %v after Clear, want nil", key, got)
			}
		}
	}
}

// TestEpochOverflowClearsCache checks that old ranks do not become valid again when the epoch counter overflows.
func TestEpochOverflowClearsCache(t *testing.T) {
	var m Cache
	m.Put(1, []uint16{7})
	m.epoch = ^uint32(0) - 1
	m.Put(2, []uint16{8})
	for range 3 {
		m.Clear()
		if m.Get(1) != nil || m.Get(2) != nil || m.Get(0) != nil {
			t.Fatalf("epoch %d: got ranks from before Clear, want none", m.epoch)
		}
	}
}

// TestPutReplacesLeastRecentlyUsed checks which of two keys in one set is replaced by a third key.
func TestPutReplacesLeastRecentlyUsed(t *testing.T) {
	var m Cache
	m.Put(1, []uint16{1})
	var sameSet []uint64 // further keys in the set of key 1
	for key := uint64(2); len(sameSet) < 2; key++ {
		if m.set(key) == m.set(1) {
			sameSet = append(sameSet, key)
		}
	}
	m.Put(sameSet[0], []uint16{2})
	m.Get(1)
	m.Put(sameSet[1], []uint16{3})
	if m.Get(1) == nil || m.Get(sameSet[0]) != nil || m.Get(sameSet[1]) == nil {
		t.Error("Put did not replace the least recently used key")
	}
}

func TestNumbersAreUniqueAndReused(t *testing.T) {
	var s Numbering[string]
	a, b := s.Assign("a"), s.Assign("b")
	s.Release(a)
	if s.Item(a) != "" {
		t.Error("the Numbering still refers to a released item")
	}
	c, d := s.Assign("c"), s.Assign("d")
	if c != a || d == b || d == c || s.Item(b) != "b" || s.Item(c) != "c" || s.Item(d) != "d" || s.UpperBound() != 3 {
		t.Errorf("got numbers %d %d %d %d with upper bound %d, want unique numbers, the first one reused, and upper bound 3",
			a, b, c, d, s.UpperBound())
	}
}

func TestCacheSizeIsBounded(t *testing.T) {
	if size := 2 * setCount * unsafe.Sizeof(slot{}); size > 2<<20 {
		t.Errorf("got a size of %d bytes, want at most %d", size, 2<<20)
	}
}

func BenchmarkGet(b *testing.B) {
	var m Cache
	for key := range uint64(10_000) {
		m.Put(key, []uint16{1, 2, 3, 4, 5, 6, 7, 8})
	}
	b.ReportAllocs()
	for i := range b.N {
		m.Get(uint64(i % 10_000))
	}
}

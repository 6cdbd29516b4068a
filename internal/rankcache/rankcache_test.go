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
				t.Fatalf("key %d: %v, put %v", key, got, known[key])
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
		t.Errorf("%d of 200,000 look-ups of 20,000 keys were hits", hits)
	}
}

func TestForgetEmptiesCache(t *testing.T) {
	var m Cache
	for range 3 {
		for key := range uint64(1000) {
			m.Put(key, []uint16{7})
		}
		m.Forget()
		for key := range uint64(1000) {
			if got := m.Get(key); got != nil {
				t.Fatalf("key %d is known as %v", key, got)
			}
		}
	}
}

// TestEpochOverflowForgetsAll checks that nothing comes back when the number of calls of Forget exceeds its type.
func TestEpochOverflowForgetsAll(t *testing.T) {
	var m Cache
	m.Put(1, []uint16{7})
	m.epoch = ^uint32(0) - 1
	m.Put(2, []uint16{8})
	for range 3 {
		m.Forget()
		if m.Get(1) != nil || m.Get(2) != nil || m.Get(0) != nil {
			t.Fatalf("epoch %d: old ranks are back", m.epoch)
		}
	}
}

// TestPutReplacesLeastRecentlyUsed checks two keys of one set.
func TestPutReplacesLeastRecentlyUsed(t *testing.T) {
	var m Cache
	m.Put(1, []uint16{1})
	var same []uint64
	for key := uint64(2); len(same) < 2; key++ {
		if m.set(key) == m.set(1) {
			same = append(same, key)
		}
	}
	m.Put(same[0], []uint16{2})
	m.Get(1)
	m.Put(same[1], []uint16{3})
	if m.Get(1) == nil || m.Get(same[0]) != nil || m.Get(same[1]) == nil {
		t.Error("the key used last was replaced")
	}
}

func TestNumbersAreUniqueAndReused(t *testing.T) {
	var s Numbering[string]
	a, b := s.Assign("a"), s.Assign("b")
	s.Release(a)
	if s.Of(a) != "" {
		t.Error("a released item is still referred to")
	}
	c, d := s.Assign("c"), s.Assign("d")
	if c != a || d == b || d == c || s.Of(b) != "b" || s.Of(c) != "c" || s.Of(d) != "d" || s.Max() != 3 {
		t.Errorf("numbers %d %d %d %d, maximum %d", a, b, c, d, s.Max())
	}
}

func TestCacheSizeIsBounded(t *testing.T) {
	if size := 2 * setCount * unsafe.Sizeof(slot{}); size > 2<<20 {
		t.Errorf("%d bytes", size)
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

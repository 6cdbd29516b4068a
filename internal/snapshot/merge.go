package snapshot

import (
	"cmp"
	"slices"
)

// Merge returns the newer snapshot, extended by the older snapshot's entries for caches that are missing from the newer one.
// It adds entries up to the age maxAge, the latest first, until there are maxEndpoints entries in total. Without the older
// entries, a router that has just started with a partial endpoint list would overwrite the state of all other caches.
func Merge(older, newer Snapshot, maxAge Time, maxEndpoints int) Snapshot {
	remaining := onlyInOlder(older, newer, maxAge)
	if capacity := max(0, maxEndpoints-len(newer.Caches)); len(remaining) > capacity {
		slices.SortStableFunc(remaining, func(a, b Endpoint) int { return cmp.Compare(b.At, a.At) })
		remaining = remaining[:capacity]
	}
	if len(newer.Caches)+len(remaining) == 0 {
		return newer
	}
	merged := append(withOlderKeys(older, newer, maxAge, len(remaining)), remaining...)
	slices.SortFunc(merged, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	newer.Caches = merged
	return newer
}

// onlyInOlder returns the older snapshot's entries, up to the age maxAge, for caches that are missing from the newer snapshot.
func onlyInOlder(older, newer Snapshot, maxAge Time) []Endpoint {
	inNewer := make(map[string]bool, len(newer.Caches))
	for _, c := range newer.Caches {
		inNewer[c.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(older.Caches), func(c Endpoint) bool {
		return inNewer[c.ID] || newer.At-c.At > maxAge || c.At > newer.At
	})
}

// withOlderKeys returns a copy of the newer snapshot's entries, with spare capacity for extraCapacity more. An entry whose keys were
// not collected gets the keys of the older snapshot if they belong to the same cache process and are at most maxAge old.
func withOlderKeys(older, newer Snapshot, maxAge Time, extraCapacity int) []Endpoint {
	olderByID := make(map[string]*Endpoint, len(older.Caches))
	for i := range older.Caches {
		olderByID[older.Caches[i].ID] = &older.Caches[i]
	}
	entries := make([]Endpoint, 0, len(newer.Caches)+extraCapacity)
	for _, c := range newer.Caches {
		previous := olderByID[c.ID]
		if c.KeysAt == 0 && previous != nil && previous.StartedAt == c.StartedAt && newer.At-previous.KeysAt <= maxAge {
			c.CachedKeys, c.KeysAt = previous.CachedKeys, previous.KeysAt
		}
		entries = append(entries, c)
	}
	return entries
}

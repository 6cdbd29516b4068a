package snapshot

import (
	"cmp"
	"slices"
)

// Merge returns the newer snapshot, completed by the older one's entries of caches that the newer one does not have, as long
// as they are not older than maxAge and there are no more than maxEndpoints. Without them a router that has just started on
// a partial endpoint list would overwrite what was known of the other caches.
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

// onlyInOlder returns the older snapshot's entries of caches that the newer one does not have, up to an age.
func onlyInOlder(older, newer Snapshot, maxAge Time) []Endpoint {
	inNewer := make(map[string]bool, len(newer.Caches))
	for _, c := range newer.Caches {
		inNewer[c.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(older.Caches), func(c Endpoint) bool {
		return inNewer[c.ID] || newer.At-c.At > maxAge || c.At > newer.At
	})
}

// withOlderKeys returns the newer snapshot's entries, with capacity for so many more. An entry whose keys were not collected this time
// takes those of the older snapshot, where they are of the same process.
func withOlderKeys(older, newer Snapshot, maxAge Time, more int) []Endpoint {
	olderByID := make(map[string]*Endpoint, len(older.Caches))
	for i := range older.Caches {
		olderByID[older.Caches[i].ID] = &older.Caches[i]
	}
	entries := make([]Endpoint, 0, len(newer.Caches)+more)
	for _, c := range newer.Caches {
		before := olderByID[c.ID]
		if c.KeysAt == 0 && before != nil && before.StartedAt == c.StartedAt && newer.At-before.KeysAt <= maxAge {
			c.CachedKeys, c.KeysAt = before.CachedKeys, before.KeysAt
		}
		entries = append(entries, c)
	}
	return entries
}

package decide

// Where keys go, for whoever has to know it beforehand: stand-ins that hold what caches of a running fleet
// hold, and plans for a fleet that changes. It decides nothing.

// Homes returns the cache that a key goes to first, by the key's hash, among caches of which all take work and
// none is hot, full or in trouble. There has to be one.
func Homes(caches []Entry) func(key uint64) string {
	r := &Router{keys: [2]map[uint64]int{{}, {}}}
	for _, e := range caches {
		if e.Size <= 0 {
			e.Size = 1
		}
		r.ready = append(r.ready, &cache{Entry: e, hash: hash(e.ID)})
	}
	return func(key uint64) string {
		r.rank(key)
		return r.nth(0).ID
	}
}

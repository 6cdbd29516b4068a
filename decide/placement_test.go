package decide

import "testing"

// TestHomesAreWhereARouterSends: a router that has nothing against any cache sends each key to its home.
func TestHomesAreWhereARouterSends(t *testing.T) {
	b := quietBench(t, 9, nil)
	var entries []Entry
	for _, c := range b.r.ready {
		entries = append(entries, c.Entry)
	}
	home := Homes(entries)
	used := map[string]int{}
	for id := range int64(200) {
		key := mix(uint64(id))
		s := b.ask(id+1, "read", key)
		if s == nil {
			t.Fatalf("request %d was not sent", id+1)
		}
		if want := home(key); s.Cache != want {
			t.Errorf("key %d went to %s, its home is %s", key, s.Cache, want)
		}
		used[s.Cache]++
		b.settle(id+1, 0)
	}
	if len(used) != 9 {
		t.Errorf("%d of 9 caches were used", len(used))
	}
}

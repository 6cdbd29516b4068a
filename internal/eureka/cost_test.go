package eureka

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
)

// packed is the length of a text as gzip has it.
func packed(s string) int {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	z.Write([]byte(s))
	z.Close()
	return b.Len()
}

// TestDeltaIsCheaperThanWholeLists by the factor that the operators' page gives, in a registry where nothing happens.
func TestDeltaIsCheaperThanWholeLists(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("10.1.%d.%d:cache:6379", i/250, i%250))
		}
		fl := newFleet(ids...)
		for i := range fl.nodes {
			fl.nodes[i].updated += int64(i) * 977
		}
		whole, quiet := list(1, fl.nodes, fl.nodes), list(1, fl.nodes, nil)
		for _, id := range ids[:n/10] {
			fl.set(id, "DOWN")
		}
		busy := list(1, fl.nodes, fl.changes)
		t.Logf("%d instances: whole list %d bytes, packed %d; delta without changes %d, packed %d; with a tenth changed %d, packed %d",
			n, len(whole), packed(whole), len(quiet), packed(quiet), len(busy), packed(busy))
		if packed(quiet)*4 > packed(whole) || packed(quiet) > 200 {
			t.Errorf("%d instances: a quiet delta takes %d bytes, the whole list %d", n, packed(quiet), packed(whole))
		}
	}
}

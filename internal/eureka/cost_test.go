package eureka

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
)

// gzipSize is the length of a text compressed by gzip.
func gzipSize(s string) int {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	z.Write([]byte(s))
	z.Close()
	return b.Len()
}

// TestDeltaIsCheaperThanFullList by a factor of four at least, in a registry without changes.
func TestDeltaIsCheaperThanFullList(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("10.1.%d.%d:cache:6379", i/250, i%250))
		}
		fl := newScriptedFleet(ids...)
		for i := range fl.nodes {
			fl.nodes[i].updated += int64(i) * 977
		}
		whole, quiet := list(1, fl.nodes, fl.nodes), list(1, fl.nodes, nil)
		for _, id := range ids[:n/10] {
			fl.set(id, "DOWN")
		}
		busy := list(1, fl.nodes, fl.changes)
		t.Logf("%d instances: whole list %d bytes, packed %d; delta without changes %d, packed %d; with a tenth changed %d, packed %d",
			n, len(whole), gzipSize(whole), len(quiet), gzipSize(quiet), len(busy), gzipSize(busy))
		if gzipSize(quiet)*4 > gzipSize(whole) || gzipSize(quiet) > 200 {
			t.Errorf("%d instances: a quiet delta takes %d bytes, the whole list %d", n, gzipSize(quiet), gzipSize(whole))
		}
	}
}

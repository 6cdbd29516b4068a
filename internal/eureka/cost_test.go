package eureka

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
)

// gzipSize returns the size of a text after compression with gzip.
func gzipSize(s string) int {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	z.Write([]byte(s))
	z.Close()
	return b.Len()
}

// TestDeltaIsCheaperThanFullList checks that in a registry without changes a delta is at least four times smaller than the full
// list.
func TestDeltaIsCheaperThanFullList(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("10.1.%d.%d:cache:6379", i/250, i%250))
		}
		fleet := newScriptedFleet(ids...)
		for i := range fleet.nodes {
			fleet.nodes[i].updated += int64(i) * 977
		}
		full, unchanged := list(1, fleet.nodes, fleet.nodes), list(1, fleet.nodes, nil)
		for _, id := range ids[:n/10] {
			fleet.set(id, "DOWN")
		}
		changed := list(1, fleet.nodes, fleet.changes)
		t.Logf("%d instances: full list %d bytes, %d compressed; delta without changes %d, %d compressed; "+
			"with a tenth changed %d, %d compressed",
			n, len(full), gzipSize(full), len(unchanged), gzipSize(unchanged), len(changed), gzipSize(changed))
		if gzipSize(unchanged)*4 > gzipSize(full) || gzipSize(unchanged) > 200 {
			t.Errorf("%d instances: a delta without changes takes %d bytes compressed, the full list %d",
				n, gzipSize(unchanged), gzipSize(full))
		}
	}
}

package loopback

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Miss is a try that was not served within its aim.
type Miss struct {
	ID, Class, Router string
	How               string
	At                Time // since the clients' start
	History           []string
}

// Bounds of what is kept of misses.
const (
	maxKinds   = 64
	maxSamples = 3 // of a kind
)

// kind groups misses that look alike.
type kind struct{ how, class, router string }

// Misses are the tries that were not served within their aim.
type Misses struct {
	N       int
	Seconds map[int]int // by the second in which they were missed
	kinds   map[kind]*kindOfMiss
}

type kindOfMiss struct {
	n       int
	samples []Miss
}

func (m *Misses) add(miss Miss, history func(id string) []string) {
	if m.kinds == nil {
		m.kinds, m.Seconds = map[kind]*kindOfMiss{}, map[int]int{}
	}
	m.N++
	m.Seconds[int(miss.At/second)]++
	at := kind{miss.How, miss.Class, miss.Router}
	k := m.kinds[at]
	if k == nil {
		if len(m.kinds) == maxKinds {
			return
		}
		k = &kindOfMiss{}
		m.kinds[at] = k
	}
	k.n++
	if len(k.samples) < maxSamples {
		miss.History = history(miss.ID)
		k.samples = append(k.samples, miss)
	}
}

// String tells how many there were, and when.
func (m *Misses) String() string {
	var when []string
	for _, s := range slices.Sorted(maps.Keys(m.Seconds)) {
		when = append(when, fmt.Sprintf("%d:%d", s, m.Seconds[s]))
	}
	return fmt.Sprintf("%d tries were not served within their aim; by the second: %s", m.N, strings.Join(when, " "))
}

// Explain writes of which kinds they were, with the lives of some of the commonest kinds.
func (m *Misses) Explain(w io.Writer, lives int) {
	kinds := slices.SortedFunc(maps.Keys(m.kinds), func(a, b kind) int {
		return cmp.Or(cmp.Compare(m.kinds[b].n, m.kinds[a].n), strings.Compare(a.how, b.how),
			strings.Compare(a.class, b.class), strings.Compare(a.router, b.router))
	})
	for i, at := range kinds {
		k := m.kinds[at]
		fmt.Fprintf(w, "%6d  %s, %s at %s\n", k.n, at.how, at.class, at.router)
		if i >= lives {
			continue
		}
		for _, s := range k.samples {
			fmt.Fprintf(w, "        request %s, missed %.1f s after the start\n", s.ID, float64(s.At)/1e6)
			for _, line := range s.History {
				fmt.Fprintf(w, "          %s\n", line)
			}
		}
	}
}

package endpoints

import (
	"fmt"
	"testing"

	"starlingwinch/decide"
)

func newBenchMerger(b *testing.B, n int) (*Merger, []Claim) {
	b.Helper()
	m, err := New(Options{Sources: []SourceOptions{platform, eureka}, Damping: DefaultDamping(), MassRemoval: DefaultMassRemoval()})
	if err != nil {
		b.Fatal(err)
	}
	all := claims(names(1, n)...)
	for _, source := range []string{"platform", "eureka"} {
		m.Handle(1, &SourceUpdate{Source: source, Full: true, Claims: all})
	}
	return m, all
}

// BenchmarkChange measures a partial list in which the second of two sources drains one endpoint or adds it back.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, all := newBenchMerger(b, n)
			draining := all[0]
			draining.Endpoint.Status = decide.Draining
			updates := []*SourceUpdate{{Source: "eureka", Claims: []Claim{draining}}, {Source: "eureka", Claims: all[:1]}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Handle(Time(i)*100*second, updates[i%2])
			}
		})
	}
}

// BenchmarkFull measures a full list without changes.
func BenchmarkFull(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, all := newBenchMerger(b, n)
			update := &SourceUpdate{Source: "eureka", Full: true, Claims: all}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Handle(Time(i)*second, update)
			}
		})
	}
}

// BenchmarkFullNew measures the first full list, in which all endpoints are new.
func BenchmarkFullNew(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := claims(names(1, n)...)
			b.ReportAllocs()
			for b.Loop() {
				m, err := New(Options{Sources: []SourceOptions{platform}})
				if err != nil {
					b.Fatal(err)
				}
				m.Handle(1, &SourceUpdate{Source: "platform", Full: true, Claims: all})
			}
		})
	}
}

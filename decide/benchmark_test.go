package decide

import (
	"fmt"
	"testing"
)

// newBenchmarkRouter returns a router in front of n caches. The concurrency limits and the origin limit are too high to
// take effect.
func newBenchmarkRouter(b *testing.B, n int) *Router {
	s := testSettings()
	s.AllowHealthChecks, s.Routers = false, 3
	r, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	r.Handle(1e9, &EndpointList{Kind: FullUpdate, Endpoints: weightedFleet(n, 1)})
	for _, c := range r.caches {
		c.limit.value = 1e9
	}
	r.origin.limit.value = 1e9
	return r
}

// fleetSizes are the numbers of caches that each benchmark runs with.
var fleetSizes = []int{10, 100, 500, 2000}

// BenchmarkRequest measures requests with many different keys, each sent and served.
func BenchmarkRequest(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchmarkRequests(b, newBenchmarkRouter(b, n), func(i int) uint64 { return mix(uint64(i)) })
		})
	}
}

// BenchmarkHotRequest measures requests of which a quarter have the same key.
func BenchmarkHotRequest(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchmarkRequests(b, newBenchmarkRouter(b, n), func(i int) uint64 {
				if i%4 == 0 {
					return 42
				}
				return mix(uint64(i))
			})
		})
	}
}

func benchmarkRequests(b *testing.B, r *Router, key func(int) uint64) {
	b.ReportAllocs()
	now := Time(1e9)
	for i := range b.N {
		now += 50
		id := int64(i + 1)
		r.Handle(now, &Request{ID: id, Class: "read", Key: key(i), HasKey: true, Deadline: now + 800*ms})
		r.Handle(now+1, &AttemptResult{ID: id, Result: Served, Elapsed: 1, Final: true, Load: LoadReport{Utilization: -1}})
	}
}

// BenchmarkListChange measures list updates in which one cache drains and then serves again.
func BenchmarkListChange(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := newBenchmarkRouter(b, n)
			e := weightedFleet(n, 1)[n/2]
			for i := range b.N {
				e.Status = Status(i % 2)
				r.Handle(Time(2e9+i), &EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
			}
		})
	}
}

package decide

import (
	"fmt"
	"testing"
)

// newBenchmarkRouter returns a router before n caches without limits.
func newBenchmarkRouter(b *testing.B, n int) *Router {
	s := settings()
	s.AllowHealthChecks, s.Routers = false, 3
	r, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	r.Handle(1e9, &EndpointList{Kind: FullUpdate, Endpoints: sizedFleet(n, 1)})
	for _, c := range r.caches {
		c.limit.value = 1e9
	}
	r.origin.limit.value = 1e9
	return r
}

var fleets = []int{10, 100, 500, 2000}

// BenchmarkRequest has requests of many keys sent and served.
func BenchmarkRequest(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			benchmarkRequests(b, newBenchmarkRouter(b, n), func(i int) uint64 { return mix(uint64(i)) })
		})
	}
}

// BenchmarkHotRequest has one key in a quarter of the requests.
func BenchmarkHotRequest(b *testing.B) {
	for _, n := range fleets {
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
		r.Handle(now+1, &AttemptResult{ID: id, Result: Served, Elapsed: 1, Last: true, Load: LoadReport{Utilization: -1}})
	}
}

// BenchmarkListChange has one cache of many drain and come back.
func BenchmarkListChange(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := newBenchmarkRouter(b, n)
			e := sizedFleet(n, 1)[n/2]
			for i := range b.N {
				e.Status = Status(i % 2)
				r.Handle(Time(2e9+i), &EndpointList{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
			}
		})
	}
}

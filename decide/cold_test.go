package decide

import (
	"fmt"
	"testing"
)

// coldFleet plays routers before caches that have all just started, each a processor that is shared
// by what it has in hand. It returns the share of requests served within their aim over the first 10 s and the most that a
// cache was sent, as a multiple of what it could do, over any span of OverloadWindow.
func coldFleet(t *testing.T, routers, caches int, load float64) (inTime, worst float64) {
	const (
		tick = 5 * ms
		work = 100 * ms // of one core, for each request
		aim  = 500 * ms
		span = 10_000 * ms
	)
	s := settings()
	s.Routers, s.SlowStartWindow, s.SlowStartMinCapacity, s.OverloadWindow = routers, 23_000*ms, 0.16, 3000*ms
	s.Classes = []Class{{Name: "read", Semantics: Idempotent, LatencyObjective: aim, ClientTimeout: 1200 * ms, PriorityWeight: 2}}
	benches := make([]*bench, routers)
	entries := fleet(caches)
	for i := range benches {
		benches[i] = newBench(t, s)
		for e := range entries {
			entries[e].StartedAt = benches[i].now
		}
		benches[i].feed(&EndpointList{Kind: FullUpdate, Endpoints: entries})
	}
	type job struct {
		router, attempt int
		id              int64
		left            float64
	}
	type arrival struct {
		at   Time
		work float64
	}
	held := map[string][]*job{}
	sent := map[string][]arrival{}
	asked := map[int64]Time{}
	tries := map[int64]int{}
	over := map[int64]bool{}
	begin := benches[0].now
	capacity := func(now Time) float64 { // cores
		return 6 * min(1, 0.16+0.84*float64(now-begin)/float64(s.SlowStartWindow))
	}
	perform := func(router int, acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				now := benches[router].now
				held[a.Cache] = append(held[a.Cache], &job{router, tries[a.ID], a.ID, work})
				sent[a.Cache] = append(sent[a.Cache], arrival{now, work})
				tries[a.ID]++
			case Reject:
				over[a.ID] = true
			case Fail:
				over[a.ID] = true
			}
		}
	}
	served, total, id, due := 0, 0, int64(0), 0.0
	for now := begin; now < begin+span; now += tick {
		for i, b := range benches {
			perform(i, b.advance(now-b.now))
		}
		for _, e := range entries {
			jobs := held[e.ID]
			each := min(1, capacity(now)/float64(max(1, len(jobs)))) * tick
			held[e.ID] = nil
			for _, j := range jobs {
				switch j.left -= each; {
				case over[j.id]:
					benches[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Cancelled, Last: true})
				case j.left > 0:
					held[e.ID] = append(held[e.ID], j)
				default:
					if now-asked[j.id] <= aim {
						served++
					}
					over[j.id] = true
					perform(j.router, benches[j.router].feed(&AttemptResult{ID: j.id, Attempt: j.attempt, Result: Served, Last: true}))
				}
			}
			from := now - s.OverloadWindow
			offered := 0.0
			for _, a := range sent[e.ID] {
				if a.at > from {
					offered += a.work
				}
			}
			worst = max(worst, offered/(capacity(now)*float64(s.OverloadWindow)))
		}
		for due += load * 0.16 * 6 * float64(caches) * tick / work; due >= 1; due-- {
			id++
			total++
			asked[id] = now
			router := int(id) % routers
			perform(router, benches[router].feed(&Request{ID: id, Class: "read", Key: mix(uint64(id)) % 5000, HasKey: true,
				Deadline: now + 1200*ms}))
		}
	}
	return float64(served) / float64(total), worst
}

// TestFleetThatIsAllColdIsUsed. The danger: cold caches are measured by warm ones, after a power cut
// there are none, and nine of ten requests find no cache that may take them.
func TestFleetThatIsAllColdIsUsed(t *testing.T) {
	for _, load := range []float64{0.3, 0.55, 2, 10} {
		t.Run(fmt.Sprint("at ", load, " of what they can do"), func(t *testing.T) {
			inTime, worst := coldFleet(t, 3, 9, load)
			t.Logf("%.2f served in time, at most %.2f of its capacity sent to a cache", inTime, worst)
			if load < 1 && inTime < 0.6 {
				t.Errorf("%.2f of requests served in time", inTime)
			}
			if worst > 3 {
				t.Errorf("a cache was sent %.2f times what it can do", worst)
			}
		})
	}
}

package script

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// throngStream keeps the draws of DrawThrong apart from all others of the same seed.
const throngStream = 0x7412_0a61

// Figures of a throng: small caches, and a discovery that can just take a call of each router within the operators' bound.
const (
	throngCores    = 1.5
	throngSpeed    = 2
	throngCapacity = 6 * time.Second // in which discovery could take a call of each router, were it never idle; at most
	throngLength   = 16 * time.Second
	throngWork     = 0.13 // of a core's seconds, the usual mean of a request
)

// DrawThrong is a world that the seed decides in which twenty to thirty routers start in step before a discovery that takes few
// calls. Caches drain while routers may have no watch, some can't be met, others come back cold under a burst, and discovery may
// be down for a while.
func DrawThrong(seed uint64, length time.Duration) Script {
	d := drawer{rand.New(rand.NewPCG(seed, throngStream))}
	s := Default()
	s.Seed, s.Length = int64(seed&math.MaxInt64), max(length, throngLength)
	s.Routers, s.Caches = 20+d.IntN(13), 10+d.IntN(5)
	s.Fleet.Cores, s.Fleet.Speed, s.Fleet.ColdBy = throngCores, throngSpeed, "calls"
	s.Fleet.CallCost = time.Duration(d.figure(0.65, 0.85)*float64(throngCapacity)/float64(s.Routers)) / time.Millisecond * time.Millisecond
	s.Fleet.DrainGrace = pick(d, []time.Duration{500 * time.Millisecond, time.Second})
	s.Fleet.ListDelay = d.span(300*time.Millisecond, time.Second)
	s.Fleet.Copies = d.IntN(4) > 0
	s.Rate = math.Round(d.figure(0.4, 0.6) * throngCores * throngSpeed * float64(s.Caches) / throngWork)
	s.Clients.Groups, s.Clients.Retries, s.Clients.Wait = 24, d.IntN(3), pick(d, []string{"at-once", "exponential"})
	s.Clients.Impatient = pick(d, []float64{0, 0.05})
	cache := func(i int) string { return fmt.Sprintf("c%d", 1+i%s.Caches) }
	// Watches are opened in the first seconds, and these caches drain meanwhile.
	first := d.IntN(s.Caches)
	for i := range 2 + d.IntN(2) {
		s.Faults = append(s.Faults, Fault{Kind: Drain, Target: cache(first + i), At: d.span(100*time.Millisecond, 2*time.Second), For: 10 * time.Second})
	}
	// Some of the others can't be met, right as yet others begin to drain.
	unmet := d.span(s.Length/4, s.Length/3)
	for i := range 4 {
		s.Faults = append(s.Faults, Fault{Kind: SwallowDials, Target: cache(first + 3 + i), At: unmet, For: d.span(2*time.Second, 4*time.Second)})
	}
	for _, i := range []int{3, 7} {
		late := d.span(unmet+time.Second, unmet+3*time.Second)
		s.Faults = append(s.Faults, Fault{Kind: Drain, Target: cache(first + i), At: late, For: s.Length - late})
	}
	// Some come back cold under a burst.
	cold := d.span(s.Length/3, s.Length/2)
	for i := range 1 + d.IntN(2) {
		s.Faults = append(s.Faults, Fault{Kind: RestartCold, Target: cache(first + 8 + i), At: cold})
	}
	s.Faults = append(s.Faults, Fault{Kind: Burst, Target: "clients", At: cold, For: d.span(time.Second, 4*time.Second), Factor: d.figure(1.2, 2)})
	if d.IntN(3) == 0 {
		s.Faults = append(s.Faults, Fault{Kind: ListDown, Target: "discovery", At: d.span(3*time.Second, 6*time.Second), For: d.span(time.Second, 3*time.Second),
			How: pick(d, []string{"503", "resets"})})
	}
	s.Sort()
	return s
}

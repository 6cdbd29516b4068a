package script

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// outageStream keeps the draws of DrawOutage apart from all others of the same seed.
const outageStream = 0x6f75_7461

// Figures of a world in which an outage of discovery ends beside drains.
const (
	outageLength     = 17 * time.Second
	outageRate       = 12.0 // requests a second for each cache
	outageMinRouters = 4
	outageMaxRouters = 30

	// outageCapacity is the time that discovery takes for a call of each router. It leaves half a second of the six until
	// routers count as notified.
	outageCapacity = 5500 * time.Millisecond
	// outageMaxCall is well below the second after which a call would be rejected, so that discovery can queue one.
	outageMaxCall = 700 * time.Millisecond
	// linesPerCall is how many lines of an answer cost discovery as much as a call.
	linesPerCall = 50
)

// DrawOutage is a world that the seed decides in which routers lose discovery, and caches begin to drain beside its return. It
// can just take a call of each router before they count as notified.
func DrawOutage(seed uint64, length time.Duration) Script {
	d := drawer{rand.New(rand.NewPCG(seed, outageStream))}
	s := Default()
	s.Seed, s.Length = int64(seed&math.MaxInt64), max(length, outageLength)
	s.Routers, s.Caches = outageRouters(d), 8+d.IntN(5)
	s.Fleet.Cores, s.Fleet.Speed, s.Fleet.ColdBy = throngCores, throngSpeed, "calls"
	s.Fleet.CallCost = outageCallCost(d, s.Routers, s.Caches)
	s.Fleet.DrainGrace = pick(d, []time.Duration{500 * time.Millisecond, time.Second})
	s.Fleet.ListDelay = d.span(50*time.Millisecond, 500*time.Millisecond)
	s.Rate = outageRate * float64(s.Caches)
	s.Clients.Groups, s.Clients.Impatient = 12, 0
	how := pick(d, []string{"503", "resets"})
	begin := d.span(5*time.Second, 6*time.Second)
	end := begin + d.span(500*time.Millisecond, 2500*time.Millisecond)
	s.Faults = append(s.Faults, Fault{Kind: ListDown, Target: "discovery", At: begin, For: end - begin, How: how})
	for i := range 3 {
		at := d.span(end-s.Fleet.ListDelay, end+200*time.Millisecond)
		s.Faults = append(s.Faults, Fault{Kind: Drain, Target: fmt.Sprintf("c%d", 1+i), At: at, For: s.Length - at})
	}
	s.Sort()
	return s
}

// outageRouters draws few routers as often as many: the fewer there are, the longer discovery may be idle between their calls.
func outageRouters(d drawer) int {
	const few = 10
	if d.IntN(2) == 0 {
		return outageMinRouters + d.IntN(few-outageMinRouters+1)
	}
	return few + 1 + d.IntN(outageMaxRouters-few)
}

// outageCallCost draws what a call costs discovery beside the lines of its answer.
func outageCallCost(d drawer, routers, caches int) time.Duration {
	call := min(outageMaxCall, time.Duration(d.figure(0.95, 1)*float64(outageCapacity)/float64(routers)))
	withoutLines := float64(call) / (1 + float64(caches)/linesPerCall)
	return time.Duration(withoutLines).Truncate(time.Millisecond)
}

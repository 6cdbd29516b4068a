package lab

import (
	"math"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin"
)

// What discovery does in the time that it takes for a new call: lines of changes that watches are told, and calls turned away.
const (
	linesPerCall    = 50
	refusalsPerCall = 40
)

// SizeCaches gives caches the script's cores, and each core the usual slots and places to wait, and discovery the script's capacity.
func SizeCaches(s script.Script, o *standin.Options) {
	c := &o.Cache.Capacity
	c.Speed = s.Fleet.Speed
	slots, queue := float64(c.ConcurrentRequests)/c.Cores, float64(c.Queue)/c.Cores
	c.Cores = s.Fleet.Cores
	c.ConcurrentRequests, c.Queue = int(math.Ceil(slots*c.Cores)), int(math.Ceil(queue*c.Cores))
	c.MeanWork = meanWork(s, o.Classes)
	o.Discovery.CallCost = microseconds(s.Fleet.CallCost)
	o.Discovery.LineCost = o.Discovery.CallCost / linesPerCall
	o.Discovery.RejectCost = o.Discovery.CallCost / refusalsPerCall
}

// meanWork is the mean work of a request, where the script has cold caches bear so many calls; else 0.
func meanWork(s script.Script, classes []standin.Class) Time {
	if s.Fleet.ColdBy != "calls" {
		return 0
	}
	work, share := 0.0, 0.0
	for _, c := range classes {
		work, share = work+c.TrafficFraction*float64(c.Work), share+c.TrafficFraction
	}
	return Time(work / share)
}

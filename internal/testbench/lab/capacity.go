package lab

import (
	"math"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/standin"
)

// Work that discovery does in the time that it needs to accept one call: change lines sent to watches, or calls rejected.
const (
	linesPerCall    = 50
	refusalsPerCall = 40
)

// SizeCaches sets the caches' cores from the script, with the default number of slots and queue places per core, and sets the capacity
// of discovery from the script.
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

// meanWork returns the mean work of a request if the script limits cold caches by calls, and 0 otherwise.
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

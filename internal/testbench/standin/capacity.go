package standin

// Capacity describes the processor of a cache.
type Capacity struct {
	Cores              float64 // number of cores
	Speed              float64 // of a core, relative to the one that work is measured on; 0 stands for 1
	ConcurrentRequests int     // requests in work at once, each in a slot
	Queue              int     // requests that may wait for a slot

	// Thrash is the slowdown for each request a core beyond ThrashAt requests a core.
	Thrash   float64
	ThrashAt float64

	// FullTableSlowdown is the fraction of capacity that is lost when the connection table is full; less in proportion
	// to its occupancy.
	FullTableSlowdown float64

	// SlowStartMinCapacity is the fraction of its capacity that a cold process starts with. It rises evenly to 1 within
	// SlowStartWindow.
	SlowStartMinCapacity float64
	SlowStartWindow      Time

	// A cache that is sent more than OverloadMultiple times what it can do, summed over OverloadWindow, crashes. 0 of
	// either is never.
	OverloadMultiple float64
	OverloadWindow   Time
	MeanWork         Time // where it is not 0, rules.AllowedWork adds a tolerance for this mean work of a request

	Congestion Congestion // off unless Slowdown is above 1
}

// Congestion makes a cache slow after it held too many requests, until it was nearly idle for a while. It strikes once
// in the life of a process.
type Congestion struct {
	Threshold           float64 // it begins above Cores + Threshold x sqrt(Cores) requests held, averaged over Window
	Window              Time    // averaging time of Threshold
	Slowdown            float64 // how many times slower the cache is meanwhile
	RecoveryUtilization float64 // it ends below this utilization of the cores, averaged over RecoveryWindow
	RecoveryWindow      Time    // averaging time of RecoveryUtilization
	MaxDuration         Time    // it ends after so long at the latest
}

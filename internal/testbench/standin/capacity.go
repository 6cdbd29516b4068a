package standin

// Capacity describes the processor of a cache.
type Capacity struct {
	Cores              float64 // number of cores
	Speed              float64 // speed of a core relative to the reference core of Work; 0 stands for 1
	ConcurrentRequests int     // maximum of running requests; each occupies a slot
	Queue              int     // maximum of requests queued for a slot

	// Thrash is the slowdown per request per core above ThrashAt requests per core.
	Thrash   float64
	ThrashAt float64

	// FullTableSlowdown is the fraction of capacity that is lost when the connection table is full; less in proportion
	// to its occupancy.
	FullTableSlowdown float64

	// SlowStartMinCapacity is the fraction of its capacity that a cold process starts with. It rises evenly to 1 within
	// SlowStartWindow.
	SlowStartMinCapacity float64
	SlowStartWindow      Time

	// A cache crashes if the work that arrives within OverloadWindow exceeds OverloadMultiple times its capacity. 0 for
	// either disables this.
	OverloadMultiple float64
	OverloadWindow   Time
	MeanWork         Time // if not 0, rules.AllowedWork adds a tolerance for this mean work of a request

	Congestion Congestion // off unless Slowdown is above 1
}

// Congestion slows a cache down after it held too many requests, until it has been nearly idle for RecoveryWindow. It occurs once
// in the life of a process.
type Congestion struct {
	Threshold           float64 // it begins above Cores + Threshold x sqrt(Cores) requests held, averaged over Window
	Window              Time    // averaging time of Threshold
	Slowdown            float64 // factor by which the cache is slower during congestion
	RecoveryUtilization float64 // it ends below this utilization of the cores, averaged over RecoveryWindow
	RecoveryWindow      Time    // averaging time of RecoveryUtilization
	MaxDuration         Time    // maximum duration of the congestion
}

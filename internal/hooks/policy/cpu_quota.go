package policy

const (
	cpuBurst      = 200_000.0 // µs that a hook with a whole core may save up
	cpuBurstCalls = 3.0       // calls at their whole budget that a hook may save up, where that is longer
)

// cpuQuota bounds a hook's CPU time to a fraction of one core, with a burst on top.
type cpuQuota struct {
	fraction  float64 // of one core
	burst     float64 // µs that may be used in advance
	debt      float64 // µs used in advance; falls by fraction with time
	updatedAt Time    // when debt was last reduced
}

// newCPUQuota returns the quota of a hook that was made at now.
func newCPUQuota(h Hook, now Time) cpuQuota {
	burst := max(cpuBurst*h.CPUFraction, cpuBurstCalls*float64(h.Time))
	return cpuQuota{fraction: h.CPUFraction, burst: burst, updatedAt: now}
}

// allowsCall reports whether the hook is within its quota.
func (q *cpuQuota) allowsCall(now Time) bool {
	q.reduceDebt(now)
	return q.debt <= q.burst
}

// charge adds the run time of a call.
func (q *cpuQuota) charge(now, runTime Time) {
	q.reduceDebt(now)
	q.debt += float64(runTime)
}

// reduceDebt takes off what the hook has earned since the last time.
func (q *cpuQuota) reduceDebt(now Time) {
	q.debt = max(0, q.debt-float64(now-q.updatedAt)*q.fraction)
	q.updatedAt = now
}

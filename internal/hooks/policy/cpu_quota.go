package policy

const (
	cpuBurst      = 200_000.0 // µs; burst of a hook whose CPUFraction is 1
	cpuBurstCalls = 3.0       // minimum burst, in calls that use up their time budget
)

// cpuQuota limits the CPU time of a hook to a fraction of one core, and allows a burst.
type cpuQuota struct {
	fraction  float64 // of one core
	burst     float64 // µs; debt up to which calls are allowed
	debt      float64 // µs used beyond the fraction; falls at the rate of fraction
	updatedAt Time    // when debt was last reduced
}

// newCPUQuota returns the quota of a hook, starting at now without debt.
func newCPUQuota(h Hook, now Time) cpuQuota {
	burst := max(cpuBurst*h.CPUFraction, cpuBurstCalls*float64(h.Time))
	return cpuQuota{fraction: h.CPUFraction, burst: burst, updatedAt: now}
}

// allowsCall reports whether the hook is within its quota.
func (q *cpuQuota) allowsCall(now Time) bool {
	q.reduceDebt(now)
	return q.debt <= q.burst
}

// charge adds the run time of a call to the debt.
func (q *cpuQuota) charge(now, runTime Time) {
	q.reduceDebt(now)
	q.debt += float64(runTime)
}

// reduceDebt reduces the debt by the CPU time that the hook was entitled to since the last update.
func (q *cpuQuota) reduceDebt(now Time) {
	q.debt = max(0, q.debt-float64(now-q.updatedAt)*q.fraction)
	q.updatedAt = now
}

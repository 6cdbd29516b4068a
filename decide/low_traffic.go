package decide

// maxRoutersWithUsualTraffic is the number of routers above which traffic per router counts as low. It is
// twice initialConcurrency, so that the share of one router is half an attempt per cache.
const maxRoutersWithUsualTraffic = 16

// lowTraffic reports whether so many routers share the caches that each router sends a given cache only one
// request every few seconds.
//
// Limits on attempts in flight then have too few results to adapt to, and all routers react in the same way
// at the same time. Each router therefore relies on information that does not require a second answer from
// the same cache. The following rules differ, and each one documents its difference:
//
//   - concurrency limit: a result at one cache does not affect other caches (adjustFleetLimits)
//   - origin limit: late likely misses count by their probability (originOverdue, updateOriginLimit)
//   - overdue attempts: idempotent ones are cancelled after their latency objective (handleObjectiveReached)
//   - outliers: a cache that delays a request is ejected, and few requests may move (outlier.go)
//   - admission: requests above the rate that all caches serve in time are rejected at once (admission.go)
//   - hot keys: keys are spread by likely popularity, first in the router's zone (hot_keys.go, rankCaches)
//   - distant zones: a zone whose answers are always late is excluded (zone_latency.go)
//   - slow start: hot keys are sent to caches that warm up (admitsDuringSlowStart)
//   - idle connections and health checks: connections are closed, and checks pay for their connections
func (r *Router) lowTraffic() bool { return r.settings.Routers > maxRoutersWithUsualTraffic }

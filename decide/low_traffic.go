package decide

// maxRoutersWithUsualTraffic is the number of routers above which traffic per router counts as low: at twice
// initialConcurrency, a router's part of it is half an attempt a cache.
const maxRoutersWithUsualTraffic = 16

// lowTraffic reports whether so many routers share the caches that each sends one of them a request every few
// seconds.
//
// Limits on attempts that are out then have nothing to learn from, and what one router does all of them do.
// So a router uses what it needs no second answer for. These rules differ, and each says how:
//
//   - concurrency limit: a result at one cache does not count for others (adjustFleetLimits)
//   - origin limit: late likely misses count by how likely they are (originOverdue, learnOrigin)
//   - overdue attempts: idempotent ones are cancelled past their latency objective (handleObjectiveReached)
//   - outliers: a cache that kept a request waiting is ejected, and few requests may move (outlier.go)
//   - admission: what all caches together don't serve in time is rejected at once (admission.go)
//   - hot keys: keys are spread by their likely popularity, in the own zone first (hot_keys.go, rankCaches)
//   - distant zones: a zone from which answers always come too late is left out (zone_latency.go)
//   - slow start: hot keys are sent to caches that warm up (admitsDuringSlowStart)
//   - idle connections and health checks: connections are closed, and checks pay for theirs
func (r *Router) lowTraffic() bool { return r.settings.Routers > maxRoutersWithUsualTraffic }

package decide

// slowStartWindowsPerKeyWindow is the number of windows of cached keys in a slow-start window. A cache that
// is refilling keeps its keys for about as long as the refill takes.
const slowStartWindowsPerKeyWindow = 4

// recentKeys are the keys that a cache has served in the current window and the previous one. The cache
// likely still holds them.
type recentKeys [2]map[uint64]bool

func newRecentKeys() recentKeys { return recentKeys{{}, {}} }

func (k *recentKeys) add(key uint64) { k[0][key] = true }

// likelyCached reports whether a read of the key is likely a hit.
func (k *recentKeys) likelyCached(key uint64) bool { return k[0][key] || k[1][key] }

// rotate starts a new window.
func (k *recentKeys) rotate() { *k = recentKeys{{}, k[0]} }

// rotateCachedKeys starts a new window of cached keys for all caches and schedules the next rotation.
func (r *Router) rotateCachedKeys() {
	for _, c := range r.caches { // any order: the caches are independent
		c.cachedKeys.rotate()
	}
	window := max(r.settings.SlowStartWindow/slowStartWindowsPerKeyWindow, r.keyWindow())
	r.runAt(r.now+window, r.rotateCachedKeys)
}

// likelyMiss reports whether the request is a read that the origin likely has to serve if it is sent to the
// cache.
func (q *request) likelyMiss(c *cache) bool { return !q.Write && !c.cachedKeys.likelyCached(q.Key) }

// recordServed records a served request's key as cached, and the request as work that the cache has done.
func (r *Router) recordServed(result *finishedAttempt) {
	if result.result != Served {
		return
	}
	result.cache.cachedKeys.add(result.request.Key)
	result.cache.served.increment(r.now, r.settings.OverloadWindow)
}

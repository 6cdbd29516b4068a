package decide

// slowStartWindowsPerKeyWindow is the number of windows of cached keys in a slow-start window: a cache that
// fills up again keeps its keys for about as long as that takes.
const slowStartWindowsPerKeyWindow = 4

// recentKeys are the keys that a cache has answered for in the present window and the one before. It likely
// still holds them.
type recentKeys [2]map[uint64]bool

func newRecentKeys() recentKeys { return recentKeys{{}, {}} }

func (k *recentKeys) add(key uint64) { k[0][key] = true }

// likelyCached reports whether a read of the key is likely a hit.
func (k *recentKeys) likelyCached(key uint64) bool { return k[0][key] || k[1][key] }

// rotate begins a new window.
func (k *recentKeys) rotate() { *k = recentKeys{{}, k[0]} }

// rotateCachedKeys begins a new window of the keys of all caches, again and again.
func (r *Router) rotateCachedKeys() {
	for _, c := range r.caches { // any order: each by itself
		c.cachedKeys.rotate()
	}
	window := max(r.settings.SlowStartWindow/slowStartWindowsPerKeyWindow, r.keyWindow())
	r.runAt(r.now+window, r.rotateCachedKeys)
}

// likelyMiss reports whether the origin likely has to serve a read that is sent to the cache.
func (q *request) likelyMiss(c *cache) bool { return !q.Write && !c.cachedKeys.likelyCached(q.Key) }

// learnServed takes a served request into the keys that its cache holds and the work that it does.
func (r *Router) learnServed(result *finishedAttempt) {
	if result.result != Served {
		return
	}
	result.cache.cachedKeys.add(result.request.Key)
	result.cache.served.increment(r.now, r.settings.OverloadWindow)
}

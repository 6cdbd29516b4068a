package decide

import "math"

const (
	// hotKeyCapacityFraction is the fraction of a cache's fair share of requests that one key may use.
	hotKeyCapacityFraction = .5
	// minHotKeyRequests is the number of requests for a key from which the key may be hot.
	minHotKeyRequests = 2
	// routersPerKeyWindow is the number of routers up to which a key window lasts one drain grace.
	routersPerKeyWindow = 4
	// keyWindowsPerCount is the number of key windows after which a new count starts.
	keyWindowsPerCount = 2

	// The following constants apply in low traffic per router.

	// lowTrafficHotKeyFraction replaces hotKeyCapacityFraction. In a large fleet, a key may use a smaller
	// fraction of a cache.
	lowTrafficHotKeyFraction = .03
	// busyOriginHotKeyFraction replaces lowTrafficHotKeyFraction while the origin is not idle, because each
	// additional cache misses first.
	busyOriginHotKeyFraction = .125
	// assumedKeyRatio is the ratio of all requests that a key is assumed to have before it is observed.
	assumedKeyRatio = .003
	// assumedKeyRequests is the number of requests that the assumption counts as.
	assumedKeyRequests = 30
)

// hotKeys counts requests by key in the current window and the previous one. A hot key that is sent to one
// cache overloads it, and the other keys of the cache then go to other caches and miss.
type hotKeys struct {
	requests [2]map[uint64]int
	total    [2]int
}

func newHotKeys() hotKeys { return hotKeys{requests: [2]map[uint64]int{{}, {}}} }

// count adds one request.
func (h *hotKeys) count(key uint64) {
	h.requests[0][key]++
	h.total[0]++
}

// frequency returns the number of requests for a key and the number of requests for all keys.
func (h *hotKeys) frequency(key uint64) (ofKey, ofAll float64) {
	return float64(h.requests[0][key] + h.requests[1][key]), float64(h.total[0] + h.total[1])
}

// rotate starts a new window.
func (h *hotKeys) rotate() {
	h.requests = [2]map[uint64]int{{}, h.requests[0]}
	h.total = [2]int{0, h.total[0]}
}

// keyWindow returns the length of the window in which keys are counted; µs. The window grows with the number
// of routers, because each router then sees fewer requests for a key.
func (r *Router) keyWindow() Time {
	routers := max(1, float64(r.settings.Routers)/routersPerKeyWindow)
	return Time(float64(r.settings.DrainGrace) * math.Sqrt(routers))
}

// rotateKeyCounts starts a new window of key counts, reports load shedding and schedules the next rotation.
func (r *Router) rotateKeyCounts() {
	r.hotKeys.rotate()
	r.reportShedding()
	r.runAt(r.now+keyWindowsPerCount*r.keyWindow(), r.rotateKeyCounts)
}

// replicas returns the number of caches over which the requests for a key are spread, so that no cache
// receives more than a fair share.
//
// Low traffic per router: a router that has just started does not know the hot keys. If all routers sent each
// hot key to one cache, they would overload the cache within seconds. Each key is therefore assumed to have
// some requests.
func (r *Router) replicas(key uint64) float64 {
	ofKey, ofAll := r.hotKeys.frequency(key)
	if !r.lowTraffic() {
		if ofKey < minHotKeyRequests {
			return 1
		}
		return 1 + ofKey/ofAll*float64(len(r.serving))/hotKeyCapacityFraction
	}
	ratio := (max(ofKey-1, 0) + assumedKeyRatio*assumedKeyRequests) / (ofAll + assumedKeyRequests)
	fraction := lowTrafficHotKeyFraction
	if !r.origin.idle() {
		fraction = busyOriginHotKeyFraction
	}
	return 1 + ratio*float64(len(r.serving))/fraction
}

// replicaCount returns replicas as an integer.
//
// Low traffic per router: the number is rounded at random, so that the mean over all routers is exact.
func (r *Router) replicaCount(key uint64) int {
	if r.lowTraffic() {
		return int(r.replicas(key) + r.random.next())
	}
	return int(r.replicas(key))
}

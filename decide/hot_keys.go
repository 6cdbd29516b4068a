package decide

import "math"

const (
	// hotKeyCapacityFraction is the fraction of a cache's fair share of requests that one key may take.
	hotKeyCapacityFraction = .5
	// minHotKeyRequests is the number of requests for a key before it can be hot.
	minHotKeyRequests = 2
	// routersPerKeyWindow is the number of routers up to which a key window is one drain grace.
	routersPerKeyWindow = 4
	// keyWindowsPerCount is the number of key windows after which a new count begins.
	keyWindowsPerCount = 2

	// The following hold for low traffic per router.

	// lowTrafficHotKeyFraction is hotKeyCapacityFraction there: in a large fleet, a key may fill less of a
	// cache.
	lowTrafficHotKeyFraction = .03
	// busyOriginHotKeyFraction is the same while the origin is not idle, as each further cache misses first.
	busyOriginHotKeyFraction = .125
	// assumedKeyRatio is the ratio of all requests that a key is assumed to have before anything is known of
	// it.
	assumedKeyRatio = .003
	// assumedKeyRequests is the number of requests that the assumption counts as.
	assumedKeyRequests = 30
)

// hotKeys counts requests by key, in the present window and the one before. A hot key would overload its
// cache, and the cache's other keys would go elsewhere and miss.
type hotKeys struct {
	requests [2]map[uint64]int
	total    [2]int
}

func newHotKeys() hotKeys { return hotKeys{requests: [2]map[uint64]int{{}, {}}} }

// count counts one request.
func (h *hotKeys) count(key uint64) {
	h.requests[0][key]++
	h.total[0]++
}

// frequency returns the number of requests for a key, and for all keys.
func (h *hotKeys) frequency(key uint64) (ofKey, ofAll float64) {
	return float64(h.requests[0][key] + h.requests[1][key]), float64(h.total[0] + h.total[1])
}

// rotate begins a new window.
func (h *hotKeys) rotate() {
	h.requests = [2]map[uint64]int{{}, h.requests[0]}
	h.total = [2]int{0, h.total[0]}
}

// keyWindow is the time over which keys are counted. It is longer where many routers each see few of a key's
// requests.
func (r *Router) keyWindow() Time {
	routers := max(1, float64(r.settings.Routers)/routersPerKeyWindow)
	return Time(float64(r.settings.DrainGrace) * math.Sqrt(routers))
}

// rotateKeyCounts begins a new window of key counts, again and again.
func (r *Router) rotateKeyCounts() {
	r.hotKeys.rotate()
	r.reportShedding()
	r.runAt(r.now+keyWindowsPerCount*r.keyWindow(), r.rotateKeyCounts)
}

// replicas returns over how many caches the requests of a key go, so that each gets no more than a fair part.
//
// Low traffic per router: a router that has just started does not know the hot keys, and if all routers sent
// each to one cache, that would be overloaded within seconds. So every key is assumed to have some requests.
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

// replicaCount is replicas as a whole number.
//
// Low traffic per router: it is rounded at random. Each router errs, but their mean does not.
func (r *Router) replicaCount(key uint64) int {
	if r.lowTraffic() {
		return int(r.replicas(key) + r.random.next())
	}
	return int(r.replicas(key))
}

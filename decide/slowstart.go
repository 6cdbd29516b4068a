// How much a cache that has just started is sent.

package decide

import (
	"math"
)

// warmEnough keeps a cold cache to its share, whichever way a request comes to
// it. The danger: all routers' work adds up, and a cold cache pushed over stays
// down. A second hash of the key decides, so that routers agree and it fills steadily.
func (r *Router) warmEnough(q *request, c *cache) bool {
	if r.now >= c.warmAt {
		return true
	}
	w := r.warmLoad()
	lack := max(0, 1-2*w.size/w.whole)
	hot := r.width(q.Key) >= 2 && !r.sparse() // where routers are many, nearly all keys go to several caches
	if part := unit(mix(mix(q.Key) + 1)); part >= lack && (len(q.attempts) > 0 || hot || part >= r.warmth(c)) {
		return false // in trouble retries are most of what is sent, and they all look for room
	}
	// Retries and hot keys can still add up: it gets no more than its part of what warm ones get. The
	// danger: after a power cut there are no warm ones, and next to nothing is sent at all. Then what
	// it serves is the measure: work grows with that, and stays under the multiple that pushes it over.
	return r.recent(c) < 1+max(r.warmth(c)*c.Weight*w.sent/max(w.size, c.Weight), lack*coldGrowth*r.servedBy(c))
}

// warmLoad is what warm caches have been sent lately, and their size beside that of all.
type warmLoad struct {
	at                Time
	sent, size, whole float64
}

// warmLoad sums it up once a millisecond. The danger: with thousands of caches, some of them always
// cold, the sum is most of what a request costs.
func (r *Router) warmLoad() *warmLoad {
	if w := &r.warm; w.whole == 0 || r.now/1000 != w.at/1000 || len(r.ready) <= fewCaches {
		*w = warmLoad{at: r.now}
		for _, c := range r.ready {
			if w.whole += c.Weight; r.now >= c.warmAt {
				w.sent, w.size = w.sent+r.recent(c), w.size+c.Weight
			}
		}
	}
	return &r.warm
}

// recent is the number of attempts sent to a cache lately, fading within OverloadWindow.
func (r *Router) recent(c *cache) float64 { return c.sends * r.fade(c.lastSend) }

// servedBy is the same of what it has served.
func (r *Router) servedBy(c *cache) float64 { return c.serves * r.fade(c.lastServe) }

// fade is the weight of what was counted at a time.
func (r *Router) fade(then Time) float64 {
	return math.Exp(-float64(r.now-then) / float64(max(r.set.OverloadWindow, 1)))
}

// warmth is the least share of its capacity that a cache can have by now.
func (r *Router) warmth(c *cache) float64 {
	if r.now >= c.warmAt {
		return 1
	}
	age := float64(r.now-c.coldFrom) / float64(r.set.SlowStartWindow)
	return r.set.SlowStartMinCapacity + (1-r.set.SlowStartMinCapacity)*max(0, age)
}

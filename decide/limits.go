// How many requests a cache is sent at a time.

package decide

// rest closes a cache's idle connections where they cost more than they save. The danger: each router
// keeps the one to each cache that a probe has opened, and the caches' tables are full of them.
func (r *Router) rest(c *cache) {
	if c.pending == 0 && r.caches[c.ID] == c && r.closesIdle(c) {
		r.do(CloseIdle{c.ID})
	}
}

// closesIdle reports whether an idle connection to the cache costs more than it saves: a dial,
// when this router comes back. At even shares keeping costs Routers/100 times what dialling
// does, as 100 connections a cache cost ConnectionCost; a cache used more than others earns its own
// more often. The danger: every router keeps one to every cache, and the caches' tables are full.
func (r *Router) closesIdle(c *cache) bool {
	again := float64(c.uses-1) / float64(max(1, r.uses)) * float64(len(r.ready))
	if r.sparse() && again < usedMuch {
		return true // the danger: what a cache takes is told nowhere, and priced or not, its table is full
	}
	crowd := float64(r.set.Routers) / 100
	keep := r.set.ConnectionCost * crowd
	if crowd > 1 {
		keep *= crowd * crowd // the danger: a table that is full takes a cache more work than dials do
	}
	return keep > r.set.DialCost*again
}

// alone is the limit at which all routers together keep one attempt out at a cache.
func (r *Router) alone() float64 { return 1 / float64(max(1, r.set.Routers)) }

// adjust moves a limit by the fate of one attempt under it. A limit comes to rest where
// the tolerated share of attempts is overdue: some are long by nature.
func adjust(limit *float64, good bool, tolerated float64) {
	if good {
		*limit += step * tolerated / (1 - tolerated)
	} else {
		*limit = max(leastLimit, *limit-step*min(*limit, 1))
	}
}

// pool lets a verdict on one cache count in part at all that take more than one attempt of all
// routers. The danger: of many routers each sends a cache little, and learns of a surge or of a
// lost zone from each cache apart, when it is over. Of hundreds, it would be all caches for one that hangs.
func (r *Router) pool(good bool) {
	if r.sparse() {
		return
	}
	weight := pooled * float64(r.set.Routers)
	part := weight / (weight + float64(len(r.ready)))
	if part < leastPart {
		return // the danger: with thousands of caches each answer looks at all of them, for a thousandth
	}
	for _, c := range r.ready {
		if limit := c.limit; limit > r.alone() {
			adjust(&limit, good, tolerated)
			c.limit = max(r.alone(), c.limit+part*(limit-c.limit))
		}
	}
}

// Which caches are held to be well: by probes on the ordinary path, and by what attempts meet. The
// mechanism is the design's. Interval is the span within which the operators want bad news acted upon, or
// as many of them as it takes this router's requests to pay for a probe of each cache: probes grow with
// routers times caches, and would cost more than they save.

package decide

import (
	"math"
)

func (r *Router) probeRound() {
	r.at(r.now+r.set.DrainGrace, r.probeRound)
	r.beats++
	if r.spare < float64(len(r.ready)) && r.beats < longestInterval {
		return
	}
	r.spare, r.beats = 0, 0
	r.round++
	n := r.round
	for _, c := range r.ready {
		c.probing = n
		r.do(HealthCheck{c.ID})
	}
	r.at(r.now+r.probeTimeout(), func() {
		for _, c := range r.ready {
			if c.probing == n {
				c.probing = 0
				c.fails++ // a hung cache never answers its probe: the timer counts it
			}
			if c.healthy && c.fails >= threshold {
				r.mark(c, false)
			}
		}
	})
}

func (r *Router) probeTimeout() Time { return r.set.DrainGrace / 2 }

func (r *Router) probed(ev *HealthCheckResult) {
	c := r.caches[ev.Cache]
	if c == nil || c.probing == 0 {
		return // too late: its round has been judged
	}
	c.probing = 0
	if ev.Result == NotSent {
		return // it tells nothing of the cache
	}
	if r.sparse() {
		r.rest(c) // few routers come back to each cache soon
	}
	if ev.Result != Served {
		c.fails++
		return
	}
	c.fails = 0
	if !c.healthy {
		r.mark(c, true)
	}
}

func (r *Router) mark(c *cache, healthy bool) {
	if c.healthy = healthy; healthy {
		r.logf("%s healthy", c.ID)
	} else {
		r.logf("%s unhealthy after %d failed probes", c.ID, c.fails)
	}
}

// reached notes whether an attempt met the cache. The danger: links to a zone are cut, and a
// router that learns it from each of its caches apart finds out when it is over.
func (r *Router) reached(c *cache, met bool) {
	if met {
		c.zone.fails = 0
		return
	}
	if c.zone.fails++; c.zone.fails == zoneThreshold {
		r.logf("zone %s out of reach", c.Zone)
	}
	c.zone.trialAt = r.now + r.set.SlowStartWindow/4
	if r.pressure.Outage {
		c.sends, c.lastSend = max(0, r.recent(c)-1), r.now // what never came is no load
	}
}

// cut reports whether a cache's zone is held to be out of reach.
func (r *Router) cut(c *cache) bool { return c.zone.fails >= zoneThreshold && r.now < c.zone.trialAt }

// fails reports whether a cache answers mostly errors, and has done so just now. The danger: one that
// fails at once looks idle and passes its probes, and its errors would be blamed on the origin.
func (r *Router) fails(c *cache) bool { return r.errors(c) > max(.5, 3*r.erring) }

func (r *Router) errors(c *cache) float64 {
	return c.erring * math.Exp(-float64(r.now-c.erredAt)/float64(4*r.set.DrainGrace))
}

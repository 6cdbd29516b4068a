package rules

import (
	"fmt"
	"math"
)

// bins is the number of parts that a window of load is summed in.
const bins = 12

// window sums work over a span that slides on with time.
type window struct {
	part  Time // length of a bin
	last  Time // number of the newest bin, in parts since the clock's zero
	sums  [bins]Time
	total Time
}

func (w *window) init(span Time) { *w = window{part: max(span/bins, 1)} }

// slide lets go of what is older than the window.
func (w *window) slide(now Time) {
	n := now / w.part
	if n-w.last >= bins {
		w.sums, w.total = [bins]Time{}, 0
		w.last = n
		return
	}
	for w.last < n {
		w.last++
		i := w.last % bins
		w.total -= w.sums[i]
		w.sums[i] = 0
	}
}

func (w *window) add(now, work Time) {
	w.slide(now)
	w.sums[w.last%bins] += work
	w.total += work
}

// cache is a cache's name through its lives.
type cache struct {
	name       string
	zone, cell string
	life       *cacheLife
	load       window
	told       window // ... by routers that had been told of its start
	over       bool   // its load was over the multiple when work last came
}

// cacheLife is one process of a cache. Attempts point to theirs, so its end ends them all at once.
type cacheLife struct {
	down      bool
	downAt    Time
	started   Time
	capacity  float64 // work (µs) a second when warm; 0 where it was not told
	coldShare float64
	coldFor   Time
	pushed    bool            // has been reported
	told      map[string]bool // routers that have been told of its start
}

// warmth is the share of its capacity that it can do: it rises evenly from the cold share.
func (l *cacheLife) warmth(now Time) float64 {
	age := now - l.started
	if age >= l.coldFor {
		return 1
	}
	return l.coldShare + (1-l.coldShare)*float64(age)/float64(l.coldFor)
}

func (w *Watcher) cache(name string) *cache {
	c := w.caches[name]
	if c == nil {
		c = &cache{name: name, life: &cacheLife{}}
		c.load.init(w.set.FallFor)
		c.told.init(w.set.FallFor)
		w.caches[name] = c
	}
	return c
}

// Place tells the zone and the cell of a cache, for the classes whose key is known there alone. Caches
// that were not placed are in one zone and cell.
func (w *Watcher) Place(cache, zone, cell string) {
	c := w.cache(cache)
	c.zone, c.cell = zone, cell
}

// CacheUp implements Observer.
func (w *Watcher) CacheUp(now Time, name string, capacity, coldShare float64, coldFor Time) {
	w.advance(now)
	c := w.cache(name)
	if !c.life.down {
		c.life.down, c.life.downAt = true, now // its end was not told
	}
	c.life = &cacheLife{started: now, capacity: capacity, coldShare: coldShare, coldFor: coldFor, told: map[string]bool{}}
	c.load.init(w.set.FallFor)
	c.told.init(w.set.FallFor)
	c.over = false
}

// StartTold implements Observer.
func (w *Watcher) StartTold(now Time, router, cache string, start Time) {
	w.advance(now)
	if l := w.cache(cache).life; l.told != nil && start >= l.started-toldSlack {
		l.told[router] = true
	}
}

// CacheDown implements Observer.
func (w *Watcher) CacheDown(now Time, name string, fallen bool) {
	w.advance(now)
	c := w.cache(name)
	l := c.life
	if l.down {
		return
	}
	l.down, l.downAt = true, now
	if !fallen {
		return
	}
	if l.warmth(now) >= 1 {
		w.counts.Overloads++
		return
	}
	w.pushedOver(c, now, "it fell")
}

// Offered implements Observer. The work is a budget for each window: a short heavy burst can spend it
// before the window has passed.
func (w *Watcher) Offered(now Time, name, router string, work Time) {
	w.advance(now)
	c := w.cache(name)
	l := c.life
	c.load.add(now, work)
	if c.told.slide(now); router == "" || l.told[router] {
		c.told.add(now, work)
	}
	if w.set.FallMultiple <= 0 || l.capacity <= 0 || l.down {
		return
	}
	warmth := l.warmth(now)
	able := l.capacity * warmth * float64(w.set.FallFor) / 1e6
	allowed := w.set.FallMultiple * (1 + w.set.FallSlack) * able
	if w.set.MeanWork > 0 {
		allowed = AllowedWork(w.set.FallMultiple*able, w.set.MeanWork)
	}
	over := float64(c.load.total) > allowed
	switch {
	case over && warmth < 1:
		w.pushedOver(c, now, fmt.Sprintf("%.1f times what it can do, in the last %s",
			float64(c.load.total)/able, span(w.set.FallFor)))
	case over && !c.over:
		w.counts.Overloads++
	}
	c.over = over
}

// AllowedWork is what a cold cache bears before it falls, where its limit is work of N requests of mean work: that of
// N + 2 x root of N + 2, as arrivals from many routers vary by chance.
func AllowedWork(limit float64, mean Time) float64 {
	n := limit / float64(mean)
	return (n + 2*math.Sqrt(n) + 2) * float64(mean)
}

// toldShare is the part of a load that has to come from routers that know of a cache's start, for it to be theirs to
// answer for; toldSlack is what the list's time of a start may lie before it, as it counts in milliseconds.
const (
	toldShare = 2. / 3
	toldSlack = 1000
)

// pushedOver reports a cold cache once a life. Who has not been told that a cache has started can't spare it.
func (w *Watcher) pushedOver(c *cache, now Time, how string) {
	c.told.slide(now)
	c.load.slide(now)
	if c.life.pushed || float64(c.told.total) < toldShare*float64(c.load.total) {
		return
	}
	c.life.pushed = true
	w.violate(nil, Violation{Rule: ColdPushedOver, At: now, Cache: c.name,
		Text: fmt.Sprintf("%s, %s after its start", how, span(now-c.life.started))})
}

// storeLoad is what the store was asked for.
type storeLoad struct{ all, cold window }

func (s *storeLoad) init(span Time) {
	s.all.init(span)
	s.cold.init(span)
}

// StoreOffered implements Observer.
func (w *Watcher) StoreOffered(now Time, work Time, cold string) {
	w.advance(now)
	w.store.all.add(now, work)
	// Misses at cold caches count from when routers can know of the start: until then nobody can spare the store.
	if cold != "" && len(w.cache(cold).life.told) > 0 {
		w.store.cold.add(now, work)
	}
}

// StoreFell implements Observer.
func (w *Watcher) StoreFell(now Time) {
	w.advance(now)
	w.store.all.slide(now)
	w.store.cold.slide(now)
	all, cold := float64(w.store.all.total), float64(w.store.cold.total)
	if cold > w.set.StoreColdShare*all {
		w.violate(nil, Violation{Rule: StorePushedOver, At: now,
			Text: fmt.Sprintf("%.0f%% of its load was misses at cold caches", 100*cold/all)})
	}
}

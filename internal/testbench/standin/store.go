package standin

import (
	"math/rand/v2"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// StoreOptions describe the store.
type StoreOptions struct {
	Concurrency        int     // maximum of running calls
	Latency            Time    // mean latency of a fetch
	CV                 float64 // coefficient of variation of the latency
	Queue              int     // maximum of queued calls
	WriteLatencyFactor float64 // latency of a write, as a multiple of a fetch's; 0 stands for 1

	FinishAbandonedWork bool // abandoned fetches continue

	// A store is down if the work that arrives within OverloadWindow exceeds OverloadMultiple times its capacity. The outage takes
	// MinDowntime to MaxDowntime. 0 for OverloadMultiple or OverloadWindow disables this.
	OverloadMultiple float64
	OverloadWindow   Time
	MinDowntime      Time
	MaxDowntime      Time
	MaxOutages       int // maximum of outages in a run; 0 stands for 2
}

// Store is the origin behind all caches. It makes the caches invalidate each written key.
type Store struct {
	m           machine.Machine
	options     StoreOptions
	rng         *rand.Rand
	observer    rules.Observer
	caches      []*Cache     // caches that are notified of writes
	running     []*storeCall // calls in progress
	queue       []*storeCall // queued calls
	offeredWork slidingWork  // work that arrived within the overload window
	down        bool
	outages     int // number of outages so far
}

// storeCall is one fetch or one write.
type storeCall struct {
	store     *Store
	key       string
	write     bool
	work      Time          // duration of the call
	done      func(ok bool) // called with the result
	timer     machine.Timer // ends the call; nil while the call is queued
	finished  bool
	abandoned bool // done is not called
}

// defaultMaxOutages is the default of StoreOptions.MaxOutages.
const defaultMaxOutages = 2

// NewStore returns a store that is up.
func NewStore(m machine.Machine, o StoreOptions, rng *rand.Rand, obs rules.Observer) *Store {
	if o.MaxOutages == 0 {
		o.MaxOutages = defaultMaxOutages
	}
	if o.WriteLatencyFactor == 0 {
		o.WriteLatencyFactor = 1
	}
	return &Store{m: m, options: o, rng: rng, observer: observerOrBlind(obs), offeredWork: slidingWork{span: o.OverloadWindow}}
}

// Down reports whether the store is down after an overload.
func (s *Store) Down() bool { return s.down }

// Busy returns the number of running and queued fetches and writes.
func (s *Store) Busy() int { return len(s.running) + len(s.queue) }

// start begins a fetch or a write. cold is the name of the requesting cache if that is in slow start, or "". done is called once, in
// a later turn of the loop, unless the call is abandoned.
func (s *Store) start(key string, write bool, cold string, done func(ok bool)) *storeCall {
	c := &storeCall{store: s, key: key, write: write, done: done, work: max(1, lognormal(s.rng, s.options.Latency, s.options.CV))}
	if write {
		c.work = Time(float64(c.work) * s.options.WriteLatencyFactor)
	}
	now := s.m.Now()
	s.observer.StoreOffered(now, c.work, cold)
	allowed := s.options.OverloadMultiple * float64(s.options.Concurrency) * float64(s.options.OverloadWindow)
	sum := s.offeredWork.add(now, c.work)
	if allowed > 0 && float64(sum) > allowed && !s.down && s.outages < s.options.MaxOutages {
		s.startOutage()
	}
	switch {
	case s.down || len(s.running) >= s.options.Concurrency && len(s.queue) >= s.options.Queue:
		c.timer = s.m.At(now, func() { c.end(false) })
	default:
		s.queue = append(s.queue, c)
		s.dispatch()
	}
	return c
}

// dispatch starts queued calls.
func (s *Store) dispatch() {
	for len(s.running) < s.options.Concurrency && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = append(s.queue[:0], s.queue[1:]...)
		s.running = append(s.running, c)
		c.timer = s.m.At(s.m.Now()+c.work, func() { c.finish() })
	}
}

// finish is called when the work of a call is done.
func (c *storeCall) finish() {
	c.store.running = removeFirst(c.store.running, c)
	if c.write {
		for _, cache := range c.store.caches {
			cache.invalidate(c.key)
		}
	}
	c.end(true)
	c.store.dispatch()
}

// end reports the result of a call, unless it was abandoned.
func (c *storeCall) end(ok bool) {
	if c.finished {
		return
	}
	c.finished = true
	if !c.abandoned {
		c.done(ok)
	}
}

// abandon is called when no request waits for the call any more. A fetch is cancelled unless FinishAbandonedWork is set; a write continues.
func (c *storeCall) abandon() {
	c.abandoned = true
	if c.finished || c.store.options.FinishAbandonedWork || c.write {
		return
	}
	c.finished = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.store.running, c.store.queue = removeFirst(c.store.running, c), removeFirst(c.store.queue, c)
	c.store.dispatch()
}

// startOutage takes the store down for a drawn time. All running and queued calls fail.
func (s *Store) startOutage() {
	s.outages++
	s.down = true
	s.observer.StoreFell(s.m.Now())
	failed := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, c := range failed {
		if c.timer != nil {
			c.timer.Stop()
		}
		c.timer = s.m.At(s.m.Now(), func() { c.end(false) })
	}
	s.m.At(s.m.Now()+between(s.rng, s.options.MinDowntime, s.options.MaxDowntime), func() { s.down = false })
}

// removeFirst removes the first x from all, in place.
func removeFirst[T comparable](all []T, x T) []T {
	for i, v := range all {
		if v == x {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

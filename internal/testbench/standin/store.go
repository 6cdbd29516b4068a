package standin

import (
	"math/rand/v2"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/rules"
)

// StoreOptions say what the central store can do.
type StoreOptions struct {
	Concurrency        int     // fetches in work at once
	Latency            Time    // mean of one
	CV                 float64 // of the latency
	Queue              int     // fetches that may wait
	WriteLatencyFactor float64 // how many times the latency a write takes; 0 stands for 1

	KeepsAbandonedWork bool // with work that nobody waits for

	OverloadMultiple float64 // offered more than this multiple of its capacity ...
	OverloadWindow   Time    // ... for this long, it stops; 0 never
	MinDowntime      Time    // for this long at the least
	MaxDowntime      Time
	MaxOutages       int // 0 stands for 2
}

// Store is the origin that all caches share. It tells them of each write.
type Store struct {
	m           machine.Machine
	options     StoreOptions
	rng         *rand.Rand
	observer    rules.Observer
	caches      []*Cache
	running     []*storeCall
	queue       []*storeCall
	offeredWork slidingWork
	down        bool
	outages     int
}

// storeCall is one fetch or one write.
type storeCall struct {
	store     *Store
	key       string
	write     bool
	work      Time
	done      func(ok bool)
	timer     machine.Timer
	finished  bool
	abandoned bool
}

// NewStore is a store at work.
func NewStore(m machine.Machine, o StoreOptions, rng *rand.Rand, obs rules.Observer) *Store {
	if o.MaxOutages == 0 {
		o.MaxOutages = 2
	}
	if o.WriteLatencyFactor == 0 {
		o.WriteLatencyFactor = 1
	}
	return &Store{m: m, options: o, rng: rng, observer: observerOrBlind(obs), offeredWork: slidingWork{span: o.OverloadWindow}}
}

// Down reports whether it has stopped under its load.
func (s *Store) Down() bool { return s.down }

// Busy is the number of fetches and writes that are out.
func (s *Store) Busy() int { return len(s.running) + len(s.queue) }

// start begins a fetch, for the cold cache that is named or for another one (""), or a write. done is called once, in a
// later turn, unless the call is abandoned.
func (s *Store) start(key string, write bool, cold string, done func(ok bool)) *storeCall {
	c := &storeCall{store: s, key: key, write: write, done: done, work: max(1, lognormal(s.rng, s.options.Latency, s.options.CV))}
	if write {
		c.work = Time(float64(c.work) * s.options.WriteLatencyFactor)
	}
	now := s.m.Now()
	s.observer.StoreOffered(now, c.work, cold)
	most := s.options.OverloadMultiple * float64(s.options.Concurrency) * float64(s.options.OverloadWindow)
	sum := s.offeredWork.add(now, c.work)
	if most > 0 && float64(sum) > most && !s.down && s.outages < s.options.MaxOutages {
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

func (s *Store) dispatch() {
	for len(s.running) < s.options.Concurrency && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = append(s.queue[:0], s.queue[1:]...)
		s.running = append(s.running, c)
		c.timer = s.m.At(s.m.Now()+c.work, func() { c.finish() })
	}
}

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

func (c *storeCall) end(ok bool) {
	if c.finished {
		return
	}
	c.finished = true
	if !c.abandoned {
		c.done(ok)
	}
}

// abandon says that nobody waits for a fetch any more.
func (c *storeCall) abandon() {
	c.abandoned = true
	if c.finished || c.store.options.KeepsAbandonedWork || c.write {
		return
	}
	c.finished = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.store.running, c.store.queue = removeFirst(c.store.running, c), removeFirst(c.store.queue, c)
	c.store.dispatch()
}

// startOutage stops the store for some seconds. All that is out fails.
func (s *Store) startOutage() {
	s.outages++
	s.down = true
	s.observer.StoreFell(s.m.Now())
	out := append(s.running, s.queue...)
	s.running, s.queue = nil, nil
	for _, c := range out {
		if c.timer != nil {
			c.timer.Stop()
		}
		c.timer = s.m.At(s.m.Now(), func() { c.end(false) })
	}
	s.m.At(s.m.Now()+between(s.rng, s.options.MinDowntime, s.options.MaxDowntime), func() { s.down = false })
}

// removeFirst takes one element out, in place.
func removeFirst[T comparable](all []T, x T) []T {
	for i, v := range all {
		if v == x {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

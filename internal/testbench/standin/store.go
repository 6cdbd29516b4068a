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
	m       machine.Machine
	o       StoreOptions
	rng     *rand.Rand
	obs     rules.Observer
	caches  []*Cache
	busy    []*storeCall
	queue   []*storeCall
	offered offeredOver
	down    bool
	falls   int
}

// storeCall is one fetch or one write.
type storeCall struct {
	s        *Store
	key      string
	write    bool
	work     Time
	done     func(ok bool)
	timer    machine.Timer
	over     bool
	deserted bool
}

// NewStore is a store at work.
func NewStore(m machine.Machine, o StoreOptions, rng *rand.Rand, obs rules.Observer) *Store {
	if o.MaxOutages == 0 {
		o.MaxOutages = 2
	}
	if o.WriteLatencyFactor == 0 {
		o.WriteLatencyFactor = 1
	}
	return &Store{m: m, o: o, rng: rng, obs: seen(obs), offered: offeredOver{span: o.OverloadWindow}}
}

// Down reports whether it has stopped under its load.
func (s *Store) Down() bool { return s.down }

// Busy is the number of fetches and writes that are out.
func (s *Store) Busy() int { return len(s.busy) + len(s.queue) }

// call begins a fetch, for the cold cache that is named or for another one (""), or a write. done is called once, in a
// later turn, unless the call is abandoned.
func (s *Store) call(key string, write bool, cold string, done func(ok bool)) *storeCall {
	c := &storeCall{s: s, key: key, write: write, done: done, work: max(1, lognormal(s.rng, s.o.Latency, s.o.CV))}
	if write {
		c.work = Time(float64(c.work) * s.o.WriteLatencyFactor)
	}
	now := s.m.Now()
	s.obs.StoreOffered(now, c.work, cold)
	most := s.o.OverloadMultiple * float64(s.o.Concurrency) * float64(s.o.OverloadWindow)
	sum := s.offered.add(now, c.work)
	if most > 0 && float64(sum) > most && !s.down && s.falls < s.o.MaxOutages {
		s.fall()
	}
	switch {
	case s.down || len(s.busy) >= s.o.Concurrency && len(s.queue) >= s.o.Queue:
		c.timer = s.m.At(now, func() { c.end(false) })
	default:
		s.queue = append(s.queue, c)
		s.dispatch()
	}
	return c
}

func (s *Store) dispatch() {
	for len(s.busy) < s.o.Concurrency && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = append(s.queue[:0], s.queue[1:]...)
		s.busy = append(s.busy, c)
		c.timer = s.m.At(s.m.Now()+c.work, func() { c.finish() })
	}
}

func (c *storeCall) finish() {
	c.s.busy = without(c.s.busy, c)
	if c.write {
		for _, cache := range c.s.caches {
			cache.void(c.key)
		}
	}
	c.end(true)
	c.s.dispatch()
}

func (c *storeCall) end(ok bool) {
	if c.over {
		return
	}
	c.over = true
	if !c.deserted {
		c.done(ok)
	}
}

// abandon says that nobody waits for a fetch any more.
func (c *storeCall) abandon() {
	c.deserted = true
	if c.over || c.s.o.KeepsAbandonedWork || c.write {
		return
	}
	c.over = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.s.busy, c.s.queue = without(c.s.busy, c), without(c.s.queue, c)
	c.s.dispatch()
}

// fall stops the store for some seconds. All that is out fails.
func (s *Store) fall() {
	s.falls++
	s.down = true
	s.obs.StoreFell(s.m.Now())
	out := append(s.busy, s.queue...)
	s.busy, s.queue = nil, nil
	for _, c := range out {
		if c.timer != nil {
			c.timer.Stop()
		}
		c.timer = s.m.At(s.m.Now(), func() { c.end(false) })
	}
	s.m.At(s.m.Now()+between(s.rng, s.o.MinDowntime, s.o.MaxDowntime), func() { s.down = false })
}

// without takes one element out, in place.
func without[T comparable](all []T, x T) []T {
	for i, v := range all {
		if v == x {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

package loopback

import (
	"starlingwinch/internal/testbench/rules"
)

// witness stands between the stand-ins and the watcher: it tells it the times of a steady clock, leaves out what
// visitors ask for, and keeps the lives of requests that were not served in time.
type witness struct {
	w        *rules.Watcher
	clock    steady
	visitors bool
	known    generations
	asked    map[string]ask // that have no answer yet, by id
	forgiven map[string]int // by class: answers that were late only because this process was
	classes  map[string]rules.Class
	misses   Misses
	caches   map[string]*answering
	start    Time
	// began is told of each attempt, at the time of the steady clock; may be nil.
	began func(at Time, a rules.Attempt)
}

var _ rules.Observer = (*witness)(nil)

func newWitness(set rules.Settings, visitors bool, report func(rules.Violation)) *witness {
	return &witness{w: rules.New(set, report), visitors: visitors, asked: map[string]ask{}, classes: set.Classes,
		caches: map[string]*answering{}, forgiven: map[string]int{}}
}

// ask is a request on the steady clock, and when it was sent by the machine's.
type ask struct {
	rules.Request
	sent Time
}

// time is now on the steady clock.
func (o *witness) time(now Time) Time {
	o.clock.look(now)
	return o.clock.at(now)
}

// foreign reports whether an attempt is for a request of a visitor.
func (o *witness) foreign(id string) bool { return o.visitors && !o.known.has(id) }

func (o *witness) Asked(now Time, a rules.Request) {
	at := o.time(now)
	if o.visitors {
		o.known.add(now, a.ID)
	}
	sent := a.Sent
	a.Sent, a.Deadline = o.clock.at(a.Sent), o.clock.after(now, a.Deadline)
	o.asked[a.ID] = ask{a, sent}
	o.w.Asked(at, a)
}

func (o *witness) Answered(now Time, id string, kind rules.Answer, value string) {
	at := o.time(now)
	o.w.Answered(at, id, kind, value)
	a, open := o.asked[id]
	delete(o.asked, id)
	if !open {
		return
	}
	switch aim := o.classes[a.Class].LatencyObjective; {
	case kind != rules.Served:
		o.missed(at, a, kind.String())
	case at-a.Sent > aim:
		o.missed(at, a, "served late")
	case now-a.sent > aim:
		o.forgiven[a.Class]++
	}
}

func (o *witness) Left(now Time, id string) {
	at := o.time(now)
	o.w.Left(at, id)
	a, open := o.asked[id]
	delete(o.asked, id)
	if open && at >= a.Deadline {
		o.missed(at, a, "never answered")
	}
}

func (o *witness) Broken(now Time, id string) {
	at := o.time(now)
	o.w.Broken(at, id)
	a, open := o.asked[id]
	delete(o.asked, id)
	if open {
		o.missed(at, a, "cut off by its router's end")
	}
}

func (o *witness) Behind(now Time, id string, until Time) {
	at := o.time(now)
	until = o.clock.after(now, until)
	if a, open := o.asked[id]; open {
		a.Deadline = max(a.Deadline, until)
		o.asked[id] = a
	}
	o.w.Behind(at, id, until)
}

func (o *witness) missed(at Time, a ask, how string) {
	o.misses.add(Miss{ID: a.ID, Class: a.Class, Router: a.Router, How: how, At: at - o.start}, o.w.History)
}

func (o *witness) Began(now Time, a rules.Attempt) {
	at := o.time(now)
	if o.foreign(a.ID) {
		return
	}
	o.cache(a.Cache).began[a.ID] = at
	if o.began != nil {
		o.began(at, a)
	}
	o.w.Began(at, o.attempt(a))
}

func (o *witness) attempt(a rules.Attempt) rules.Attempt {
	a.First, a.Last = o.clock.at(a.First), o.clock.at(a.Last)
	if a.Sent != 0 {
		a.Sent = o.clock.at(a.Sent)
	}
	return a
}

func (o *witness) Bad(now Time, cache, why string) { o.w.Bad(o.time(now), cache, why) }

func (o *witness) Ran(now Time, a rules.Attempt, repeat bool) {
	at := o.time(now)
	if !o.foreign(a.ID) {
		o.w.Ran(at, o.attempt(a), repeat)
	}
}

func (o *witness) Replied(now Time, cache, id string, kind rules.Answer, value string) {
	at := o.time(now)
	if o.foreign(id) {
		return
	}
	c := o.cache(cache)
	if began, ok := c.began[id]; ok && kind == rules.Served {
		c.took.Add(at - began)
	}
	delete(c.began, id)
	o.w.Replied(at, cache, id, kind, value)
}

func (o *witness) Ended(now Time, cache, id string) {
	at := o.time(now)
	if o.foreign(id) {
		return
	}
	delete(o.cache(cache).began, id)
	o.w.Ended(at, cache, id)
}

func (o *witness) Listed(now Time, router, cache string, takesWork bool) {
	o.w.Listed(o.time(now), router, cache, takesWork)
}

func (o *witness) CacheUp(now Time, cache string, capacity, coldShare float64, coldFor Time) {
	o.w.CacheUp(o.time(now), cache, capacity, coldShare, coldFor)
}

func (o *witness) CacheDown(now Time, cache string, fallen bool) {
	clear(o.cache(cache).began)
	o.w.CacheDown(o.time(now), cache, fallen)
}

func (o *witness) Offered(now Time, cache, router string, work Time) {
	o.w.Offered(o.time(now), cache, router, work)
}

func (o *witness) StartNotified(now Time, router, cache string, start Time) {
	o.w.StartNotified(o.time(now), router, cache, start)
}

func (o *witness) StoreOffered(now Time, work Time, cold string) {
	o.w.StoreOffered(o.time(now), work, cold)
}

func (o *witness) StoreFell(now Time) { o.w.StoreFell(o.time(now)) }

func (o *witness) RouterUp(now Time, router string) { o.w.RouterUp(o.time(now), router) }

func (o *witness) RouterDown(now Time, router string, clean bool) {
	o.w.RouterDown(o.time(now), router, clean)
}

func (o *witness) Usage(now Time, router string, descriptors, most int) {
	o.w.Usage(o.time(now), router, descriptors, most)
}

func (o *witness) Leftover(now Time, router, what string, n int) {
	o.w.Leftover(o.time(now), router, what, n)
}

// generations are the ids of the clients' requests: the young ones, and those of the generation before.
type generations struct {
	young, old map[string]struct{}
	next       Time // when the young ones are old
}

// generation is longer than anything goes on about a request.
const generation = 30 * second

func (g *generations) add(now Time, id string) {
	if now >= g.next {
		g.old, g.young, g.next = g.young, map[string]struct{}{}, now+generation
	}
	g.young[id] = struct{}{}
}

func (g *generations) has(id string) bool {
	if _, ok := g.young[id]; ok {
		return true
	}
	_, ok := g.old[id]
	return ok
}

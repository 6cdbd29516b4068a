package loopback

import (
	"maps"
	"slices"

	"starlingwinch/internal/testbench/rules"
)

// observer stands between the stand-ins and the watcher. It converts times to the steady clock, leaves out the requests of
// visitors, and keeps the histories of requests that were not served in time.
type observer struct {
	watcher  *rules.Watcher
	clock    steadyClock
	visitors bool
	known    generations
	requests map[string]observedRequest // that have no answer yet, by id
	forgiven map[string]int             // by class: answers that were late only because this process was
	classes  map[string]rules.Class
	misses   Misses
	caches   map[string]*cacheCommands
	start    Time
	// began is called with each attempt, at the time of the steady clock; may be nil.
	began func(at Time, a rules.Attempt)
}

var _ rules.Observer = (*observer)(nil)

func newObserver(set rules.Settings, visitors bool, report func(rules.Violation)) *observer {
	return &observer{watcher: rules.New(set, report), visitors: visitors, requests: map[string]observedRequest{}, classes: set.Classes,
		caches: map[string]*cacheCommands{}, forgiven: map[string]int{}}
}

// observedRequest is a request on the steady clock, and when it was sent by the machine's.
type observedRequest struct {
	rules.Request
	sent Time
}

// time is now on the steady clock.
func (o *observer) time(now Time) Time {
	o.clock.detectLateness(now)
	return o.clock.at(now)
}

// foreign reports whether an attempt is for a request of a visitor.
func (o *observer) foreign(id string) bool { return o.visitors && !o.known.has(id) }

// Asked implements rules.Observer.
func (o *observer) Asked(now Time, a rules.Request) {
	at := o.time(now)
	if o.visitors {
		o.known.add(now, a.ID)
	}
	sent := a.Sent
	a.Sent, a.Deadline = o.clock.at(a.Sent), o.clock.after(now, a.Deadline)
	o.requests[a.ID] = observedRequest{a, sent}
	o.watcher.Asked(at, a)
}

// Answered implements rules.Observer.
func (o *observer) Answered(now Time, id string, kind rules.Answer, value string) {
	at := o.time(now)
	o.watcher.Answered(at, id, kind, value)
	a, open := o.requests[id]
	delete(o.requests, id)
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

// Left implements rules.Observer.
func (o *observer) Left(now Time, id string) {
	at := o.time(now)
	o.watcher.Left(at, id)
	a, open := o.requests[id]
	delete(o.requests, id)
	if open && at >= a.Deadline {
		o.missed(at, a, "never answered")
	}
}

// Broken implements rules.Observer.
func (o *observer) Broken(now Time, id string) {
	at := o.time(now)
	o.watcher.Broken(at, id)
	a, open := o.requests[id]
	delete(o.requests, id)
	if open {
		o.missed(at, a, "cut off by its router's end")
	}
}

// Behind implements rules.Observer.
func (o *observer) Behind(now Time, id string, until Time) {
	at := o.time(now)
	until = o.clock.after(now, until)
	if a, open := o.requests[id]; open {
		a.Deadline = max(a.Deadline, until)
		o.requests[id] = a
	}
	o.watcher.Behind(at, id, until)
}

// routerStopped tells that the harness has a router's process stand still until an instant, for no longer than the platform may. An
// answer that comes due meanwhile is due as the process goes on.
func (o *observer) routerStopped(now Time, router string, until Time) {
	at := o.time(now)
	resumes := o.clock.after(now, until)
	for _, id := range slices.Sorted(maps.Keys(o.requests)) {
		if a := o.requests[id]; a.Router == router && a.Deadline < resumes {
			a.Deadline = resumes
			o.requests[id] = a
			o.watcher.Behind(at, id, resumes)
		}
	}
}

func (o *observer) missed(at Time, a observedRequest, how string) {
	o.misses.add(Miss{ID: a.ID, Class: a.Class, Router: a.Router, How: how, At: at - o.start}, o.watcher.History)
}

// Began implements rules.Observer.
func (o *observer) Began(now Time, a rules.Attempt) {
	at := o.time(now)
	if o.foreign(a.ID) {
		return
	}
	o.cache(a.Cache).began[a.ID] = at
	if o.began != nil {
		o.began(at, a)
	}
	o.watcher.Began(at, o.attempt(a))
}

func (o *observer) attempt(a rules.Attempt) rules.Attempt {
	a.First, a.Last = o.clock.at(a.First), o.clock.at(a.Last)
	if a.Sent != 0 {
		a.Sent = o.clock.at(a.Sent)
	}
	return a
}

// Bad implements rules.Observer.
func (o *observer) Bad(now Time, cache, why string) { o.watcher.Bad(o.time(now), cache, why) }

// Ran implements rules.Observer.
func (o *observer) Ran(now Time, a rules.Attempt, repeat bool) {
	at := o.time(now)
	if !o.foreign(a.ID) {
		o.watcher.Ran(at, o.attempt(a), repeat)
	}
}

// Replied implements rules.Observer.
func (o *observer) Replied(now Time, cache, id string, kind rules.Answer, value string) {
	at := o.time(now)
	if o.foreign(id) {
		return
	}
	c := o.cache(cache)
	if began, ok := c.began[id]; ok && kind == rules.Served {
		c.took.Add(at - began)
	}
	delete(c.began, id)
	o.watcher.Replied(at, cache, id, kind, value)
}

// Ended implements rules.Observer.
func (o *observer) Ended(now Time, cache, id string) {
	at := o.time(now)
	if o.foreign(id) {
		return
	}
	delete(o.cache(cache).began, id)
	o.watcher.Ended(at, cache, id)
}

// Listed implements rules.Observer.
func (o *observer) Listed(now Time, router, cache string, takesWork bool) {
	o.watcher.Listed(o.time(now), router, cache, takesWork)
}

// CacheUp implements rules.Observer.
func (o *observer) CacheUp(now Time, cache string, capacity, coldShare float64, coldFor Time) {
	o.watcher.CacheUp(o.time(now), cache, capacity, coldShare, coldFor)
}

// CacheDown implements rules.Observer.
func (o *observer) CacheDown(now Time, cache string, fallen bool) {
	clear(o.cache(cache).began)
	o.watcher.CacheDown(o.time(now), cache, fallen)
}

// Offered implements rules.Observer.
func (o *observer) Offered(now Time, cache, router string, work Time) {
	o.watcher.Offered(o.time(now), cache, router, work)
}

// StartNotified implements rules.Observer.
func (o *observer) StartNotified(now Time, router, cache string, start Time) {
	o.watcher.StartNotified(o.time(now), router, cache, start)
}

// StoreOffered implements rules.Observer.
func (o *observer) StoreOffered(now Time, work Time, cold string) {
	o.watcher.StoreOffered(o.time(now), work, cold)
}

// StoreFell implements rules.Observer.
func (o *observer) StoreFell(now Time) { o.watcher.StoreFell(o.time(now)) }

// RouterUp implements rules.Observer.
func (o *observer) RouterUp(now Time, router string) { o.watcher.RouterUp(o.time(now), router) }

// RouterDown implements rules.Observer.
func (o *observer) RouterDown(now Time, router string, clean bool) {
	o.watcher.RouterDown(o.time(now), router, clean)
}

// Usage implements rules.Observer.
func (o *observer) Usage(now Time, router string, descriptors, most int) {
	o.watcher.Usage(o.time(now), router, descriptors, most)
}

// Leftover implements rules.Observer.
func (o *observer) Leftover(now Time, router, what string, n int) {
	o.watcher.Leftover(o.time(now), router, what, n)
}

// generations are the ids of the clients' requests, those of the current generation and of the one before.
type generations struct {
	young, old map[string]struct{}
	next       Time // when the young ones are old
}

// generation is longer than any event of a request may come after its beginning.
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

package guard

import (
	"fmt"
	"maps"
	"slices"

	"starlingwinch/decide"
)

// Overdue looks for what should long have come and returns it, for the loop to hand to Handle like
// its own events. Each is reported, and returned, once.
//
// An attempt without an outcome may have run, so it is TimedOut; so is a probe. A request without an
// answer is Departed: the module is told that nothing more is owed, and the loop has to answer the
// client itself, with a failure.
func (b *Contract) Overdue(now decide.Time) []decide.Event {
	b.now = now
	clear(b.repairs)
	var late []int64
	for id, q := range b.requests { // any order: sorted below
		if q.late(now) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	var events []decide.Event
	for _, id := range late {
		events = b.overdueRequest(events, b.requests[id])
	}
	for _, name := range b.names() {
		events = b.overdueProbes(events, b.caches[name])
	}
	for _, ev := range events {
		b.repairs[ev] = true
	}
	return events
}

func (q *request) late(now decide.Time) bool {
	if q.unanswered(now) {
		return true
	}
	for i := range q.attempts {
		if q.attempts[i].late(now) {
			return true
		}
	}
	return false
}

// unanswered reports whether a request misses its final answer. One that has begun takes its time.
func (q *request) unanswered(now decide.Time) bool {
	if q.over || q.told || now-slack <= q.deadline {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.out && a.streams })
}

func (a *attempt) late(now decide.Time) bool {
	return a.out && !a.unsent && !a.streams && !a.told && now-slack > a.stopAt
}

func (b *Contract) overdueRequest(events []decide.Event, q *request) []decide.Event {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.late(b.now) {
			continue
		}
		a.told = true
		b.breach(OutcomeMissing, q.id, a.to.name,
			fmt.Sprintf("attempt %d should have ended by %d", i, a.stopAt))
		events = append(events, &decide.AttemptResult{ID: q.id, Attempt: i, Result: decide.TimedOut, Elapsed: b.now - a.sent,
			Last: q.over, Load: decide.LoadReport{Utilization: -1}})
	}
	if q.unanswered(b.now) {
		q.told = true
		b.breach(AnswerMissing, q.id, "", fmt.Sprintf("the request wanted its answer by %d", q.deadline))
		events = append(events, &decide.ClientGone{ID: q.id})
	}
	return events
}

func (b *Contract) overdueProbes(events []decide.Event, c *cache) []decide.Event {
	for c.told < len(c.probes) && b.now > c.probes[c.told]+slack {
		sent := c.probes[c.told]
		c.told++
		b.breach(ProbedMissing, 0, c.name, fmt.Sprintf("the probe of %d has not ended", sent))
		events = append(events, &decide.HealthCheckResult{Cache: c.name, Result: decide.TimedOut, Elapsed: b.now - sent,
			Load: decide.LoadReport{Utilization: -1}})
	}
	return events
}

// Check compares the books' counts with the module's and with what is on the sockets: the attempts,
// probes not among them, that the loop has out at a cache. It wants everything told that has
// happened: the loop's queue of events is empty.
func (b *Contract) Check(now decide.Time, onSockets func(cache string) int) {
	b.now = now
	if b.counter != nil {
		if n := b.counter.Open(); n != len(b.requests) {
			b.breach(OpenCount, 0, "", fmt.Sprintf("the module holds %d requests, %d are open", n, len(b.requests)))
		}
	}
	for _, name := range b.names() {
		c := b.caches[name]
		if onSockets != nil {
			if n := onSockets(name); n != c.out {
				b.breach(SocketCount, 0, name, fmt.Sprintf("%d attempts are on sockets, %d are out", n, c.out))
			}
		}
		if b.counter != nil && c.listed {
			if n := b.counter.InFlight(name); n != c.ours {
				b.breach(ModuleCount, 0, name, fmt.Sprintf("the module counts %d attempts, %d are out", n, c.ours))
			}
		}
	}
}

func (b *Contract) names() []string { return slices.Sorted(maps.Keys(b.caches)) }

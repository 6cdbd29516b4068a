package router

import (
	"context"
	"fmt"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/resp"
	"starlingwinch/internal/retrystorm"
	"starlingwinch/internal/upstream"
)

// request is one command of a client that the module decides about.
type request struct {
	id       int64
	name     string            // as its client named it
	cmd      *frontend.Command // the slot's
	deadline Time
	slot     *frontend.ReplySlot
	judged   bool // hooks have it, and the module has not heard of it
	ask      retrystorm.Request
	told     retrystorm.Verdict
	read     Time
	lost     bool // a connection to a cache broke under it
	over     bool // the final answer is given, or nobody waits for it
	guard    guard.Request
	out      int // attempts without an outcome
	untold   int // events about it that the module is still to be told
	attempts []*sending
	room     [1]*sending    // for the one attempt that most need
	first    sending        // which is it
	event    decide.Request // as the module is told of it
}

// sending is an attempt of a request. It is what the upstream side sends.
type sending struct {
	upstream.Attempt
	router  *Router
	request *request
	to      guard.Cache
	outcome decide.AttemptResult // as the module is told of it
}

// Encode implements upstream.Work.
func (s *sending) Encode(b []byte, wait Time) []byte { return s.request.cmd.Encode(b, wait) }

// MaySend implements upstream.Work. A turn may bring what lets a request go out, and behind that its client's end: so the
// client's connection is looked at again.
func (s *sending) MaySend(now Time) bool {
	q := s.request
	return s.router.guard.MaySend(now, &q.guard, s.to, q.over || q.slot.ClientGone()) == guard.Allowed
}

// WriteStarted and Whole implement upstream.Work.
func (s *sending) WriteStarted(now, wait Time, whole bool) {
	s.router.guard.WriteStarted(now, &s.request.guard, s.Number, s.to, wait, whole)
}

func (s *sending) WriteCompleted() { s.request.guard.WriteCompleted(s.Number) }

// KeyHash implements upstream.Work.
func (s *sending) KeyHash() uint64 { return s.request.cmd.KeyHash }

// NonIdempotent implements upstream.Work.
func (s *sending) NonIdempotent() bool { return s.request.cmd.NonIdempotent }

// mostBacklog is the number of events that there is room kept for.
const mostBacklog = 1024

// ProcessEvents hands the module what has happened, in order, and does what it says.
func (r *Router) ProcessEvents() {
	if r.telling {
		return // what it says now has happened on its behalf, and is told in its turn
	}
	if r.closed {
		r.backlog = r.backlog[:0]
		return
	}
	if r.front != nil {
		r.pool.LendDescriptors(r.spare - r.front.Connections())
	}
	r.telling = true
	for i := 0; i < len(r.backlog); i++ { // it grows meanwhile
		ev := r.backlog[i]
		r.backlog[i] = nil
		for _, a := range r.module.Handle(r.m.Now(), ev) {
			r.perform(a)
		}
		switch ev := ev.(type) {
		case *decide.EndpointList:
			if r.keeper != nil {
				r.keeper.listed(ev.Endpoints)
			}
			r.actsOn(r.sources.Version())
		case *decide.AttemptResult:
			r.told(ev.ID)
		case *decide.ClientGone:
			r.told(ev.ID)
		}
	}
	if r.backlog = r.backlog[:0]; cap(r.backlog) > mostBacklog {
		r.backlog = nil // a large one once must not keep its room
	}
	r.telling = false
}

func (r *Router) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		r.send(a)
	case decide.Cancel:
		if q := r.requests[a.ID]; q != nil && a.Attempt < len(q.attempts) {
			q.attempts[a.Attempt].Abort(decide.Cancelled)
		}
	case decide.Reject:
		if q := r.requests[a.ID]; q != nil {
			q.lost = false // whatever broke before, what it lacks now is room
			r.unserved(q)
			r.unanswered(q, eventlog.RequestRejected, a.Reason.String())
			r.refuse(q, a.RetryAfter)
		}
	case decide.Fail:
		if q := r.requests[a.ID]; q != nil {
			r.unserved(q)
			r.unanswered(q, eventlog.RequestFailed, a.Reason.String())
			r.finish(q, []byte(frontend.FailedReply), plugin.WasFailed)
		}
	case decide.SetTimer:
		r.setTimer(a)
	case decide.CancelTimer:
		r.dropTimer(a.Token)
	case decide.HealthCheck:
		r.probe(a.Cache)
	case decide.CloseIdle:
		r.pool.CloseIdle(a.Cache)
	case decide.Watch:
		r.sources.Watch()
	case decide.Log:
		r.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
	}
}

// Serving reports whether a cache is known that takes work, and what was kept of the caches has been taken over.
func (r *Router) Serving() bool { return (r.keeper == nil || r.keeper.ready) && r.takesWork() }

// takesWork reports whether a cache is known that takes work.
func (r *Router) takesWork() bool {
	for _, h := range r.caches { // any order: one is enough
		if h.entry.Status == decide.Serving {
			return true
		}
	}
	return false
}

// HandleRequest takes a request from a client and puts it before the module.
func (r *Router) HandleRequest(s *frontend.ReplySlot, read Time) {
	cmd := &s.Command
	if r.cfg.Transport.MaxOpenRequests > 0 && r.open >= r.cfg.Transport.MaxOpenRequests {
		s.Answer([]byte(frontend.BusyReply)) // beyond what the settings let a router hold; never sent on
		return
	}
	var ask retrystorm.Request
	told := retrystorm.Verdict{}
	if r.storm != nil {
		ask = r.storm.ask(s, cmd)
		if told = r.storm.storm.Requested(read, ask); told.OverFairShare {
			r.storm.storm.Unserved(read, ask, told, read)
			s.Answer(frontend.AppendBusy(nil, r.spreadWait(cmd.ID()))) // never sent on
			return
		}
	}
	name := cmd.ID()
	if _, taken := r.ids[name]; taken {
		s.Answer([]byte("-ERR the id is that of an open request\r\n"))
		return
	}
	r.ids[name] = struct{}{}
	if r.longest > 0 {
		cmd.Timeout = min(cmd.Timeout, r.longest) // of a class without a limit of its own
	}
	r.lastID++
	q := &request{id: r.lastID, name: name, cmd: cmd, read: read, deadline: read + cmd.Timeout, slot: s, ask: ask, told: told}
	if r.endsBy > 0 {
		// The danger: what is taken late in a drain has a deadline beyond its end, and is lost with the process.
		q.deadline = min(q.deadline, r.endsBy-drainAnswers)
	}
	q.attempts = q.room[:0]
	q.guard = r.guard.Open(q.id, name, cmd.Class, cmd.IdempotencyKeyMissing, q.deadline)
	s.ID = q.id
	r.requests[q.id] = q
	r.open++
	if !r.judge(q) {
		r.submit(q)
	}
}

// ClientsGone notes that a client has closed its connection, or that the router itself has.
func (r *Router) ClientsGone(slots []*frontend.ReplySlot, byRouter bool) {
	var gone []*request
	for _, s := range slots {
		if q := r.requests[s.ID]; q != nil && !q.over {
			if byRouter {
				r.guard.Closed(r.m.Now(), &q.guard)
			}
			gone = append(gone, q)
			r.abandon(q)
		}
	}
	for _, q := range gone { // all departures are told before what ends with them
		r.unserved(q)
		r.finish(q, nil, plugin.WasFailed)
	}
}

// abandon tells hooks or the module that a request is theirs no more.
func (r *Router) abandon(q *request) {
	if q.judged {
		r.hooks.Gone(q.id)
		q.judged = false
	} else {
		r.say(q, &decide.ClientGone{ID: q.id})
	}
}

// refuse gives a final answer that promises that another try does no harm; where it might, one that promises nothing.
func (r *Router) refuse(q *request, wait Time) {
	if r.guard.MayReject(&q.guard) != guard.Allowed {
		r.finish(q, []byte(frontend.FailedReply), plugin.WasFailed)
		return
	}
	r.finish(q, frontend.AppendBusy(nil, wait), plugin.WasRefused)
}

// say queues an event about a request for the module. The danger: a request that is forgotten
// before the module has heard that it is over may be sent once more in between, and an attempt that
// nobody makes has no outcome: its cache's place is taken for good.
func (r *Router) say(q *request, ev decide.Event) {
	q.untold++
	r.backlog = append(r.backlog, ev)
}

func (r *Router) told(id int64) {
	if q := r.requests[id]; q != nil {
		q.untold--
		r.forget(q)
	}
}

// finish gives the final answer, once. Attempts that are not written whole end here, before
// the answer leaves: nothing may go out for a request after it.
func (r *Router) finish(q *request, answer []byte, o plugin.Outcome) {
	if q.over {
		return
	}
	q.over = true
	r.open--
	for _, s := range q.attempts {
		if s.Unwritten() {
			s.Abort(decide.Cancelled)
		}
	}
	if answer != nil {
		r.guard.Answered(r.m.Now(), &q.guard)
		q.slot.Answer(answer)
		r.answered(q, o)
	}
	r.forget(q)
}

// forget drops a request that is over once its attempts are and the module knows it.
func (r *Router) forget(q *request) {
	if q.over && q.out == 0 && q.untold == 0 && r.requests[q.id] == q {
		delete(r.requests, q.id)
		delete(r.ids, q.name)
	}
}

func (r *Router) send(a decide.Send) {
	q := r.requests[a.ID]
	if q == nil {
		return // the contract has seen it, and make up for it
	}
	now := r.m.Now()
	s := &q.first
	if len(q.attempts) > 0 {
		r.retried(q, a.Cache)
		s = &sending{}
	}
	s.router, s.request, s.to = r, q, guard.Cache{Name: a.Cache}
	if h := r.caches[a.Cache]; h != nil {
		s.to.Zone, s.to.Cell = h.entry.Zone, h.entry.Cell
	}
	s.Attempt = upstream.Attempt{Request: s, Number: len(q.attempts), SentAt: now, Deadline: a.AttemptDeadline, WriteDeadline: a.WriteDeadline}
	if s.Deadline == 0 || s.Deadline > q.deadline {
		s.Deadline = q.deadline
	}
	q.attempts = append(q.attempts, s)
	if !q.over {
		q.out++
		if r.pool.Start(a.Cache, &s.Attempt) {
			return
		}
		q.out--
	}
	// The cache is gone by now, or the client is: an attempt has an outcome all the same.
	s.Discard()
	r.say(q, &decide.AttemptResult{ID: q.id, Attempt: s.Number, Result: decide.NotSent, Last: q.over,
		Load: decide.LoadReport{Utilization: -1}})
}

func (r *Router) probe(cache string) {
	now := r.m.Now()
	a := &upstream.Attempt{SentAt: now, Deadline: now + r.cfg.OperatorLimits.Caches.HealthCheckTimeout.Microseconds()}
	if r.front == nil || !r.pool.Start(cache, a) { // a process that waits for its address leaves the caches alone
		r.backlog = append(r.backlog, &decide.HealthCheckResult{Cache: cache, Result: decide.NotSent, Load: decide.LoadReport{Utilization: -1}})
	}
}

// AttemptEnded tells the module how an attempt went. The first answer that serves is
// the final one by itself.
func (r *Router) AttemptEnded(a *upstream.Attempt, result decide.Result, rep *resp.Reply) {
	elapsed, load := r.m.Now()-a.SentAt, decide.LoadReport{Utilization: -1}
	if rep != nil {
		load = rep.LoadReport
	}
	s, request := a.Request.(*sending)
	if !request {
		r.backlog = append(r.backlog, &decide.HealthCheckResult{Cache: a.Cache(), Result: result, Elapsed: elapsed, Load: load})
		return
	}
	q := s.request
	q.guard.AttemptEnded(a.Number, result)
	r.attemptEnded(q, a, result, elapsed)
	q.out--
	q.lost = q.lost || result == decide.ConnectionLost
	r.met(result)
	ev := &s.outcome
	*ev = decide.AttemptResult{ID: q.id, Attempt: a.Number, Result: result, Elapsed: elapsed, Load: load}
	r.say(q, ev)
	if rep != nil {
		ev.Miss = rep.Miss
		if result == decide.Served {
			r.finish(q, rep.Value, plugin.Served)
		}
	}
	ev.Last = q.over
}

// balance looks for what the contract misses, and makes up for it.
func (r *Router) balance() {
	for _, ev := range r.contract.Overdue(r.m.Now()) {
		switch ev := ev.(type) {
		case *decide.AttemptResult:
			q := r.requests[ev.ID]
			if q != nil && ev.Attempt < len(q.attempts) && !q.attempts[ev.Attempt].Ended() {
				q.attempts[ev.Attempt].Abort(decide.TimedOut) // its timer was lost
				continue
			}
			if q != nil {
				q.untold++ // as if it had been said
			}
		case *decide.ClientGone:
			if q := r.requests[ev.ID]; q != nil {
				q.untold++
				r.finish(q, []byte(frontend.FailedReply), plugin.WasFailed)
			}
		}
		r.backlog = append(r.backlog, ev)
	}
	if len(r.backlog) == 0 {
		r.contract.Check(r.m.Now(), r.pool.InFlight)
	}
}

func breachLine(b guard.Breach) string {
	return fmt.Sprintf("contract: %v, request %d, cache %q: %s; before: %s", b.Kind, b.Request, b.Cache, b.Text,
		strings.Join(b.History, " | "))
}

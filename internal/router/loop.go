package router

import (
	"container/heap"
	"context"
	"fmt"
	"log"
	"maps"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/books"
)

// loop owns the decision module and all state of requests, attempts and
// upstream connections. Every method but post runs in its one goroutine, so
// that nothing can slip in between a decision and what carries it out. It never
// blocks on a socket.
type loop struct {
	cfg       *Config
	module    module // the books, and the decision module behind them
	books     *books.Books
	sockets   *sockets
	events    chan func()
	lines     chan string   // for the log
	begun     chan struct{} // closed when it knows the first list
	done      chan struct{} // closed when the loop has ended
	base      time.Time
	now       decide.Time
	timers    timerHeap
	backlog   []decide.Event // what the module is still to be told
	requests  map[int64]*request
	ids       map[string]struct{} // of these requests, as their clients named them
	lastID    int64
	open      int // requests that still want their final answer
	upstreams map[string]*upstream
	conns     int         // to all upstreams, those coming up included
	starved   bool        // an attempt waits for a descriptor
	longest   decide.Time // patience of any client
	discovery *discovery
	index     int64              // version of the list; noIndex has the whole list asked for
	lists     []newList          // that are still to be learned
	inTrouble int                // caches that serve nothing, by the log
	deadSaid  decide.Time        // when it was last said that none does
	hungAfter decide.Time        // an attempt that was called off after that long was not answered
	wall      func() decide.Time // the system's clock, which may be wrong and may step
	endWatch  func()             // ends the watch that runs; nil while none does
	serving   atomic.Bool        // a cache is known that takes work
	ctx       context.Context    // ends every watch
}

// module makes the decisions: *decide.Router, or a script in tests.
type module interface {
	Handle(now decide.Time, ev decide.Event) []decide.Action
}

// request is one command of a client that the module decides about.
type request struct {
	id       int64
	cmd      command
	deadline decide.Time
	client   *client
	slot     *slot
	over     bool // the final answer is given, or nobody waits for it
	out      int  // attempts without an outcome
	untold   int  // events about it that the module is still to be told
	attempts []*attempt
}

const (
	logBacklog    = 256  // lines that wait for whoever reads the log; more are dropped
	eventBacklog  = 1024 // events under way to the loop before senders wait
	busyReply     = "-BUSY\r\n"
	failedReply   = "-ERR failed\r\n"
	sweepInterval = 1_000_000 // microseconds between looks for idle connections
)

func newLoop(cfg *Config, s *sockets) (*loop, error) {
	m, err := decide.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	longest, hungAfter := decide.Time(0), decide.Time(math.MaxInt64)
	for _, c := range cfg.Settings.Classes {
		longest, hungAfter = max(longest, c.Limit), min(hungAfter, c.Aim/2)
	}
	l := &loop{cfg: cfg, longest: longest, hungAfter: hungAfter, sockets: s,
		events: make(chan func(), eventBacklog), lines: make(chan string, logBacklog),
		begun: make(chan struct{}), done: make(chan struct{}), base: time.Now(),
		wall:     func() decide.Time { return time.Now().UnixMicro() },
		requests: map[int64]*request{}, ids: map[string]struct{}{}, upstreams: map[string]*upstream{},
		discovery: newDiscovery(cfg.Discovery, cfg.Bounds.Discovery), index: cfg.Known.index}
	l.books = books.New(m, l.breach)
	l.module = l.books
	return l, nil
}

// breach logs what broke the contract between the loop and the module, with what led to it.
func (l *loop) breach(b books.Breach) {
	l.log(fmt.Sprintf("books: %v, request %d, cache %q: %s; before: %s", b.Kind, b.Request, b.Cache, b.Text,
		strings.Join(b.Trail, " | ")))
}

// balance looks for what the books miss, and makes up for it.
func (l *loop) balance() {
	for _, ev := range l.books.Overdue(l.now) {
		switch ev := ev.(type) {
		case *decide.Outcome:
			r := l.requests[ev.ID]
			if r != nil && ev.Attempt < len(r.attempts) && r.attempts[ev.Attempt].state != over {
				r.attempts[ev.Attempt].giveUp(decide.NoAnswer) // its timer was lost
				continue
			}
		case *decide.Departed:
			if r := l.requests[ev.ID]; r != nil {
				l.finish(r, []byte(failedReply))
			}
		}
		l.backlog = append(l.backlog, ev)
	}
	if len(l.backlog) == 0 {
		l.books.Check(l.now, l.inFlight)
	}
}

// inFlight is how many attempts are out at a cache, on its sockets or on their way there.
func (l *loop) inFlight(cache string) int {
	u := l.upstreams[cache]
	if u == nil {
		return 0
	}
	return u.out
}

// clock is Unix time in microseconds. It runs on the monotonic clock from the
// start on: a step of the system's clock must not move deadlines.
func (l *loop) clock() decide.Time {
	return l.base.UnixMicro() + time.Since(l.base).Microseconds()
}

// post has f run by the loop. After the loop's end it does nothing.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// log hands a line to the log's writer. The danger: a log that nobody reads stops the router.
func (l *loop) log(line string) {
	select {
	case l.lines <- line:
	default:
	}
}

func (l *loop) writeLog() {
	for {
		select {
		case line := <-l.lines:
			log.Print(line)
		case <-l.done:
			return
		}
	}
}

// run is the loop. It ends with ctx.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	go l.writeLog()
	l.ctx = ctx
	l.now = l.clock()
	known := l.cfg.Known
	known.full = true
	l.learn(known, decide.ListStale)
	l.tell()
	l.watch() // also where the settings say that lists are pushed: the agent that has them must be asked
	close(l.begun)
	l.after(sweepInterval, l.sweep)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(l.timers[0].at-l.clock()) * time.Microsecond)
		}
		select {
		case <-ctx.Done():
			for _, u := range l.upstreams {
				u.closeAll()
			}
			return
		case f := <-l.events:
			l.now = l.clock()
			f()
		case <-alarm.C:
			l.now = l.clock()
		}
		l.tell()
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			heap.Pop(&l.timers).(*timer).f()
			l.tell()
		}
	}
}

// tell hands the module what has happened, in order, and does what it says.
func (l *loop) tell() {
	for len(l.backlog) > 0 {
		ev := l.backlog[0]
		l.backlog = l.backlog[1:]
		for _, a := range l.module.Handle(l.now, ev) {
			l.perform(a)
		}
		switch ev := ev.(type) {
		case *decide.Outcome:
			l.told(ev.ID)
		case *decide.Departed:
			l.told(ev.ID)
		}
	}
	l.backlog = nil
}

// say queues an event about a request for the module. The danger: a request that is forgotten
// before the module has heard that it is over may be sent once more in between, and an attempt that nobody
// makes has no outcome: its cache's place is taken for good.
func (l *loop) say(r *request, ev decide.Event) {
	r.untold++
	l.backlog = append(l.backlog, ev)
}

func (l *loop) told(id int64) {
	if r := l.requests[id]; r != nil {
		r.untold--
		l.forget(r)
	}
}

func (l *loop) perform(a decide.Action) {
	switch a := a.(type) {
	case decide.Send:
		l.send(a)
	case decide.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].giveUp(decide.Cancelled)
		}
	case decide.Refuse:
		if r := l.requests[a.ID]; r != nil {
			l.finish(r, appendBusy(nil, a.Wait))
		}
	case decide.Fail:
		if r := l.requests[a.ID]; r != nil {
			l.finish(r, []byte(failedReply))
		}
	case decide.SetTimer:
		l.at(a.At, func() { l.backlog = append(l.backlog, &decide.Timer{Token: a.Token}) })
	case decide.Probe:
		l.probe(a.Cache)
	case decide.CloseIdle:
		if u := l.upstreams[a.Cache]; u != nil {
			u.closeIdle(l.now)
		}
	case decide.Watch:
		l.watch()
	case decide.Log:
		l.log(a.Text)
	}
}

// Requests.

// accept takes a request from a client and asks the module about it.
func (l *loop) accept(c *client, s *slot, cmd command, read decide.Time) {
	if l.cfg.Transport.MaxOpen > 0 && l.open >= l.cfg.Transport.MaxOpen {
		s.answer([]byte(busyReply)) // beyond what the settings let a router hold; never sent on
		return
	}
	name := string(cmd.args[idArg])
	if _, taken := l.ids[name]; taken {
		s.answer([]byte("-ERR the id is that of an open request\r\n"))
		return
	}
	l.ids[name] = struct{}{}
	if l.longest > 0 {
		cmd.wait = min(cmd.wait, l.longest) // of a class without a limit of its own
	}
	l.lastID++
	r := &request{id: l.lastID, cmd: cmd, deadline: read + cmd.wait, client: c, slot: s}
	l.requests[r.id] = r
	l.open++
	c.open[r.id] = r
	l.backlog = append(l.backlog, &decide.Request{ID: r.id, Class: cmd.class, Tenant: cmd.tenant, Key: cmd.hash,
		HasKey: true, Deadline: r.deadline, Cost: cmd.cost, Write: cmd.write})
}

// depart notes that a client has closed its connection.
func (l *loop) depart(c *client) {
	for _, r := range c.open {
		l.say(r, &decide.Departed{ID: r.id})
	}
	for _, r := range c.open {
		l.finish(r, nil)
	}
}

// finish gives the final answer, once. Attempts that are not written whole end here, before
// the answer leaves: nothing may go out for a request after it.
func (l *loop) finish(r *request, answer []byte) {
	if r.over {
		return
	}
	r.over = true
	l.open--
	delete(r.client.open, r.id)
	for _, a := range r.attempts {
		if a.state == waiting || a.state == writing {
			a.giveUp(decide.Cancelled)
		}
	}
	r.slot.answer(answer)
	l.forget(r)
}

// forget drops a request that is over once its attempts are and the module knows it.
func (l *loop) forget(r *request) {
	if r.over && r.out == 0 && r.untold == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		delete(l.ids, string(r.cmd.args[idArg]))
	}
}

func (l *loop) send(s decide.Send) {
	r, u := l.requests[s.ID], l.upstreams[s.Cache]
	if r == nil {
		return
	}
	if u == nil || r.over { // the cache is gone by now, or the client is: an attempt has an outcome all the same
		r.attempts = append(r.attempts, &attempt{state: over})
		l.say(r, &decide.Outcome{ID: r.id, Attempt: len(r.attempts) - 1, Result: decide.NotSent,
			Last: r.over, Load: decide.Load{Busy: -1}})
		return
	}
	a := &attempt{request: r, number: len(r.attempts), upstream: u, sent: l.now, stopAt: s.StopAt, writeBy: s.WriteBy}
	if a.stopAt == 0 || a.stopAt > r.deadline {
		a.stopAt = r.deadline
	}
	r.attempts = append(r.attempts, a)
	r.out++
	u.out++
	u.start(a)
}

func (l *loop) probe(cache string) {
	u := l.upstreams[cache]
	if u == nil {
		l.backlog = append(l.backlog, &decide.Probed{Cache: cache, Result: decide.NotSent, Load: decide.Load{Busy: -1}})
		return
	}
	u.start(&attempt{upstream: u, sent: l.now, stopAt: l.now + l.cfg.Bounds.Caches.ProbeTime.Microseconds()})
}

// ended tells the module how an attempt went. The first answer that serves is
// the final one by itself.
func (l *loop) ended(a *attempt, result decide.Result, rep *reply) {
	a.upstream.seen(result, l.now-a.sent)
	r := a.request
	if r == nil {
		ev := &decide.Probed{Cache: a.upstream.name, Result: result, Elapsed: l.now - a.sent, Load: decide.Load{Busy: -1}}
		if rep != nil {
			ev.Load = rep.load
		}
		l.backlog = append(l.backlog, ev)
		return
	}
	r.out--
	a.upstream.out--
	ev := &decide.Outcome{ID: r.id, Attempt: a.number, Result: result, Elapsed: l.now - a.sent, Load: decide.Load{Busy: -1}}
	if rep != nil {
		ev.Load, ev.Miss = rep.load, rep.miss
		if result == decide.Served {
			l.finish(r, rep.value)
		}
	}
	ev.Last = r.over
	l.say(r, ev)
}

// fleet is the upstreams by name.
func (l *loop) fleet() []*upstream {
	return slices.SortedFunc(maps.Values(l.upstreams), func(a, b *upstream) int { return strings.Compare(a.name, b.name) })
}

// ready reports whether the router can serve.
func (l *loop) ready() bool {
	for _, u := range l.upstreams {
		if u.up {
			return true
		}
	}
	return false
}

// descriptor takes one for a connection to a cache. Where none is left, the connection that has
// been idle for longest, at whichever cache, makes room.
func (l *loop) descriptor() bool {
	if l.conns >= l.sockets.mostUpstreams {
		var oldest *upstream // the one used first stands first
		for _, u := range l.upstreams {
			if len(u.idle) > 0 && (oldest == nil || u.idle[0].idleSince < oldest.idle[0].idleSince) {
				oldest = u
			}
		}
		if oldest == nil {
			l.starved = true
			return false
		}
		c := oldest.idle[0]
		oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
		c.close()
	}
	l.conns++
	return true
}

// released takes a connection's descriptor back.
func (l *loop) released() {
	l.conns--
	if l.starved {
		l.starved = false
		l.at(l.now, func() {
			for _, u := range l.upstreams {
				u.pump()
			}
		})
	}
}

// sweep closes upstream connections before their caches do.
func (l *loop) sweep() {
	for _, u := range l.upstreams {
		u.closeIdle(l.now - l.cfg.Transport.Keepalive*3/4)
	}
	if l.inTrouble > 0 {
		l.sayDead()
	}
	l.balance()
	l.after(sweepInterval, l.sweep)
}

// Timers.

type timer struct {
	at    decide.Time
	seq   int64 // equal times keep their order
	f     func()
	place int // in the heap; below 0 once it is out of it
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) {
	x.(*timer).place = len(*h)
	*h = append(*h, x.(*timer))
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.place = -1
	return t
}

func (l *loop) at(t decide.Time, f func()) *timer {
	l.lastID++
	set := &timer{at: t, seq: l.lastID, f: f}
	heap.Push(&l.timers, set)
	return set
}

func (l *loop) after(d decide.Time, f func()) { l.at(l.now+d, f) }

// stop takes a timer back. The danger: timers of attempts that are over hold their requests.
func (l *loop) stop(t *timer) {
	if t != nil && t.place >= 0 {
		heap.Remove(&l.timers, t.place)
	}
}

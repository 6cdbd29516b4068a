// Package router is the router's loop: it brings the decision module together with the clients' side
// (package front), the caches' side (package upstream) and the list of caches (package sources), and
// carries out what the module says.
//
// All of it runs in the one loop of its machine (package machine), which may be a real or a virtual one.
// Nothing can slip in between a decision and what carries it out, and nothing here waits.
package router

import (
	"log/slog"
	"maps"
	"slices"

	"starlingwinch/decide"
	"starlingwinch/internal/discovery"
	"starlingwinch/internal/endpoints"
	"starlingwinch/internal/endpointsource"
	"starlingwinch/internal/eureka"
	"starlingwinch/internal/eventlog"
	"starlingwinch/internal/frontend"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/hooks"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/plugin"
	"starlingwinch/internal/timerqueue"
	"starlingwinch/internal/upstream"
)

// Time is an instant or a span in microseconds.
type Time = decide.Time

const (
	lastArrivals  = 500_000   // new connections may still come so long after SIGTERM
	drainAnswers  = 50_000    // before a drain's end, by which all is to be answered
	drainPatience = 3_000_000 // of the longest deadline, what a planned restart waits for: clients that wait longer may not
	drainSlack    = 650_000   // beyond that, for the drain after SIGTERM: SIGKILL may follow 50 ms later
	doorWait      = 500_000   // that a client is to stay away for which there is no descriptor, at most
	sweepLate     = 100_000   // a look that comes later than that proves nothing
	sweepInterval = 1_000_000 // between looks for idle connections and what the contract misses
)

// Router serves on a machine. Use Start; all methods are for the machine's loop.
type Router struct {
	m         machine.Machine
	cfg       *Config
	module    guard.Module // the contract, and the decision module behind them
	contract  *guard.Contract
	guard     *guard.Guard
	logger    *slog.Logger
	events    *eventlog.Log
	begun     Time           // when the start began
	counted   Time           // when the counters of events were written last
	decider   *decide.Router // for what it has learned; all else goes through the module
	keeper    *keeper        // nil where no state is kept
	front     *frontend.Server
	pool      *upstream.Pool
	backlog   []decide.Event // what the module is still to be told
	telling   bool
	clock     *timerqueue.Queue // for the module's timers and the ends of attempts
	timers    map[int64]*timer  // of the module, by token
	spent     *timer            // timers that are over, for the next ones
	spents    int
	requests  map[int64]*request
	ids       map[string]struct{} // of these requests, as their clients named them
	lastID    int64
	open      int             // requests that still want their final answer
	caches    map[string]*hop // those listed
	sources   *endpointsource.Sources
	narrowed  *narrowed           // nil where all caches are used, whatever their number
	lists     []endpoints.Publish // that are still to be taken over
	hooks     *hooks.Hooks
	enrolled  *eureka.Registration // of the router itself; nil for none
	longest   Time                 // patience of any client
	sweeping  machine.Timer
	sweepDue  Time
	arrivals  Time        // how long connections are still taken after SIGTERM
	endsBy    Time        // the drain's end; 0 while there is none
	spare     int         // descriptors that connections to caches may use while clients do not
	storm     *stormWatch // nil where it is switched off
	fleet     *fleetView  // likewise
	ticking   machine.Timer
	closed    bool
	onDrained func()
	onFailure func(error)
	behind    bool // attempts are held back: discovery has written what was not taken in yet
	address   addressWait
	joining   machine.Timer // for the next look at the address for datagrams
}

// hop is a cache as the list has it.
type hop struct {
	entry decide.Endpoint
	told  Time // its last start in the list's words
	addr  string
}

// EndpointSources says whom a router with that configuration asks for caches.
func EndpointSources(cfg *Config) endpointsource.Config {
	asked := discovery.Options{Discovery: cfg.OperatorLimits.Discovery, Pushed: !cfg.Settings.WatchRequired, Grace: cfg.Settings.DrainGrace}
	return endpointsource.Config{Discovery: cfg.Discovery, DiscoveryOptions: asked, LastKnown: cfg.LastKnown,
		Endpoints: cfg.Endpoints, Eureka: cfg.Eureka}
}

// Addr is the address for clients; empty while the router waits for it.
func (r *Router) Addr() string {
	if r.front == nil {
		return ""
	}
	return r.front.Addr()
}

// Log adds a line to the log. It never waits: a log that nobody reads must not stop the router.
func (r *Router) Log(line string) { r.m.Log(line) }

// Drain takes connections for a moment more, answers all that has come in, and closes each connection
// between requests. done is called when none is left or the time is over; the router is closed then.
func (r *Router) Drain(done func()) {
	if r.onDrained != nil || r.closed {
		return
	}
	r.onDrained = done
	r.Log("draining")
	if r.front == nil { // it waits for its address, and has taken nothing
		r.Close()
		return
	}
	if r.fleet != nil {
		r.fleet.link.Leave()
	}
	if r.enrolled != nil {
		r.enrolled.Drain()
	}
	r.endsBy = r.m.Now() + min(r.longest, drainPatience) + drainSlack
	limit := r.m.At(r.endsBy, r.Close)
	r.m.At(r.endsBy-drainAnswers/2, r.answerAll)
	r.m.At(r.endsBy-beforeEnd, func() {
		if !r.closed {
			r.keeper.finish(func() {})
		}
	})
	r.m.At(r.m.Now()+r.arrivals, func() {
		if r.closed {
			return
		}
		r.front.Drain(func() {
			end := func() {
				r.keeper.finish(func() {
					limit.Stop()
					r.Close()
				})
			}
			r.hooks.Close(func() { // which takes a moment; the limit holds for it too
				if r.enrolled == nil {
					end()
					return
				}
				r.enrolled.Cancel(end)
			})
		})
	})
}

// answerAll answers what is still open shortly before a drain's end. The danger: a class allows more time than a planned
// restart gives, or nobody bounds it; what was taken before SIGTERM is open when the process ends, and lost with it.
func (r *Router) answerAll() {
	if r.closed {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if q := r.requests[id]; !q.over {
			r.abandon(q)
			if len(q.attempts) == 0 { // trying again is harmless
				r.refuse(q, r.cfg.Settings.MaxRetryAfter)
			} else {
				r.finish(q, []byte(frontend.FailedReply), plugin.WasFailed)
			}
		}
	}
	r.ProcessEvents()
}

// Close ends all at once: what is not answered is lost.
func (r *Router) Close() {
	if r.closed {
		return
	}
	r.events.WriteCounters()
	r.closed = true
	if r.sources != nil {
		r.sources.Stop()
	}
	if r.enrolled != nil {
		r.enrolled.Stop()
	}
	for _, t := range []machine.Timer{r.sweeping, r.ticking, r.joining, r.address.timer} {
		if t != nil {
			t.Stop()
		}
	}
	if r.fleet != nil {
		r.fleet.link.Close()
	}
	if r.hooks != nil {
		r.hooks.Close(func() {})
	}
	r.keeper.close()
	if r.front != nil {
		r.front.Close()
	}
	r.pool.Close()
	r.clock.Close()
	if r.onDrained != nil {
		r.onDrained()
	}
}

// Holdings is what the router holds, by what it is. All but connections, and timers that come again and again, is 0 once
// nothing is asked.
func (r *Router) Holdings() map[string]int {
	return map[string]int{"requests": len(r.requests), "ids": len(r.ids), "open": r.open, "attempts": r.pool.Attempts(),
		"bytes": int(r.front.BufferedBytes()), "events": len(r.backlog), "lists": len(r.lists), "breaches": r.contract.Breaches(), "violations": r.violations(), "verdicts": r.hooks.Left()["verdicts owed"],
		"timers": r.clock.Len(), "connections": r.pool.Connections() + r.front.Connections()}
}

// violations is how many rules were broken.
func (r *Router) violations() int {
	counts := r.guard.Counts()
	return counts.Broken()
}

// violated logs a rule that was broken.
func (r *Router) violated(v guard.Violation) {
	r.events.Add(eventlog.Violation, v.Reason.String(), slog.Int64("request", v.Request), slog.String("id", v.Name),
		slog.Int("attempt", v.Attempt), slog.String("cache", v.Cache), slog.Int64("by_us", v.Excess))
}

// breach logs what broke the contract between the loop and the module, with what led to it.
func (r *Router) breach(b guard.Breach) {
	r.Log(breachLine(b))
}

// sweep looks now and then for what nobody tells of.
func (r *Router) sweep() {
	r.pool.Sweep()
	r.divide() // a hold may be over
	if now := r.m.Now(); now-r.counted >= r.cfg.Events.Counters.Microseconds() {
		r.counted = now
		r.events.WriteCounters()
	}
	r.ProcessEvents()
	// Where the loop stood still, what is due since then comes behind this look, and seems to be missing.
	if r.m.Now()-r.sweepDue <= sweepLate {
		r.balance()
		r.ProcessEvents()
	}
	r.sweepSoon()
}

// sweepSoon sets the next sweep.
func (r *Router) sweepSoon() {
	r.sweepDue = r.m.Now() + sweepInterval
	r.sweeping = r.m.At(r.sweepDue, r.sweep)
}

package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/testbench/standin"
)

// Losses counts why requests were not served in time, in the words of the routers' own modules, over all routers and all
// their processes. It stands at the seam between a router and its module, sees what is said there and changes nothing.
type Losses struct {
	Requests int // that routers were asked, retries of clients among them
	Attempts int
	Probes   int
	By       map[string]int // what was lost, by kind and reason
	Hits     Answers
	Misses   Answers // writes among them

	aims map[string]Time
}

// Answers counts what caches answered, whether it came in time or not.
type Answers struct {
	N    int
	Time Time // altogether, from the sending on
}

// Mean is how long one took.
func (a Answers) Mean() Time { return a.Time / Time(max(1, a.N)) }

func (a *Answers) add(t Time) { a.N, a.Time = a.N+1, a.Time+t }

// NewLosses counts for requests of these classes.
func NewLosses(classes []standin.Class) *Losses {
	l := &Losses{By: map[string]int{}, aims: map[string]Time{}}
	for _, c := range classes {
		l.aims[c.Name] = c.LatencyObjective
	}
	return l
}

// Wrap stands before the module of one process.
func (l *Losses) Wrap(m guard.Module) guard.Module {
	return &losing{Module: m, all: l, requests: map[int64]*lossy{}}
}

type losing struct {
	guard.Module
	all      *Losses
	requests map[int64]*lossy
}

// lossy is a request that is out.
type lossy struct {
	came, aim Time
	sent      []Time
	out       int
	over      bool
}

var results = [...]string{decide.Served: "served", decide.Errored: "error", decide.Rejected: "turned away",
	decide.TimedOut: "no answer", decide.ConnectFailed: "no connection", decide.ConnectionLost: "connection lost",
	decide.Cancelled: "called off", decide.NotSent: "not sent", decide.NotStored: "not stored"}

// Handle implements guard.Module.
func (l *losing) Handle(now Time, ev decide.Event) []decide.Action {
	switch ev := ev.(type) {
	case *decide.Request:
		l.all.Requests++
		l.requests[ev.ID] = &lossy{came: now, aim: l.all.aims[ev.Class]}
	case *decide.AttemptResult:
		l.ended(now, ev)
	case *decide.ClientGone:
		if q := l.requests[ev.ID]; q != nil && !q.over {
			l.all.By["left: its client went"]++
			l.close(ev.ID, q)
		}
	}
	actions := l.Module.Handle(now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case decide.HealthCheck:
			l.all.Probes++
		case decide.Send:
			l.all.Attempts++
			if q := l.requests[a.ID]; q != nil {
				q.sent = append(q.sent, now)
				q.out++
			}
		case decide.Reject:
			l.answered(a.ID, "refused: "+a.Reason.String())
		case decide.Fail:
			l.answered(a.ID, "failed: "+a.Reason.String())
		}
	}
	return actions
}

func (l *losing) answered(id int64, how string) {
	if q := l.requests[id]; q != nil && !q.over {
		l.all.By[how]++
		l.close(id, q)
	}
}

// close ends a request; it is forgotten with its last attempt.
func (l *losing) close(id int64, q *lossy) {
	q.over = true
	if q.out == 0 {
		delete(l.requests, id)
	}
}

// ended books an attempt's end.
func (l *losing) ended(now Time, o *decide.AttemptResult) {
	q := l.requests[o.ID]
	if q == nil || o.Attempt >= len(q.sent) {
		return
	}
	q.out--
	if took := now - q.sent[o.Attempt]; o.Result == decide.Served && o.Miss {
		l.all.Misses.add(took)
	} else if o.Result == decide.Served {
		l.all.Hits.add(took)
	}
	switch {
	case o.Result == decide.Served && !q.over:
		if now-q.came > q.aim {
			l.all.By["late: "+q.slowest(now, o)]++
		}
		q.over = true
	case o.Result == decide.Cancelled && q.over && now-q.sent[o.Attempt] < q.aim/2:
		l.all.By["wasted attempt: called off soon, as it was not needed"]++
	default:
		l.all.By["wasted attempt: "+results[o.Result]]++
	}
	if q.over {
		l.close(o.ID, q)
	}
}

// slowest names where the most time went of a request that is served late.
func (q *lossy) slowest(now Time, o *decide.AttemptResult) string {
	first, last := q.sent[0], q.sent[o.Attempt]
	most, where := first-q.came, "it waited before its first attempt"
	if t := last - first; t > most {
		most, where = t, "an earlier attempt was waited for"
	}
	if t := now - last; t > most {
		where = "the cache took long, with a hit"
		if o.Miss {
			where = "the cache took long, with a miss"
		}
	}
	return where
}

// Tell prints all losses, the largest first.
func (l *Losses) Tell(out io.Writer) {
	fmt.Fprintf(out, "  hits %d in %.0f ms, misses and writes %d in %.0f ms\n", l.Hits.N, float64(l.Hits.Mean())/1000,
		l.Misses.N, float64(l.Misses.Mean())/1000)
	reasons := make([]string, 0, len(l.By))
	for reason := range l.By { // any order: sorted below
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		if l.By[a] != l.By[b] {
			return l.By[b] - l.By[a]
		}
		return strings.Compare(a, b)
	})
	for _, reason := range reasons {
		fmt.Fprintf(out, "  %8d  %.4f of requests  %s\n", l.By[reason], float64(l.By[reason])/float64(max(1, l.Requests)), reason)
	}
}

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

// LossReport counts why requests were not served in time, by the reasons of the routers' decision modules, over all routers
// and all their processes. It observes the events and actions between a router and its module and changes nothing.
type LossReport struct {
	Requests     int // requests that routers received, including clients' retries
	Attempts     int
	HealthChecks int
	ByReason     map[string]int // requests not served in time and wasted attempts, by kind and reason
	Hits         Answers
	Misses       Answers // writes included

	latencyObjectives map[string]Time
}

// Answers counts the answers of caches, both in time and late.
type Answers struct {
	N    int
	Time Time // sum of the answers' latencies, each measured from the sending of the attempt
}

// Mean returns the mean latency of an answer.
func (a Answers) Mean() Time { return a.Time / Time(max(1, a.N)) }

func (a *Answers) add(t Time) { a.N, a.Time = a.N+1, a.Time+t }

// NewLossReport returns an empty report for requests of these classes.
func NewLossReport(classes []standin.Class) *LossReport {
	l := &LossReport{ByReason: map[string]int{}, latencyObjectives: map[string]Time{}}
	for _, c := range classes {
		l.latencyObjectives[c.Name] = c.LatencyObjective
	}
	return l
}

// Wrap returns a module that counts the events and actions between a router's process and its module m.
func (l *LossReport) Wrap(m guard.Module) guard.Module {
	return &lossModule{Module: m, report: l, requests: map[int64]*trackedRequest{}}
}

type lossModule struct {
	guard.Module
	report   *LossReport
	requests map[int64]*trackedRequest
}

// trackedRequest is a request that is not answered yet or has attempts in flight.
type trackedRequest struct {
	receivedAt, latencyObjective Time
	sentAt                       []Time
	attemptsInFlight             int
	completed                    bool
}

var resultTexts = [...]string{decide.Served: "served", decide.Errored: "error", decide.Rejected: "turned away",
	decide.TimedOut: "no answer", decide.ConnectFailed: "no connection", decide.ConnectionLost: "connection lost",
	decide.Cancelled: "called off", decide.NotSent: "not sent", decide.NotStored: "not stored"}

// Handle implements guard.Module.
func (l *lossModule) Handle(now Time, ev decide.Event) []decide.Action {
	switch ev := ev.(type) {
	case *decide.Request:
		l.report.Requests++
		l.requests[ev.ID] = &trackedRequest{receivedAt: now, latencyObjective: l.report.latencyObjectives[ev.Class]}
	case *decide.AttemptResult:
		l.attemptEnded(now, ev)
	case *decide.ClientGone:
		if q := l.requests[ev.ID]; q != nil && !q.completed {
			l.report.ByReason["left: its client went"]++
			l.complete(ev.ID, q)
		}
	}
	actions := l.Module.Handle(now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case decide.HealthCheck:
			l.report.HealthChecks++
		case decide.Send:
			l.report.Attempts++
			if q := l.requests[a.ID]; q != nil {
				q.sentAt = append(q.sentAt, now)
				q.attemptsInFlight++
			}
		case decide.Reject:
			l.countUnserved(a.ID, "refused: "+a.Reason.String())
		case decide.Fail:
			l.countUnserved(a.ID, "failed: "+a.Reason.String())
		}
	}
	return actions
}

func (l *lossModule) countUnserved(id int64, how string) {
	if q := l.requests[id]; q != nil && !q.completed {
		l.report.ByReason[how]++
		l.complete(id, q)
	}
}

// complete marks a request as answered, and deletes the request if no attempt is in flight.
func (l *lossModule) complete(id int64, q *trackedRequest) {
	q.completed = true
	if q.attemptsInFlight == 0 {
		delete(l.requests, id)
	}
}

// attemptEnded counts the end of an attempt, and a late answer.
func (l *lossModule) attemptEnded(now Time, o *decide.AttemptResult) {
	q := l.requests[o.ID]
	if q == nil || o.Attempt >= len(q.sentAt) {
		return
	}
	q.attemptsInFlight--
	if took := now - q.sentAt[o.Attempt]; o.Result == decide.Served && o.Miss {
		l.report.Misses.add(took)
	} else if o.Result == decide.Served {
		l.report.Hits.add(took)
	}
	switch {
	case o.Result == decide.Served && !q.completed:
		if now-q.receivedAt > q.latencyObjective {
			l.report.ByReason["late: "+q.slowestPhase(now, o)]++
		}
		q.completed = true
	case o.Result == decide.Cancelled && q.completed && now-q.sentAt[o.Attempt] < q.latencyObjective/2:
		l.report.ByReason["wasted attempt: called off soon, as it was not needed"]++
	default:
		l.report.ByReason["wasted attempt: "+resultTexts[o.Result]]++
	}
	if q.completed {
		l.complete(o.ID, q)
	}
}

// slowestPhase returns the name of the longest phase of a request that is served late.
func (q *trackedRequest) slowestPhase(now Time, o *decide.AttemptResult) string {
	first, last := q.sentAt[0], q.sentAt[o.Attempt]
	most, where := first-q.receivedAt, "it waited before its first attempt"
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

// Print writes all counts in descending order.
func (l *LossReport) Print(out io.Writer) {
	fmt.Fprintf(out, "  hits %d in %.0f ms, misses and writes %d in %.0f ms\n", l.Hits.N, float64(l.Hits.Mean())/1000,
		l.Misses.N, float64(l.Misses.Mean())/1000)
	reasons := make([]string, 0, len(l.ByReason))
	for reason := range l.ByReason { // any order: sorted below
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		if l.ByReason[a] != l.ByReason[b] {
			return l.ByReason[b] - l.ByReason[a]
		}
		return strings.Compare(a, b)
	})
	for _, reason := range reasons {
		fmt.Fprintf(out, "  %8d  %.4f of requests  %s\n", l.ByReason[reason], float64(l.ByReason[reason])/float64(max(1, l.Requests)), reason)
	}
}

package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// eventKind is the type of the event or action in an eventRecord.
type eventKind uint8

const (
	noEvent eventKind = iota
	eventRequest
	eventResponseStarted
	eventResult
	eventClientGone
	eventHealthCheckResult
	eventListed
	eventUnlisted
	eventSend
	eventCancel
	eventReject
	eventFail
	eventHealthCheck
	eventCloseIdle
)

// eventNames are the names of the kinds in Breach.History.
var eventNames = [...]string{"", "request", "started", "outcome", "departed", "probed", "listed", "removed", "send",
	"cancel", "refuse", "fail", "probe", "close idle"}

// resultNames are the names of results in logs.
var resultNames = [...]string{"served", "errored", "rejected", "timed out", "connect failed", "connection lost",
	"cancelled", "not sent", "not stored"}

// ResultName returns the name of a result in logs.
func ResultName(result decide.Result) string {
	if int(result) < len(resultNames) {
		return resultNames[result]
	}
	return fmt.Sprintf("result %d", result)
}

const (
	// maxBufferedEvents is the capacity of an eventBuffer, in events and actions.
	maxBufferedEvents = 64
	// maxAttemptsInHistory is the maximum number of attempts in a request's history; earlier attempts are left out.
	maxAttemptsInHistory = 16
)

// eventRecord describes one event or action. The Contract records every event and action but reads the records only after a
// breach, so a record is not formatted until it is read.
type eventRecord struct {
	at      decide.Time
	request int64  // 0 if the event concerns no request
	cache   string // empty if the event concerns no cache
	attempt int
	kind    eventKind
	result  decide.Result
}

// eventBuffer is a ring buffer of the latest events and actions.
type eventBuffer struct {
	records [maxBufferedEvents]eventRecord // the record with number n is at n modulo the length
	next    uint                           // number of the next record
}

// add stores a record and overwrites the oldest one.
func (b *eventBuffer) add(record eventRecord) {
	b.records[b.next%maxBufferedEvents] = record
	b.next++
}

// String formats the record as one line of Breach.History.
func (r *eventRecord) String() string {
	text := fmt.Sprintf("%d %s", r.at, eventNames[r.kind])
	if r.request != 0 {
		text += fmt.Sprintf(" %d", r.request)
	}
	switch r.kind {
	case eventResponseStarted, eventSend, eventCancel, eventResult:
		text += fmt.Sprintf("/%d", r.attempt)
	}
	if r.cache != "" {
		text += " " + r.cache
	}
	if r.kind == eventResult || r.kind == eventHealthCheckResult {
		text += " " + ResultName(r.result)
	}
	return text
}

// history returns the events and actions that led to a breach. For an open request, the lines come from its own record and cover
// its last maxAttemptsInHistory attempts. For a closed request, and for the cache, the lines come from the event buffer.
func (c *Contract) history(id int64, cache string) []string {
	var lines []string
	request := c.requests[id]
	if request != nil {
		lines = request.history()
	}
	for i := range uint(maxBufferedEvents) {
		record := &c.events.records[(c.events.next+i)%maxBufferedEvents]
		if record.kind == noEvent {
			continue
		}
		if id != 0 && record.request == id {
			if request == nil { // an open request's own record already covers the event
				lines = append(lines, record.String())
			}
		} else if cache != "" && record.cache == cache {
			lines = append(lines, record.String())
		}
	}
	return lines
}

// history returns one line for the request, and one or two lines for each of its latest attempts.
func (request *trackedRequest) history() []string {
	lines := []string{fmt.Sprintf("%d request %d, deadline %d", request.openedAt, request.id, request.deadline)}
	for number := max(0, len(request.attempts)-maxAttemptsInHistory); number < len(request.attempts); number++ {
		attempt := &request.attempts[number]
		lines = append(lines, fmt.Sprintf("%d send %d/%d %s, deadline %d",
			attempt.sentAt, request.id, number, attempt.cache.name, attempt.deadline))
		if !attempt.inFlight {
			lines = append(lines, fmt.Sprintf("%d outcome %d/%d %s",
				attempt.endedAt, request.id, number, ResultName(attempt.result)))
		}
	}
	if request.clientGone {
		lines = append(lines, fmt.Sprintf("request %d: the client disconnected", request.id))
	}
	return lines
}

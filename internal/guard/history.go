package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// eventKind is what an eventRecord is about.
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

// eventNames are the names of the kinds in a Breach's History.
var eventNames = [...]string{"", "request", "started", "outcome", "departed", "probed", "listed", "removed", "send",
	"cancel", "refuse", "fail", "probe", "close idle"}

// resultNames are the names of results in the log.
var resultNames = [...]string{"served", "errored", "rejected", "timed out", "connect failed", "connection lost",
	"cancelled", "not sent", "not stored"}

// ResultName returns the name of a result in the log.
func ResultName(result decide.Result) string {
	if int(result) < len(resultNames) {
		return resultNames[result]
	}
	return fmt.Sprintf("result %d", result)
}

const (
	// maxBufferedEvents is the number of events and actions that an eventBuffer holds.
	maxBufferedEvents = 64
	// attemptsInHistory is the number of a request's latest attempts that its history names.
	attemptsInHistory = 16
)

// eventRecord is one event or action. One is made for each, and hardly any is read, so it is not formatted before.
type eventRecord struct {
	at      decide.Time
	request int64  // 0 where none is concerned
	cache   string // empty where none is concerned
	attempt int
	kind    eventKind
	result  decide.Result
}

// eventBuffer holds the latest events and actions.
type eventBuffer struct {
	records [maxBufferedEvents]eventRecord // a ring
	next    uint                           // number of the next record
}

// add adds a record in place of the oldest one.
func (b *eventBuffer) add(record eventRecord) {
	b.records[b.next%maxBufferedEvents] = record
	b.next++
}

// String returns the record as a line of a Breach's History.
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

// history returns what led to a breach: the history of the request, which is complete where it is open, and the latest events
// that concern it or the cache.
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
			if request == nil { // else it stands in the request's history
				lines = append(lines, record.String())
			}
		} else if cache != "" && record.cache == cache {
			lines = append(lines, record.String())
		}
	}
	return lines
}

// history returns the request's own history.
func (request *trackedRequest) history() []string {
	lines := []string{fmt.Sprintf("%d request %d, wanted by %d", request.openedAt, request.id, request.deadline)}
	for number := max(0, len(request.attempts)-attemptsInHistory); number < len(request.attempts); number++ {
		attempt := &request.attempts[number]
		lines = append(lines, fmt.Sprintf("%d send %d/%d %s, given up at %d",
			attempt.sentAt, request.id, number, attempt.cache.name, attempt.deadline))
		if !attempt.inFlight {
			lines = append(lines, fmt.Sprintf("%d outcome %d/%d %s",
				attempt.endedAt, request.id, number, ResultName(attempt.result)))
		}
	}
	if request.clientGone {
		lines = append(lines, fmt.Sprintf("request %d: the client has left", request.id))
	}
	return lines
}

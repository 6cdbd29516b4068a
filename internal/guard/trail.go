package guard

import (
	"fmt"

	"starlingwinch/decide"
)

// noteKind says what a note is about.
type noteKind uint8

const (
	noteNone noteKind = iota
	noteRequest
	noteStarted
	noteOutcome
	noteDeparted
	noteProbed
	noteListed
	noteRemoved
	noteSend
	noteCancel
	noteRefuse
	noteFail
	noteProbe
	noteClose
)

var noteNames = [...]string{"", "request", "started", "outcome", "departed", "probed", "listed", "removed", "send",
	"cancel", "refuse", "fail", "probe", "close idle"}

var resultNames = [...]string{"served", "errored", "rejected", "no answer", "no connection", "connection lost",
	"cancelled", "not sent", "not stored"}

// ResultName words the outcome of an attempt.
func ResultName(r decide.Result) string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return fmt.Sprintf("result %d", r)
}

// note is one event or action, as short as it goes: one is made for each, and hardly any is read.
type note struct {
	at     decide.Time
	id     int64
	cache  string
	n      int // attempt
	what   noteKind
	result decide.Result
}

const (
	ringSize    = 64
	historyKept = 16 // attempts of a request that its history names: its latest
)

// ring holds the latest notes.
type ring struct {
	notes [ringSize]note
	next  uint
}

func (r *ring) add(n note) {
	r.notes[r.next%ringSize] = n
	r.next++
}

func (n *note) String() string {
	s := fmt.Sprintf("%d %s", n.at, noteNames[n.what])
	if n.id != 0 {
		s += fmt.Sprintf(" %d", n.id)
	}
	switch n.what {
	case noteStarted, noteSend, noteCancel, noteOutcome:
		s += fmt.Sprintf("/%d", n.n)
	}
	if n.cache != "" {
		s += " " + n.cache
	}
	if n.what == noteOutcome || n.what == noteProbed {
		s += " " + ResultName(n.result)
	}
	return s
}

// trail renders what led to a breach: the history of the request, which its record has in full, and
// the latest notes on it and on the cache.
func (b *Contract) trail(id int64, cache string) []string {
	var lines []string
	q := b.requests[id]
	if q != nil {
		lines = q.history()
	}
	for i := range uint(ringSize) {
		n := &b.ring.notes[(b.ring.next+i)%ringSize]
		ofRequest := id != 0 && n.id == id
		if n.what == noteNone || ofRequest && q != nil || !ofRequest && (cache == "" || n.cache != cache) {
			continue
		}
		lines = append(lines, n.String())
	}
	return lines
}

func (q *request) history() []string {
	lines := []string{fmt.Sprintf("%d request %d, wanted by %d", q.asked, q.id, q.deadline)}
	for i := max(0, len(q.attempts)-historyKept); i < len(q.attempts); i++ {
		a := &q.attempts[i]
		lines = append(lines, fmt.Sprintf("%d send %d/%d %s, given up at %d", a.sent, q.id, i, a.to.name, a.stopAt))
		if !a.out {
			lines = append(lines, fmt.Sprintf("%d outcome %d/%d %s", a.ended, q.id, i, ResultName(a.result)))
		}
	}
	if q.departed {
		lines = append(lines, fmt.Sprintf("request %d: the client has left", q.id))
	}
	return lines
}

// Package eventlog writes what happens to requests, attempts and connections, one line each with fields, and counts all of
// it by event and reason. Lines are bounded a second and what was left out is counted, so that a flood of events costs
// no more than its counting; the counts are written each minute and at the end.
//
// It does no I/O of its own and belongs to the loop's goroutine: a finished line is handed to the machine's log.
package eventlog

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Time is an instant or a span in microseconds.
type Time = int64

// Config is an operators' file of the kind "log".
type Config struct {
	Events   bool          `toml:"events" doc:"a line for each retry, refusal, failure and closed connection, with its reason"`
	Lines    int           `toml:"lines" min:"1" max:"100000" doc:"such lines in a second, at most; what is left out is counted"`
	Counters time.Duration `toml:"counters" min:"1s" max:"1h" doc:"between two lines with the counts of all events by reason"`
}

// Default is what holds where no file says otherwise.
func Default() Config { return Config{Lines: 50, Counters: time.Minute} }

// Kind is the kind of file that sets it.
var Kind = operatorconfig.Define("log", "what is logged of requests, attempts and connections", Default(), nil)

// Event is what happened.
type Event string

const (
	AttemptRetried     Event = "attempt-retried" // a further attempt of a request begins
	AttemptEnded       Event = "attempt-ended"   // without being served
	RequestRejected    Event = "request-refused"
	RequestFailed      Event = "request-failed"
	ConnectionClosed   Event = "client-closed"
	DiscoveryCallEnded Event = "list"      // discovery has answered, or a call of it has failed
	Resumed            Event = "resumed"   // the loop goes on after a pause
	StartProgress      Event = "start"     // how far a start has come; written whatever is left out else
	Violation          Event = "violation" // of a rule; likewise
)

// isAlwaysWritten reports whether an event has its line also where the lines of events are off.
func (e Event) isAlwaysWritten() bool { return e == StartProgress || e == Violation }

// key is what is counted apart.
type key struct {
	event  Event
	reason string
}

// Log is the event log of a router.
type Log struct {
	config  Config
	now     func() Time
	out     *slog.Logger
	counts  map[key]int
	leftOut int
	second  Time // in which lines were written
	lines   int  // ... so many
}

const microsecondsASecond = 1_000_000

// New returns an event log that writes its lines to the logger.
func New(config Config, now func() Time, logger *slog.Logger) *Log {
	return &Log{config: config, now: now, out: logger, counts: map[key]int{}}
}

// Enabled reports whether events get lines: who would have to gather fields for them need not where they do not.
func (l *Log) Enabled() bool { return l.config.Events }

// Count counts an event without a line.
func (l *Log) Count(event Event, reason string) { l.counts[key{event, reason}]++ }

// Add counts an event and writes its line, if there is room for it.
func (l *Log) Add(event Event, reason string, fields ...slog.Attr) {
	l.Count(event, reason)
	level := slog.LevelInfo
	if event == Violation {
		level = slog.LevelError
	}
	if !l.config.Events && !event.isAlwaysWritten() {
		return
	}
	if event != StartProgress && !l.hasRoom() {
		l.leftOut++
		return
	}
	l.out.LogAttrs(context.Background(), level, string(event), append([]slog.Attr{slog.String("reason", reason)}, fields...)...)
}

// hasRoom takes a line of this second's.
func (l *Log) hasRoom() bool {
	if now := l.now(); now-l.second >= microsecondsASecond {
		l.second, l.lines = now, 0
	}
	if l.lines >= l.config.Lines {
		return false
	}
	l.lines++
	return true
}

// WriteCounters writes all counts since the start, in order, where anything was counted.
func (l *Log) WriteCounters() {
	if len(l.counts) == 0 {
		return
	}
	var fields []slog.Attr
	for k, n := range l.counts { // any order: sorted below
		fields = append(fields, slog.Int(string(k.event)+"."+k.reason, n))
	}
	slices.SortFunc(fields, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	fields = append(fields, slog.Int("lines-left-out", l.leftOut))
	l.out.LogAttrs(context.Background(), slog.LevelInfo, "counters", fields...)
}

// Counted is how often an event was counted, for a reason.
func (l *Log) Counted(event Event, reason string) int { return l.counts[key{event, reason}] }

// Package eventlog logs what happens to requests, attempts and connections, one line each with fields, and counts all of it
// by event and reason. The lines of a second are bounded, so that a flood of events costs no more than counting it; the
// counters are logged regularly and at the end.
//
// It does no I/O of its own and belongs to the loop's goroutine.
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

// Default returns the configuration where no file sets it.
func Default() Config { return Config{Lines: 50, Counters: time.Minute} }

// Kind is the kind of operators' file that sets the configuration.
var Kind = operatorconfig.Define("log", "what is logged of requests, attempts and connections", Default(), nil)

// Event is what happened, as the message of a line and the first part of a counter's name.
type Event string

const (
	AttemptRetried     Event = "attempt-retried"   // a further attempt of a request begins; the reason is the result of the one before
	AttemptEnded       Event = "attempt-ended"     // an attempt brought no value; the reason is its result
	RequestRejected    Event = "request-rejected"  // the module rejected a request
	RequestFailed      Event = "request-failed"    // the module failed a request
	ConnectionClosed   Event = "connection-closed" // a client's connection has ended
	DiscoveryCallEnded Event = "discovery-call"    // discovery has answered, or a call of it has failed
	Resumed            Event = "resumed"           // the loop goes on after a pause
	StartProgress      Event = "start"             // how far a start has come; always logged
	Violation          Event = "violation"         // a rule was broken; logged whatever the configuration, within the bound
)

const (
	countersMessage = "counters"
	droppedLines    = "lines-dropped" // the last field of the counters
)

// isAlwaysLogged reports whether an event has its line also where the lines of events are switched off.
func (e Event) isAlwaysLogged() bool { return e == StartProgress || e == Violation }

// level returns the level of an event's lines.
func (e Event) level() slog.Level {
	if e == Violation {
		return slog.LevelError
	}
	return slog.LevelInfo
}

// key identifies a counter.
type key struct {
	event  Event
	reason string
}

// Log is the event log of a router.
type Log struct {
	config  Config
	now     func() Time
	logger  *slog.Logger
	counts  map[key]int // since the start
	dropped int         // lines over the bound, since the start

	second    Time // when the second began that lineCount is about
	lineCount int  // lines logged in that second
}

const microsecondsPerSecond = 1_000_000

// New returns an event log that writes its lines to the logger.
func New(config Config, now func() Time, logger *slog.Logger) *Log {
	return &Log{config: config, now: now, logger: logger, counts: map[key]int{}}
}

// Enabled reports whether events have lines. Where they do not, callers can save the gathering of fields and use Count.
func (l *Log) Enabled() bool { return l.config.Events }

// Count counts an event without a line.
func (l *Log) Count(event Event, reason string) { l.counts[key{event, reason}]++ }

// Add counts an event and logs its line, unless lines are switched off or the bound of this second is reached.
func (l *Log) Add(event Event, reason string, fields ...slog.Attr) {
	l.Count(event, reason)
	if !l.config.Events && !event.isAlwaysLogged() {
		return
	}
	if event != StartProgress && !l.takeLine() {
		l.dropped++
		return
	}
	fields = append([]slog.Attr{slog.String("reason", reason)}, fields...)
	l.logger.LogAttrs(context.Background(), event.level(), string(event), fields...)
}

// takeLine takes one of this second's lines, and reports whether there was one left.
func (l *Log) takeLine() bool {
	now := l.now()
	if now-l.second >= microsecondsPerSecond {
		l.second, l.lineCount = now, 0
	}
	if l.lineCount >= l.config.Lines {
		return false
	}
	l.lineCount++
	return true
}

// WriteCounters logs all counters in one line, sorted by name, where anything was counted.
func (l *Log) WriteCounters() {
	if len(l.counts) == 0 {
		return
	}
	var fields []slog.Attr
	for k, n := range l.counts { // any order: sorted below
		fields = append(fields, slog.Int(string(k.event)+"."+k.reason, n))
	}
	slices.SortFunc(fields, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	fields = append(fields, slog.Int(droppedLines, l.dropped))
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, countersMessage, fields...)
}

// Counted returns how often an event was counted with a reason.
func (l *Log) Counted(event Event, reason string) int { return l.counts[key{event, reason}] }

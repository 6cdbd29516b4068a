// Package eventlog logs events of requests, attempts and connections, one line with fields per event, and counts all events
// by name and reason. The number of lines per second is limited, so that a flood of events costs no more than counting
// them. The counters are logged periodically and at shutdown.
//
// The package performs no I/O itself. A Log must only be used by the goroutine of the event loop.
package eventlog

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"starlingwinch/internal/operatorconfig"
)

// Time is an instant or a duration in microseconds.
type Time = int64

// Config is the content of an operator configuration file of the kind "log".
type Config struct {
	Events   bool          `toml:"events" doc:"a line for each retry, refusal, failure and closed connection, with its reason"`
	Lines    int           `toml:"lines" min:"1" max:"100000" doc:"such lines in a second, at most; what is left out is counted"`
	Counters time.Duration `toml:"counters" min:"1s" max:"1h" doc:"between two lines with the counts of all events by reason"`
}

// Default returns the configuration that applies without a file of this kind.
func Default() Config { return Config{Lines: 50, Counters: time.Minute} }

// Kind is the kind of operator configuration file that holds a Config.
var Kind = operatorconfig.Define("log", "what is logged of requests, attempts and connections", Default(), nil)

// Event is the name of an event. It is the message of a log line and the first part of a counter's name.
type Event string

const (
	AttemptRetried     Event = "attempt-retried"   // another attempt of a request begins; the reason is the result of the previous attempt
	AttemptEnded       Event = "attempt-ended"     // an attempt ended without a value; the reason is its result
	RequestRejected    Event = "request-rejected"  // the decision module rejected a request
	RequestFailed      Event = "request-failed"    // the decision module failed a request
	ConnectionClosed   Event = "connection-closed" // a client's connection was closed
	DiscoveryCallEnded Event = "discovery-call"    // a call to discovery was answered or failed
	Resumed            Event = "resumed"           // the event loop continues after a pause
	StartProgress      Event = "start"             // progress of the router's start; always logged
	Violation          Event = "violation"         // a contract was violated; logged regardless of Config.Events, within the line limit
)

const (
	countersMessage = "counters"
	droppedLines    = "lines-dropped" // the last field of the counters
)

// isAlwaysLogged reports whether an event is logged even if Config.Events is false.
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
	counts  map[key]int // since the start of the router
	dropped int         // lines over the limit, since the start of the router

	windowStart Time // start of the one-second window of lineCount
	lineCount   int  // lines logged in the window
}

const microsecondsPerSecond = 1_000_000

// New returns an event log that writes to the logger. now is the clock for the line limit.
func New(config Config, now func() Time, logger *slog.Logger) *Log {
	return &Log{config: config, now: now, logger: logger, counts: map[key]int{}}
}

// Enabled reports whether events are logged. If not, callers can call Count and avoid the cost of building fields.
func (l *Log) Enabled() bool { return l.config.Events }

// Count counts an event without logging it.
func (l *Log) Count(event Event, reason string) { l.counts[key{event, reason}]++ }

// Add counts an event and logs it, unless event logging is disabled or the line limit of the current second is reached.
func (l *Log) Add(event Event, reason string, fields ...slog.Attr) {
	l.Count(event, reason)
	if !l.config.Events && !event.isAlwaysLogged() {
		return
	}
	if event != StartProgress && !l.allowLine() {
		l.dropped++
		return
	}
	fields = append([]slog.Attr{slog.String("reason", reason)}, fields...)
	l.logger.LogAttrs(context.Background(), event.level(), string(event), fields...)
}

// allowLine reports whether the line limit of the current second permits another line, and counts that line.
func (l *Log) allowLine() bool {
	now := l.now()
	if now-l.windowStart >= microsecondsPerSecond {
		l.windowStart, l.lineCount = now, 0
	}
	if l.lineCount >= l.config.Lines {
		return false
	}
	l.lineCount++
	return true
}

// WriteCounters logs all counters in one line, sorted by name. It logs nothing if no event was counted.
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

// Counted returns the number of times that an event was counted with a reason.
func (l *Log) Counted(event Event, reason string) int { return l.counts[key{event, reason}] }

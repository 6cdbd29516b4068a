// Package structuredlog creates the program's loggers. They write log/slog records as lines of a level, a message and
// fields to a Sink, which is the machine's log. The machine's log prefixes each line with the time and the process name.
// The lines themselves contain no time, so that identical runs write identical lines.
package structuredlog

import (
	"log/slog"
	"strings"
)

// Sink receives formatted lines without trailing newlines. Log must not block. machine.Machine is a Sink.
type Sink interface {
	Log(line string)
}

// SinkFunc is a function used as a Sink.
type SinkFunc func(line string)

// Log implements Sink.
func (f SinkFunc) Log(line string) { f(line) }

// New returns a logger that writes lines in the text format of slog to the sink.
func New(sink Sink) *slog.Logger {
	options := slog.HandlerOptions{ReplaceAttr: dropTime}
	return slog.New(slog.NewTextHandler(lineWriter{sink}, &options))
}

// Discard returns a logger that discards all records.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// dropTime removes the time of a record, because the sink adds it.
func dropTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}

// lineWriter passes the handler's writes to a Sink. The handler makes one write per record.
type lineWriter struct{ sink Sink }

// Write passes the line of one record to the sink.
func (w lineWriter) Write(line []byte) (int, error) {
	w.sink.Log(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}

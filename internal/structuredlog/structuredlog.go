// Package structuredlog makes the loggers of the program: log/slog lines of a level, a message and fields, handed one by one
// to the machine's log. The machine's log puts the time and the name of the process in front of each line, so that the
// lines themselves hold no time, and equal runs write equal lines.
package structuredlog

import (
	"log/slog"
	"strings"
)

// Sink takes finished lines, without their line breaks. Log must not block: machine.Machine is a Sink.
type Sink interface {
	Log(line string)
}

// SinkFunc is a function used as a Sink.
type SinkFunc func(line string)

// Log implements Sink.
func (f SinkFunc) Log(line string) { f(line) }

// New returns a logger that hands each of its lines to the sink, in slog's text format.
func New(sink Sink) *slog.Logger {
	options := slog.HandlerOptions{ReplaceAttr: dropTime}
	return slog.New(slog.NewTextHandler(lineWriter{sink}, &options))
}

// Discard returns a logger whose lines go nowhere.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// dropTime leaves out the time of a record: the sink tells it.
func dropTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}

// lineWriter turns the handler's writes, one for each record, into lines.
type lineWriter struct{ sink Sink }

// Write hands one record's line to the sink.
func (w lineWriter) Write(line []byte) (int, error) {
	w.sink.Log(strings.TrimSuffix(string(line), "\n"))
	return len(line), nil
}

package eventlog

import (
	"log/slog"
	"strings"
	"testing"

	"starlingwinch/internal/structuredlog"
)

func TestLinesBoundedAndAllEventsCounted(t *testing.T) {
	var lines []string
	now := Time(0)
	l := New(Config{Events: true, Lines: 2}, func() Time { return now }, structuredlog.New(structuredlog.SinkFunc(func(line string) { lines = append(lines, line) })))
	for range 5 {
		l.Add(RequestRejected, "no-capacity", slog.Int64("request", 7), slog.String("cache", "c 1"))
	}
	if len(lines) != 2 || lines[0] != `level=INFO msg=request-rejected reason=no-capacity request=7 cache="c 1"` {
		t.Errorf("got lines %q, want 2 of the rejected request", lines)
	}
	now = microsecondsPerSecond
	l.Add(RequestFailed, "late")
	l.WriteCounters()
	if got := lines[len(lines)-1]; got != "level=INFO msg=counters request-failed.late=1 request-rejected.no-capacity=5 lines-dropped=3" {
		t.Errorf("got counters %q, want both events and 3 dropped lines", got)
	}
	if len(lines) != 4 || l.Counted(RequestRejected, "no-capacity") != 5 {
		t.Errorf("got %d lines and %d counted rejections, want 4 and 5", len(lines), l.Counted(RequestRejected, "no-capacity"))
	}
}

func TestEventsOffLogsViolationsAndCountersOnly(t *testing.T) {
	var lines []string
	l := New(Default(), func() Time { return 0 }, structuredlog.New(structuredlog.SinkFunc(func(line string) { lines = append(lines, line) })))
	l.Add(AttemptRetried, "reset")
	l.Add(Violation, "idempotency-window-over")
	l.WriteCounters()
	if len(lines) != 2 || !strings.Contains(lines[0], "level=ERROR msg=violation") || !strings.Contains(lines[1], "attempt-retried.reset=1") {
		t.Errorf("got lines %q, want the violation and the counters", lines)
	}
}

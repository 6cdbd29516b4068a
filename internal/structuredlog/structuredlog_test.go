package structuredlog_test

import (
	"errors"
	"slices"
	"testing"

	"starlingwinch/internal/structuredlog"
)

func TestLoggerWritesOneLinePerRecordWithoutTime(t *testing.T) {
	var lines []string
	logger := structuredlog.New(structuredlog.SinkFunc(func(line string) { lines = append(lines, line) }))
	logger.Info("endpoint list unavailable", "attempts", 14, "cause", errors.New("no answer\nfrom discovery"))
	logger.Error("draining")
	want := []string{
		`level=INFO msg="endpoint list unavailable" attempts=14 cause="no answer\nfrom discovery"`,
		`level=ERROR msg=draining`,
	}
	if !slices.Equal(lines, want) {
		t.Errorf("got lines %q, want %q", lines, want)
	}
}

func TestDiscardAcceptsRecords(t *testing.T) {
	structuredlog.Discard().Error("discarded record")
}

package recordedlog

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"starlingwinch/internal/structuredlog"
)

// TestWordingOfHookLines checks the recorded sentences of hooks from lines as a logger writes them.
func TestWordingOfHookLines(t *testing.T) {
	exited := errors.New("worker exited: out of memory, or a crash of its engine")
	malformed := errors.New("worker violated its protocol: wire: a frame is malformed")
	for _, c := range []struct {
		write func(*slog.Logger)
		want  string
	}{
		{func(l *slog.Logger) { l.Info("hook message", "hook", "a", "text", `said "x=1"`) }, `hook a: says: said "x=1"`},
		{func(l *slog.Logger) { l.Info("hook message", "hook", "a", "text", "b", "suppressed", 7) },
			"hook a: says: b (and 7 lines before it that were too many)"},
		{func(l *slog.Logger) { l.Warn("hook failed", "hook", "a", "cause", exited) },
			"hook a: its worker ended: out of memory, or a crash of its engine"},
		{func(l *slog.Logger) { l.Warn("hook failed", "hook", "a", "cause", errors.New("crashed: unreachable")) },
			"hook a: crashed: unreachable"},
		{func(l *slog.Logger) {
			l.Warn("hook suspended", "hook", "a", "suspended_for", 4<<20*time.Microsecond, "cause", malformed)
		}, "hook a: suspended for 4 s: its worker spoke out of turn: wire: a frame is malformed"},
		{func(l *slog.Logger) { l.Info("hook set loaded", "hooks", 2) }, "hooks: the new set is in place (2 of them)"},
		{func(l *slog.Logger) { l.Error("hook set not loaded", "hook", "a", "cause", exited) },
			"hook a: its worker ended: out of memory, or a crash of its engine; the hooks before stay"},
		{func(l *slog.Logger) { l.Warn("hook runs in a process, not inside the router", "hook", "a") },
			"hook a: runs in a process, as none may run inside of this router"},
	} {
		line := ""
		c.write(structuredlog.New(structuredlog.SinkFunc(func(text string) { line = text })))
		if got := Wording(line); got != c.want {
			t.Errorf("%s is worded %q, want %q", line, got, c.want)
		}
	}
}

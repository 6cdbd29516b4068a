package recordedlog

import (
	"fmt"
	"strings"
	"time"
)

// The recorded wordings of package hooks.
func init() {
	add(map[string]sentence{
		"hook message": func(f Fields) string { return hookLine(f, "says: "+f["text"]) },
		"hook failed":  func(f Fields) string { return hookLine(f, hookCause(f)) },
		"hook suspended": func(f Fields) string {
			return fmt.Sprintf("hook %s: suspended for %d s: %s", f["hook"], roundedSeconds(f["suspended_for"]), hookCause(f))
		},
		"hook set loaded": func(f Fields) string {
			return fmt.Sprintf("hooks: the new set is in place (%d of them)", f.Int("hooks"))
		},
		"hook set not loaded": func(f Fields) string {
			return fmt.Sprintf("hook %s: %s; the hooks before stay", f["hook"], hookCause(f))
		},
		"hook runs in a process, not inside the router": func(f Fields) string {
			return "hook " + f["hook"] + ": runs in a process, as none may run inside of this router"
		},
	})
}

// recordedHookCauses are the recorded wordings of the reasons why a worker was lost, and recordedHookCausePrefixes those of
// reasons with a detail behind them.
var (
	recordedHookCauses = map[string]string{
		"worker sent an unexpected reply":                        "its worker gave an answer to nothing",
		"worker reported its hook as loaded twice":               "its worker came up twice",
		"worker did not load its hook in time":                   "its worker did not come up in time",
		"worker killed: call went on beyond its budget":          "its worker was ended: a call went on beyond its budget",
		"worker exited: out of memory, or a crash of its engine": "its worker ended: out of memory, or a crash of its engine",
	}
	recordedHookCausePrefixes = [][2]string{
		{"worker not started: ", "its worker did not start: "},
		{"worker connection lost: ", "its worker was lost: "},
		{"worker violated its protocol: ", "its worker spoke out of turn: "},
	}
)

// hookCause is the recorded wording of a line's cause.
func hookCause(f Fields) string {
	cause := f["cause"]
	if recorded, known := recordedHookCauses[cause]; known {
		return recorded
	}
	for _, prefix := range recordedHookCausePrefixes {
		if detail, found := strings.CutPrefix(cause, prefix[0]); found {
			return prefix[1] + detail
		}
	}
	return cause
}

// hookLine is the recorded wording of a line whose rate is bounded.
func hookLine(f Fields, text string) string {
	if _, some := f["suppressed"]; some {
		return fmt.Sprintf("hook %s: %s (and %d lines before it that were too many)", f["hook"], text, f.Int("suppressed"))
	}
	return fmt.Sprintf("hook %s: %s", f["hook"], text)
}

// roundedSeconds returns a duration in whole seconds, rounded from microseconds as it was recorded.
func roundedSeconds(text string) int64 {
	d, err := time.ParseDuration(text)
	if err != nil {
		panic(fmt.Sprintf("recordedlog: duration %q: %v", text, err))
	}
	return (d.Microseconds() + 500_000) / 1_000_000
}

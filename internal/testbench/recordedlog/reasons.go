package recordedlog

// The recorded names of reasons that packages frontend, endpointsource and guard give to events.
func init() {
	addReasons("attempt-ended", resultNames)
	addReasons("attempt-retried", resultNames)
	addReasons("connection-closed", closeReasons)
	addReasons("discovery-call", map[string]string{"full": "whole", "delta": "changes"})
	addReasons("violation", violationReasons)
}

// resultNames are the recorded names of results of attempts.
var resultNames = map[string]string{
	"timed out":      "no answer",
	"connect failed": "no connection",
}

// closeReasons are the recorded names of why a client's connection ended.
var closeReasons = map[string]string{
	"client-reset":          "reset-by-client",
	"client-closed":         "ended-by-client",
	"router-stopping":       "router-ends",
	"connection-limit":      "too-many-clients",
	"drained":               "retired",
	"timeout-first-command": "overdue-fresh",
	"timeout-command":       "overdue-partial",
	"timeout-idle":          "overdue-idle",
	"timeout-replies":       "overdue-busy",
	"timeout-write":         "overdue-stuck",
	"timeout-excess":        "overdue-surplus",
	"timeout-linger":        "overdue-closing",
}

// violationReasons are the recorded names of guard.Reason.
var violationReasons = map[string]string{
	"client-gone":                 "client-left",
	"cache-draining":              "cache-leaving",
	"deadline-passed":             "time-over",
	"hedge-not-allowed":           "second-copy",
	"not-idempotent":              "effect-may-repeat",
	"outside-deduplication-scope": "outside-group",
	"idempotency-window-over":     "window-over",
	"wait-beyond-deadline":        "deadline-exceeded",
	"rejected-after-run":          "refused-after-run",
}

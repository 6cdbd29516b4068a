package retrystorm

import (
	"log/slog"
	"math"
	"strconv"
	"time"
)

// ChangeMessage is the message of the log line for a state change. Change.Attrs returns the fields of the line.
const ChangeMessage = "retry storm state changed"

// Keys of the log line's fields.
const (
	keyFrom                = "from"
	keyTo                  = "to"
	keyRequestRate         = "requests_per_second"
	keyRetryPercent        = "retry_percent"
	keyUnservedPercent     = "unserved_percent"
	keyOutagePercent       = "outage_percent"
	keyConnectionRate      = "connections_per_second"
	keyFirstRequestPercent = "first_request_percent"
	keyRetryBudgetFraction = "retry_budget_fraction"
	keyRetryAfterJitter    = "retry_after_jitter"
)

// Change is a state change, with the rates of the second before the change and the bounds that apply after it.
type Change struct {
	From, To            State
	RequestRate         int // requests per second
	RetryPercent        int // retries as a percentage of requests
	UnservedPercent     int // requests without a value, as a percentage of requests
	OutagePercent       int // attempts that did not reach their cache, as a percentage of attempts
	ConnectionRate      int // new client connections per second
	FirstRequestPercent int // first requests on their connections, as a percentage of requests
	RetryBudgetFraction float64
	RetryAfterJitter    time.Duration
}

func newChange(from, to State, r rates, b Bounds) Change {
	return Change{
		From:                from,
		To:                  to,
		RequestRate:         int(r.requests),
		RetryPercent:        percent(r.retryRatio),
		UnservedPercent:     percent(r.unservedRatio),
		OutagePercent:       percent(r.outageRatio),
		ConnectionRate:      int(r.connections),
		FirstRequestPercent: percent(r.firstRequestRatio),
		RetryBudgetFraction: roundToHundredths(b.RetryBudgetFraction),
		RetryAfterJitter:    time.Duration(b.RetryAfterJitter) * time.Microsecond,
	}
}

func percent(ratio float64) int { return int(math.RoundToEven(100 * ratio)) }

// roundToHundredths rounds a value to two decimal places.
func roundToHundredths(v float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 2, 64), 64) // a formatted value can always be parsed
	return rounded
}

// Level returns the level of the log line, which is a warning if the new state is Rising or Storm.
func (c Change) Level() slog.Level {
	if c.To == Rising || c.To == Storm {
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// Attrs returns the fields of the log line.
func (c Change) Attrs() []slog.Attr {
	return []slog.Attr{
		slog.String(keyFrom, c.From.String()),
		slog.String(keyTo, c.To.String()),
		slog.Int(keyRequestRate, c.RequestRate),
		slog.Int(keyRetryPercent, c.RetryPercent),
		slog.Int(keyUnservedPercent, c.UnservedPercent),
		slog.Int(keyOutagePercent, c.OutagePercent),
		slog.Int(keyConnectionRate, c.ConnectionRate),
		slog.Int(keyFirstRequestPercent, c.FirstRequestPercent),
		slog.Float64(keyRetryBudgetFraction, c.RetryBudgetFraction),
		slog.Duration(keyRetryAfterJitter, c.RetryAfterJitter),
	}
}

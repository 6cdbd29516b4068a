package retrystorm

import (
	"log/slog"
	"math"
	"strconv"
	"time"
)

// ChangeMessage is the message of the log line at each change of state. Change.Attrs has its fields.
const ChangeMessage = "retry storm state changed"

// Keys of the fields of the log line.
const (
	keyFrom                = "from"
	keyTo                  = "to"
	keyRequestRate         = "requests_per_second"
	keyRetries             = "retry_percent"
	keyUnserved            = "unserved_percent"
	keyOutage              = "outage_percent"
	keyConnectionRate      = "connections_per_second"
	keyFirstRequests       = "first_request_percent"
	keyRetryBudgetFraction = "retry_budget_fraction"
	keyRetryAfterJitter    = "retry_after_jitter"
)

// Change is one change of state, with what led to it in the second before and the bounds that hold after it.
type Change struct {
	From, To            State
	RequestRate         int // requests a second
	RetryPercent        int // retries among requests
	UnservedPercent     int // requests without a value among all
	OutagePercent       int // attempts that reached no cache among all
	ConnectionRate      int // new connections of clients a second
	FirstRequestPercent int // requests that were the first on their connections among all
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
		RetryBudgetFraction: hundredths(b.RetryBudgetFraction),
		RetryAfterJitter:    time.Duration(b.RetryAfterJitter) * time.Microsecond,
	}
}

func percent(ratio float64) int { return int(math.RoundToEven(100 * ratio)) }

// hundredths returns a figure as it is with two decimal places.
func hundredths(v float64) float64 {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'f', 2, 64), 64) // what was formatted can be parsed
	return rounded
}

// Level is the level of the log line: a warning while there is a storm or may be one.
func (c Change) Level() slog.Level {
	if c.To == Rising || c.To == Stormy {
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
		slog.Int(keyRetries, c.RetryPercent),
		slog.Int(keyUnserved, c.UnservedPercent),
		slog.Int(keyOutage, c.OutagePercent),
		slog.Int(keyConnectionRate, c.ConnectionRate),
		slog.Int(keyFirstRequests, c.FirstRequestPercent),
		slog.Float64(keyRetryBudgetFraction, c.RetryBudgetFraction),
		slog.Duration(keyRetryAfterJitter, c.RetryAfterJitter),
	}
}

package retrystorm

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits for the log that Explain reads.
const (
	maxLineBytes = 64 << 10
	maxChanges   = 100_000
)

// ErrNoStorm reports a log without state changes.
var ErrNoStorm = errors.New("no line of the log tells of a storm")

// LoggedChange is a state change read from a log.
type LoggedChange struct {
	Prefix string // the text before the level, such as the time
	Change
}

// changeLine matches the log line of a state change. Its submatches are the prefix and the fields.
var changeLine = regexp.MustCompile(`^(.*?)level=[A-Z]+ msg="` + ChangeMessage + `" (.*?)\s*$`)

// legacyChangeLine matches the log line of releases up to ea855d0, which had no fields. Its submatches are the prefix and the
// values of changeKeys.
var legacyChangeLine = regexp.MustCompile(`^(.*?)storm: (calm|rising|storm|recovering) -> (calm|rising|storm|recovering): ` +
	`asked (\d+)/s, retries (\d+)%, unserved (\d+)%, caches away (\d+)%, connections (\d+)/s, fresh (\d+)%; ` +
	`bounds: retries ([\d.]+), waits up to (\S+)\s*$`)

// changeKeys are the keys of all fields of a state change, in the order of the submatches of legacyChangeLine.
var changeKeys = [...]string{keyFrom, keyTo, keyRequestRate, keyRetryPercent, keyUnservedPercent, keyOutagePercent, keyConnectionRate,
	keyFirstRequestPercent, keyRetryBudgetFraction, keyRetryAfterJitter}

// ParseChange parses a log line of this release or an earlier one. It reports false if the line is not a state change.
func ParseChange(line string) (LoggedChange, bool) {
	fields := map[string]string{}
	var prefix string
	if parts := changeLine.FindStringSubmatch(line); parts != nil {
		prefix = parts[1]
		for _, field := range strings.Fields(parts[2]) {
			key, value, _ := strings.Cut(field, "=")
			fields[key] = value
		}
	} else if parts := legacyChangeLine.FindStringSubmatch(line); parts != nil {
		prefix = parts[1]
		for i, key := range changeKeys {
			fields[key] = parts[2+i]
		}
	} else {
		return LoggedChange{}, false
	}
	change, err := parseFields(fields)
	return LoggedChange{Prefix: strings.TrimSpace(prefix), Change: change}, err == nil
}

// parseFields parses the fields of a state change.
func parseFields(fields map[string]string) (Change, error) {
	var c Change
	var errs [len(changeKeys)]error
	c.From, errs[0] = parseState(fields[keyFrom])
	c.To, errs[1] = parseState(fields[keyTo])
	c.RequestRate, errs[2] = strconv.Atoi(fields[keyRequestRate])
	c.RetryPercent, errs[3] = strconv.Atoi(fields[keyRetryPercent])
	c.UnservedPercent, errs[4] = strconv.Atoi(fields[keyUnservedPercent])
	c.OutagePercent, errs[5] = strconv.Atoi(fields[keyOutagePercent])
	c.ConnectionRate, errs[6] = strconv.Atoi(fields[keyConnectionRate])
	c.FirstRequestPercent, errs[7] = strconv.Atoi(fields[keyFirstRequestPercent])
	c.RetryBudgetFraction, errs[8] = parseFraction(fields[keyRetryBudgetFraction])
	c.RetryAfterJitter, errs[9] = time.ParseDuration(fields[keyRetryAfterJitter])
	return c, errors.Join(errs[:]...)
}

func parseFraction(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && math.IsNaN(v) {
		return 0, fmt.Errorf("%q is not a number", text)
	}
	return v, err
}

func parseState(name string) (State, error) {
	for s := range stateCount {
		if s.String() == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown state %q", name)
}

// cause describes the cause of a state change. It assumes the default configuration.
func (c Change) cause() string {
	switch {
	case c.To == Calm && c.From == Rising:
		return "not confirmed as a storm: few requests were retries"
	case c.To == Calm:
		return "the bounds are fully relaxed"
	case c.To == Recovering:
		return fmt.Sprintf("retries fell to %d%%; the bounds are being relaxed", c.RetryPercent)
	case float64(c.OutagePercent) >= 100*Default().EnterOutage:
		return fmt.Sprintf("%d%% of attempts reached no cache", c.OutagePercent)
	}
	return fmt.Sprintf("%d%% of %d requests a second were retries, %d%% were not served", c.RetryPercent, c.RequestRate, c.UnservedPercent)
}

// Explain reads a router's log and describes the retry storms in it. It returns ErrNoStorm if the log has no state change.
func Explain(log io.Reader, out io.Writer) error {
	in := bufio.NewScanner(log)
	in.Buffer(make([]byte, 4096), maxLineBytes)
	e := explainer{out: out}
	for n := 1; in.Scan(); n++ {
		change, ok := ParseChange(in.Text())
		if !ok {
			continue
		}
		if e.changes == maxChanges {
			return fmt.Errorf("line %d: more than %d changes", n, maxChanges)
		}
		e.add(n, change)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("read the log: %w", err)
	}
	if e.changes == 0 {
		return ErrNoStorm
	}
	return nil
}

// explainer writes descriptions of consecutive state changes.
type explainer struct {
	out     io.Writer
	changes int
	storms  int
	peak    Change // the maximum rates at the state changes of the current storm
}

// add writes the description of a state change, which was read from the given line of the log. Each change from Calm begins a new
// numbered storm, even one that is not confirmed later.
func (e *explainer) add(line int, c LoggedChange) {
	e.changes++
	if c.From == Calm {
		e.storms++
		e.peak = Change{}
		fmt.Fprintf(e.out, "storm %d\n", e.storms)
	}
	e.peak.RequestRate = max(e.peak.RequestRate, c.RequestRate)
	e.peak.RetryPercent = max(e.peak.RetryPercent, c.RetryPercent)
	e.peak.ConnectionRate = max(e.peak.ConnectionRate, c.ConnectionRate)
	fmt.Fprintf(e.out, "  line %-6d %s  %-10s %s\n", line, c.Prefix, c.To, c.cause())
	if c.To == Calm {
		fmt.Fprintf(e.out, "  maximum at state changes: %d requests/s, %d%% retries, %d connections/s\n",
			e.peak.RequestRate, e.peak.RetryPercent, e.peak.ConnectionRate)
	}
}

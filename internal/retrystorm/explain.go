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

// Bounds of a log that is read.
const (
	maxLineBytes = 64 << 10
	maxChanges   = 100_000
)

// ErrNoStorm says that a log has no change of state.
var ErrNoStorm = errors.New("no line of the log tells of a storm")

// LoggedChange is a change of state as it stands in a log.
type LoggedChange struct {
	Prefix string // what stands in front of the line, such as the time
	Change
}

// changeLine matches the log line of a change; its parts are the prefix and the fields.
var changeLine = regexp.MustCompile(`^(.*?)level=[A-Z]+ msg="` + ChangeMessage + `" (.*?)\s*$`)

// sentence matches the log line of releases up to ea855d0, which had no fields.
var sentence = regexp.MustCompile(`^(.*?)storm: (calm|rising|storm|recovering) -> (calm|rising|storm|recovering): ` +
	`asked (\d+)/s, retries (\d+)%, unserved (\d+)%, caches away (\d+)%, connections (\d+)/s, fresh (\d+)%; ` +
	`bounds: retries ([\d.]+), waits up to (\S+)\s*$`)

// sentenceKeys are the fields that the parts of a sentence stand for, in their order.
var sentenceKeys = [...]string{keyFrom, keyTo, keyRequestRate, keyRetries, keyUnserved, keyOutage, keyConnectionRate,
	keyFirstRequests, keyRetryBudgetFraction, keyRetryAfterJitter}

// ParseChange reads a line of a log, of this release or an earlier one. It reports false for a line that is no change of
// state.
func ParseChange(line string) (LoggedChange, bool) {
	fields := map[string]string{}
	var prefix string
	if parts := changeLine.FindStringSubmatch(line); parts != nil {
		prefix = parts[1]
		for _, field := range strings.Fields(parts[2]) {
			key, value, _ := strings.Cut(field, "=")
			fields[key] = value
		}
	} else if parts := sentence.FindStringSubmatch(line); parts != nil {
		prefix = parts[1]
		for i, key := range sentenceKeys {
			fields[key] = parts[2+i]
		}
	} else {
		return LoggedChange{}, false
	}
	change, err := changeOf(fields)
	return LoggedChange{Prefix: strings.TrimSpace(prefix), Change: change}, err == nil
}

// changeOf reads the fields of a change.
func changeOf(fields map[string]string) (Change, error) {
	var c Change
	var errs [len(sentenceKeys)]error
	c.From, errs[0] = parseState(fields[keyFrom])
	c.To, errs[1] = parseState(fields[keyTo])
	c.RequestRate, errs[2] = strconv.Atoi(fields[keyRequestRate])
	c.RetryPercent, errs[3] = strconv.Atoi(fields[keyRetries])
	c.UnservedPercent, errs[4] = strconv.Atoi(fields[keyUnserved])
	c.OutagePercent, errs[5] = strconv.Atoi(fields[keyOutage])
	c.ConnectionRate, errs[6] = strconv.Atoi(fields[keyConnectionRate])
	c.FirstRequestPercent, errs[7] = strconv.Atoi(fields[keyFirstRequests])
	c.RetryBudgetFraction, errs[8] = parseFraction(fields[keyRetryBudgetFraction])
	c.RetryAfterJitter, errs[9] = time.ParseDuration(fields[keyRetryAfterJitter])
	return c, errors.Join(errs[:]...)
}

func parseFraction(text string) (float64, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err == nil && math.IsNaN(v) {
		return 0, fmt.Errorf("%q is no number", text)
	}
	return v, err
}

func parseState(name string) (State, error) {
	for s := range states {
		if s.String() == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("no state is named %q", name)
}

// cause describes what led to a change, with the defaults of the configuration.
func (c Change) cause() string {
	switch {
	case c.To == Calm && c.From == Rising:
		return "it was none: few of what was asked came back"
	case c.To == Calm:
		return "the bounds are what they were"
	case c.To == Recovering:
		return fmt.Sprintf("retries fell to %d%%; the bounds rise again", c.RetryPercent)
	case float64(c.OutagePercent) >= 100*Default().EnterOutage:
		return fmt.Sprintf("%d%% of attempts met no cache", c.OutagePercent)
	}
	return fmt.Sprintf("%d%% of %d requests a second were retries, %d%% got nothing", c.RetryPercent, c.RequestRate, c.UnservedPercent)
}

// Explain reads a router's log and describes the storms in it. It returns ErrNoStorm for a log without any.
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
		return fmt.Errorf("the log can't be read: %w", err)
	}
	if e.changes == 0 {
		return ErrNoStorm
	}
	return nil
}

// explainer describes changes one after another.
type explainer struct {
	out     io.Writer
	changes int
	storms  int
	peak    Change // the maximum figures of the present storm's changes
}

// add describes a change that stands in a line of the log.
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
		fmt.Fprintf(e.out, "  at its changes: at most %d asked/s, %d%% retries, %d connections/s\n",
			e.peak.RequestRate, e.peak.RetryPercent, e.peak.ConnectionRate)
	}
}

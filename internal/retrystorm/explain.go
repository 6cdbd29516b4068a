package retrystorm

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Bounds of a log that is read.
const (
	mostLine    = 64 << 10
	mostChanges = 100_000
)

// ErrNoStorm says that a log tells of no storm.
var ErrNoStorm = errors.New("no line of the log tells of a storm")

// Change is one change of state as the log has it.
type Change struct {
	Line                           int
	Stamp                          string // what stands before, such as the time
	From, To                       string
	Asked, Conns                   float64 // a second
	Retries, Unserved, Outage, New float64 // shares in percent
	Budget                         float64
	Wait                           string
}

var changeForm = regexp.MustCompile(`^(.*?)storm: (calm|rising|storm|recovering) -> (calm|rising|storm|recovering): ` +
	`asked (\d+)/s, retries (\d+)%, unserved (\d+)%, caches away (\d+)%, connections (\d+)/s, fresh (\d+)%; ` +
	`bounds: retries ([\d.]+), waits up to (\S+)\s*$`)

// ParseChange reads a line of the log. ok is false where it tells of no storm.
func ParseChange(line string) (c Change, ok bool) {
	m := changeForm.FindStringSubmatch(line)
	if m == nil {
		return c, false
	}
	c = Change{Stamp: strings.TrimSpace(m[1]), From: m[2], To: m[3], Wait: m[11]}
	for i, to := range []*float64{&c.Asked, &c.Retries, &c.Unserved, &c.Outage, &c.Conns, &c.New, &c.Budget} {
		v, err := strconv.ParseFloat(m[4+i], 64)
		if err != nil {
			return c, false
		}
		*to = v
	}
	return c, true
}

// cause words what led to a change.
func (c Change) cause(d Config) string {
	switch {
	case c.To == "calm" && c.From == "rising":
		return "it was none: few of what was asked came back"
	case c.To == "calm":
		return "the bounds are what they were"
	case c.To == "recovering":
		return fmt.Sprintf("retries fell to %.0f%%; the bounds rise again", c.Retries)
	case c.Outage >= 100*d.EnterOutage:
		return fmt.Sprintf("%.0f%% of attempts met no cache", c.Outage)
	}
	return fmt.Sprintf("%.0f%% of %.0f requests a second were retries, %.0f%% got nothing", c.Retries, c.Asked, c.Unserved)
}

// Explain reads a router's log and tells in plain words which storms it went through.
func Explain(log io.Reader, out io.Writer) error {
	in := bufio.NewScanner(log)
	in.Buffer(make([]byte, 4096), mostLine)
	d := Default()
	storms, changes, peak := 0, 0, Change{}
	for n := 1; in.Scan(); n++ {
		c, ok := ParseChange(in.Text())
		if !ok {
			continue
		}
		if changes++; changes > mostChanges {
			return fmt.Errorf("line %d: more than %d changes", n, mostChanges)
		}
		if c.From == "calm" {
			storms++
			peak = Change{}
			fmt.Fprintf(out, "storm %d\n", storms)
		}
		peak.Asked, peak.Retries = max(peak.Asked, c.Asked), max(peak.Retries, c.Retries)
		peak.Conns = max(peak.Conns, c.Conns)
		fmt.Fprintf(out, "  line %-6d %s  %-10s %s\n", n, c.Stamp, c.To, c.cause(d))
		if c.To == "calm" {
			fmt.Fprintf(out, "  at its changes: at most %.0f asked/s, %.0f%% retries, %.0f connections/s\n", peak.Asked,
				peak.Retries, peak.Conns)
		}
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("the log can't be read: %w", err)
	}
	if changes == 0 {
		return ErrNoStorm
	}
	return nil
}

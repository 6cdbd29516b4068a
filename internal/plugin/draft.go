package plugin

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Draft builds and validates a verdict. Every engine builds verdicts with a Draft, so all engines accept the same verdicts
// with the same bounds. The error of each method is a *Failure with the reason why the hook failed.
type Draft struct {
	Budget       Budget
	Point        Point
	verdict      *Verdict
	droppedLines int // the number of log lines beyond the budget
}

// Begin resets v and starts building the verdict of a call at point p in v.
func (d *Draft) Begin(p Point, v *Verdict) {
	v.Reset()
	d.Point, d.verdict, d.droppedLines = p, v, 0
}

// Reset empties v and retains the capacity of its slices.
func (v *Verdict) Reset() {
	clear(v.Tags)
	clear(v.Log)
	*v = Verdict{Tags: v.Tags[:0], Log: v.Log[:0]}
}

// Log adds a log line. Lines beyond the budget are truncated or dropped, because one call could otherwise fill the router's
// memory and log. Excessive logging is not a failure of the hook.
func (d *Draft) Log(line string) {
	lines := min(d.Budget.LogLines, MaxLogLines)
	if len(d.verdict.Log) >= lines {
		d.droppedLines++
		return
	}
	d.verdict.Log = append(d.verdict.Log, SanitizeText(line, min(d.Budget.LogLineSize, MaxLogLine)))
}

// AddTag adds a tag to the request. A repeated tag has no effect.
func (d *Draft) AddTag(name string) error {
	if err := d.requireVerdictPoint("tag"); err != nil {
		return err
	}
	if !isName(name, MaxTag) {
		return invalidVerdict("invalid tag (%q, wanted 1 to %d of letters, digits, _ - . : and /)", excerpt(name), MaxTag)
	}
	for _, t := range d.verdict.Tags {
		if t == name {
			return nil
		}
	}
	if len(d.verdict.Tags) == MaxTags {
		return invalidVerdict("more than %d tags", MaxTags)
	}
	d.verdict.Tags = append(d.verdict.Tags, strings.Clone(name))
	return nil
}

// SetTenant attributes the request to another tenant.
func (d *Draft) SetTenant(name string) error {
	if err := d.requireVerdictPoint("tenant"); err != nil {
		return err
	}
	if !isName(name, MaxText) {
		return invalidVerdict("invalid tenant (%q, wanted 1 to %d of letters, digits, _ - . : and /)", excerpt(name), MaxText)
	}
	d.verdict.Tenant = strings.Clone(name)
	return nil
}

// SetText sets the text of the answer for the decision Fail.
func (d *Draft) SetText(text string) error {
	if err := d.requireVerdictPoint("text"); err != nil {
		return err
	}
	if len(text) > MaxText {
		return invalidVerdict("a text of %d bytes (wanted at most %d)", len(text), MaxText)
	}
	d.verdict.Text = SanitizeText(text, MaxText)
	return nil
}

// SetRetryAfter sets the delay that a rejected client is asked to wait before a retry.
func (d *Draft) SetRetryAfter(t Time) error {
	if err := d.requireVerdictPoint("wait"); err != nil {
		return err
	}
	if t < 0 || t > MaxRetryAfter {
		return invalidVerdict("a wait of %d ms (wanted 0 to %d)", t/1000, MaxRetryAfter/1000)
	}
	d.verdict.RetryAfter = t
	return nil
}

// Finish sets the decision from its number in the contract and completes the verdict. RetryAfter is retained only for Reject,
// and Text only for Fail.
func (d *Draft) Finish(decision int64) error {
	if decision < 0 || decision >= int64(decisions) {
		return invalidVerdict("decision %d (wanted 0, 1 or 2)", decision)
	}
	d.verdict.Decision = Decision(decision)
	if d.Point != OnRequest && d.verdict.Decision != Pass {
		return invalidVerdict("%s at the point %s, which has no verdict", d.verdict.Decision, d.Point)
	}
	if d.verdict.Decision != Reject {
		d.verdict.RetryAfter = 0
	}
	if d.verdict.Decision != Fail {
		d.verdict.Text = ""
	}
	d.reportDroppedLines()
	return nil
}

// Discard empties the verdict of a failed call except for its log lines.
func (d *Draft) Discard() {
	d.reportDroppedLines()
	clear(d.verdict.Tags)
	*d.verdict = Verdict{Tags: d.verdict.Tags[:0], Log: d.verdict.Log}
}

// reportDroppedLines replaces the last log line by the number of dropped lines, which includes the replaced line.
func (d *Draft) reportDroppedLines() {
	if d.droppedLines > 0 && len(d.verdict.Log) > 0 {
		d.verdict.Log[len(d.verdict.Log)-1] = fmt.Sprintf("(%d more lines dropped)", d.droppedLines+1)
	}
	d.droppedLines = 0
}

// requireVerdictPoint returns an error at a point that has no verdict.
func (d *Draft) requireVerdictPoint(operation string) error {
	if d.Point != OnRequest {
		return invalidVerdict("%s at the point %s, which has no verdict", operation, d.Point)
	}
	return nil
}

// invalidVerdict returns the failure of a hook whose verdict violates the contract.
func invalidVerdict(format string, args ...any) error {
	return &Failure{InvalidVerdict, fmt.Sprintf(format, args...)}
}

// SanitizeText returns text truncated to limit bytes at a character boundary. Line separators, terminal control characters and
// invalid UTF-8 are replaced by question marks.
func SanitizeText(text string, limit int) string {
	if len(text) > limit {
		cut := limit
		for cut > 0 && !utf8.RuneStart(text[cut]) {
			cut--
		}
		text = text[:cut]
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 || r == utf8.RuneError || r == '\u2028' || r == '\u2029' {
			return '?'
		}
		return r
	}, strings.Clone(text))
}

// maxExcerpt bounds the bytes of a hook's text in a failure.
const maxExcerpt = 40

// excerpt returns the beginning of a text for use in a failure.
func excerpt(text string) string { return SanitizeText(text, maxExcerpt) }

// isName reports whether a text is a valid name of at most limit bytes for logs, counts and arguments of commands.
func isName(text string, limit int) bool {
	if len(text) == 0 || len(text) > limit {
		return false
	}
	for i := range len(text) {
		c := text[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '_', c == '-', c == '.', c == ':', c == '/':
		default:
			return false
		}
	}
	return true
}

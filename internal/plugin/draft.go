package plugin

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Draft is a verdict while a hook makes it. Engines have hooks write into a Draft alone, so that what is a verdict, and
// what is too much, is the same in all of them. Each method's error is the reason why the hook has failed.
type Draft struct {
	Budget       Budget
	Point        Point
	verdict      *Verdict
	droppedLines int // lines that were dropped
}

// Begin empties v and drafts into it. Its room is used again.
func (d *Draft) Begin(p Point, v *Verdict) {
	v.Reset()
	d.Point, d.verdict, d.droppedLines = p, v, 0
}

// Reset empties v and keeps its room.
func (v *Verdict) Reset() {
	clear(v.Tags)
	clear(v.Log)
	*v = Verdict{Tags: v.Tags[:0], Log: v.Log[:0]}
}

// Log takes a line. What is beyond the budget is cut off or dropped: a hook that logs too much has not failed.
//
// The danger: the lines of one call, a megabyte long or ten thousand of them, would fill the router's memory and log.
func (d *Draft) Log(line string) {
	lines := min(d.Budget.LogLines, MaxLogLines)
	if len(d.verdict.Log) >= lines {
		d.droppedLines++
		return
	}
	d.verdict.Log = append(d.verdict.Log, Plain(line, min(d.Budget.LogLineSize, MaxLogLine)))
}

// AddTag takes a name of the hook's own. Naming it twice is naming it once.
func (d *Draft) AddTag(name string) error {
	if err := d.requireVerdictPoint("tag"); err != nil {
		return err
	}
	if !isName(name, MaxTag) {
		return invalidVerdict("a tag is no name (%q, wanted 1 to %d of letters, digits, _ - . : and /)", excerpt(name), MaxTag)
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

// SetTenant has the request count as another tenant's.
func (d *Draft) SetTenant(name string) error {
	if err := d.requireVerdictPoint("tenant"); err != nil {
		return err
	}
	if !isName(name, MaxText) {
		return invalidVerdict("a tenant is no name (%q, wanted 1 to %d of letters, digits, _ - . : and /)", excerpt(name), MaxText)
	}
	d.verdict.Tenant = strings.Clone(name)
	return nil
}

// SetText says what a client is told where the request fails.
func (d *Draft) SetText(text string) error {
	if err := d.requireVerdictPoint("text"); err != nil {
		return err
	}
	if len(text) > MaxText {
		return invalidVerdict("a text of %d bytes (wanted at most %d)", len(text), MaxText)
	}
	d.verdict.Text = Plain(text, MaxText)
	return nil
}

// SetRetryAfter says for how long a client that is refused is to stay away.
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

// Finish takes the verdict itself, as a number of the contract.
func (d *Draft) Finish(say int64) error {
	if say < 0 || say >= int64(decisions) {
		return invalidVerdict("the number %d (wanted 0, 1 or 2)", say)
	}
	d.verdict.Decision = Decision(say)
	if d.Point != OnRequest && d.verdict.Decision != Pass {
		return invalidVerdict("%s at the point %s, which only looks", d.verdict.Decision, d.Point)
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

// Discard empties the verdict but for its lines: a hook that has failed has said nothing.
func (d *Draft) Discard() {
	d.reportDroppedLines()
	clear(d.verdict.Tags)
	*d.verdict = Verdict{Tags: d.verdict.Tags[:0], Log: d.verdict.Log}
}

// reportDroppedLines has the last line say how many more there were.
func (d *Draft) reportDroppedLines() {
	if d.droppedLines > 0 && len(d.verdict.Log) > 0 {
		d.verdict.Log[len(d.verdict.Log)-1] = fmt.Sprintf("(%d more lines dropped)", d.droppedLines+1)
	}
	d.droppedLines = 0
}

func (d *Draft) requireVerdictPoint(what string) error {
	if d.Point != OnRequest {
		return invalidVerdict("%s at the point %s, which only looks", what, d.Point)
	}
	return nil
}

func invalidVerdict(format string, args ...any) error {
	return &Failure{InvalidVerdict, fmt.Sprintf(format, args...)}
}

// Plain is a text cut to so many bytes, in one line and without what a terminal would obey.
func Plain(text string, most int) string {
	if len(text) > most {
		cut := most
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

func excerpt(text string) string { return Plain(text, 40) }

// isName reports whether a text is fit to stand in logs, in counts and in an argument of a command.
func isName(text string, most int) bool {
	if len(text) == 0 || len(text) > most {
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

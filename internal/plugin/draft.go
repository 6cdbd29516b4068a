package plugin

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Draft is a verdict while a hook makes it. Engines have hooks write into a Draft alone, so that what is a verdict, and
// what is too much, is the same in all of them. Each method's error is the reason why the hook has failed.
type Draft struct {
	Budget Budget
	Point  Point
	v      *Verdict
	more   int // lines that were dropped
}

// Begin empties v and drafts into it. Its room is used again.
func (d *Draft) Begin(p Point, v *Verdict) {
	v.Reset()
	d.Point, d.v, d.more = p, v, 0
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
	lines := min(d.Budget.Lines, MostLines)
	if len(d.v.Log) >= lines {
		d.more++
		return
	}
	d.v.Log = append(d.v.Log, Plain(line, min(d.Budget.LineSize, MostLine)))
}

// Tag takes a name of the hook's own. Naming it twice is naming it once.
func (d *Draft) Tag(name string) error {
	if err := d.judging("tag"); err != nil {
		return err
	}
	if !isName(name, MostTag) {
		return wordless("a tag is no name (%q, wanted 1 to %d of letters, digits, _ - . : and /)", short(name), MostTag)
	}
	for _, t := range d.v.Tags {
		if t == name {
			return nil
		}
	}
	if len(d.v.Tags) == MostTags {
		return wordless("more than %d tags", MostTags)
	}
	d.v.Tags = append(d.v.Tags, strings.Clone(name))
	return nil
}

// Tenant has the request count as another tenant's.
func (d *Draft) Tenant(name string) error {
	if err := d.judging("tenant"); err != nil {
		return err
	}
	if !isName(name, MostText) {
		return wordless("a tenant is no name (%q, wanted 1 to %d of letters, digits, _ - . : and /)", short(name), MostText)
	}
	d.v.Tenant = strings.Clone(name)
	return nil
}

// Text says what a client is told where the request fails.
func (d *Draft) Text(text string) error {
	if err := d.judging("text"); err != nil {
		return err
	}
	if len(text) > MostText {
		return wordless("a text of %d bytes (wanted at most %d)", len(text), MostText)
	}
	d.v.Text = Plain(text, MostText)
	return nil
}

// Wait says for how long a client that is refused is to stay away.
func (d *Draft) Wait(t Time) error {
	if err := d.judging("wait"); err != nil {
		return err
	}
	if t < 0 || t > MostWait {
		return wordless("a wait of %d ms (wanted 0 to %d)", t/1000, MostWait/1000)
	}
	d.v.Wait = t
	return nil
}

// End takes the verdict itself, as a number of the contract.
func (d *Draft) End(say int64) error {
	if say < 0 || say >= int64(says) {
		return wordless("the number %d (wanted 0, 1 or 2)", say)
	}
	d.v.Say = Say(say)
	if d.Point != OnRequest && d.v.Say != Pass {
		return wordless("%s at the point %s, which only looks", d.v.Say, d.Point)
	}
	if d.v.Say != Refuse {
		d.v.Wait = 0
	}
	if d.v.Say != Fail {
		d.v.Text = ""
	}
	d.close()
	return nil
}

// Broken empties the verdict but for its lines: a hook that has failed has said nothing.
func (d *Draft) Broken() {
	d.close()
	clear(d.v.Tags)
	*d.v = Verdict{Tags: d.v.Tags[:0], Log: d.v.Log}
}

// close has the last line say how many more there were.
func (d *Draft) close() {
	if d.more > 0 && len(d.v.Log) > 0 {
		d.v.Log[len(d.v.Log)-1] = fmt.Sprintf("(%d more lines dropped)", d.more+1)
	}
	d.more = 0
}

func (d *Draft) judging(what string) error {
	if d.Point != OnRequest {
		return wordless("%s at the point %s, which only looks", what, d.Point)
	}
	return nil
}

func wordless(format string, args ...any) error {
	return &Failure{Wordless, fmt.Sprintf(format, args...)}
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

func short(text string) string { return Plain(text, 40) }

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

package plugin

import (
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

func draft(p Point) (*Draft, *Verdict) {
	v := &Verdict{}
	d := &Draft{Budget: DefaultBudget}
	d.Begin(p, v)
	return d, v
}

func TestDraftRejectsInvalidVerdicts(t *testing.T) {
	long := strings.Repeat("x", MaxText+1)
	for what, f := range map[string]func(*Draft) error{ // any order
		"an empty tag":       func(d *Draft) error { return d.AddTag("") },
		"a long tag":         func(d *Draft) error { return d.AddTag(long[:MaxTag+1]) },
		"a tag with a line":  func(d *Draft) error { return d.AddTag("a\nb") },
		"an empty tenant":    func(d *Draft) error { return d.SetTenant("") },
		"a long tenant":      func(d *Draft) error { return d.SetTenant(long) },
		"a long text":        func(d *Draft) error { return d.SetText(long) },
		"a long wait":        func(d *Draft) error { return d.SetRetryAfter(MaxRetryAfter + 1) },
		"a wait below 0":     func(d *Draft) error { return d.SetRetryAfter(-1) },
		"a verdict below 0":  func(d *Draft) error { return d.Finish(-1) },
		"an unknown verdict": func(d *Draft) error { return d.Finish(3) },
	} {
		d, _ := draft(OnRequest)
		if err := f(d); err == nil {
			t.Errorf("%s: got no error", what)
		}
	}
	for _, p := range []Point{Load, Answered, ListChanged, Unload} {
		d, _ := draft(p)
		for what, err := range map[string]error{ // any order
			"tag": d.AddTag("a"), "tenant": d.SetTenant("a"), "text": d.SetText("a"), "wait": d.SetRetryAfter(1), "end": d.Finish(1),
		} {
			if err == nil {
				t.Errorf("%s at the point %s: got no error", what, p)
			}
		}
	}
}

func TestDraftFinishClearsUnusedFields(t *testing.T) {
	d, v := draft(OnRequest)
	d.SetRetryAfter(5)
	d.SetText("why")
	if err := d.Finish(int64(Pass)); err != nil || v.RetryAfter != 0 || v.Text != "" {
		t.Errorf("%+v, %v", v, err)
	}
}

func TestDraftDiscardRetainsLogLines(t *testing.T) {
	d, v := draft(OnRequest)
	d.AddTag("a")
	d.SetTenant("b")
	d.Log("line")
	d.Discard()
	if len(v.Tags) > 0 || v.Tenant != "" || !slices.Equal(v.Log, []string{"line"}) {
		t.Errorf("%+v", v)
	}
	d.Begin(OnRequest, v)
	if len(v.Log) > 0 {
		t.Errorf("the next draft begins with the log lines %q", v.Log)
	}
}

func TestPlainReplacesControlCharacters(t *testing.T) {
	for text, want := range map[string]string{ // any order
		"a\r\nb\x1b[2J\x00": "a??b?[2J?", "Öé": "Öé", "\xff\xfe": "??", "a\u2028b\u0085": "a?b?",
	} {
		if got := SanitizeText(text, 100); got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
	if got := SanitizeText("ÖÖÖ", 5); got != "ÖÖ" {
		t.Errorf("truncated to %q, want two characters", got)
	}
}

func FuzzPlain(f *testing.F) {
	f.Add("a\u2028\xffb", 3)
	f.Fuzz(func(t *testing.T, text string, most int) {
		if most < 0 || most > 1000 {
			return
		}
		got := SanitizeText(text, most)
		if !utf8.ValidString(got) || strings.ContainsAny(got, "\r\n\x1b\x00") || len(got) > 3*most {
			t.Errorf("%q", got)
		}
	})
}

func TestInterruptGuardReachesRunningCallOnly(t *testing.T) {
	var g InterruptGuard
	stopped := 0
	stop := func() { stopped++ }
	g.Interrupt()
	g.Begin(stop)
	if g.End() || stopped != 0 {
		t.Error("an interrupt before the call reached the call")
	}
	g.Begin(stop)
	g.Interrupt()
	g.Interrupt()
	if !g.End() || stopped != 1 {
		t.Errorf("stopped %d times, want an interrupted call that is stopped once", stopped)
	}
	g.Interrupt()
	g.Begin(stop)
	if g.End() || stopped != 1 {
		t.Error("an interrupt between calls reached the next call")
	}
}

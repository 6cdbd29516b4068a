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
		"an empty tag":      func(d *Draft) error { return d.AddTag("") },
		"a long tag":        func(d *Draft) error { return d.AddTag(long[:MaxTag+1]) },
		"a tag with a line": func(d *Draft) error { return d.AddTag("a\nb") },
		"an empty tenant":   func(d *Draft) error { return d.SetTenant("") },
		"a long tenant":     func(d *Draft) error { return d.SetTenant(long) },
		"a long text":       func(d *Draft) error { return d.SetText(long) },
		"a long wait":       func(d *Draft) error { return d.SetRetryAfter(MaxRetryAfter + 1) },
		"a wait below 0":    func(d *Draft) error { return d.SetRetryAfter(-1) },
		"a verdict below 0": func(d *Draft) error { return d.Finish(-1) },
		"an unknown one":    func(d *Draft) error { return d.Finish(3) },
	} {
		d, _ := draft(OnRequest)
		if err := f(d); err == nil {
			t.Errorf("%s is taken", what)
		}
	}
	for _, p := range []Point{Load, Answered, ListChanged, Unload} {
		d, _ := draft(p)
		for what, err := range map[string]error{ // any order
			"tag": d.AddTag("a"), "tenant": d.SetTenant("a"), "text": d.SetText("a"), "wait": d.SetRetryAfter(1), "end": d.Finish(1),
		} {
			if err == nil {
				t.Errorf("%s is taken at the point %s", what, p)
			}
		}
	}
}

func TestDraftFinishDropsWhatDecisionDoesNotUse(t *testing.T) {
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
		t.Errorf("the next one begins with %q", v.Log)
	}
}

func TestPlainReplacesControlCharacters(t *testing.T) {
	for text, want := range map[string]string{ // any order
		"a\r\nb\x1b[2J\x00": "a??b?[2J?", "Öé": "Öé", "\xff\xfe": "??", "a\u2028b\u0085": "a?b?",
	} {
		if got := Plain(text, 100); got != want {
			t.Errorf("%q became %q", text, got)
		}
	}
	if got := Plain("ÖÖÖ", 5); got != "ÖÖ" {
		t.Errorf("cut to %q", got)
	}
}

func FuzzPlain(f *testing.F) {
	f.Add("a\u2028\xffb", 3)
	f.Fuzz(func(t *testing.T, text string, most int) {
		if most < 0 || most > 1000 {
			return
		}
		got := Plain(text, most)
		if !utf8.ValidString(got) || strings.ContainsAny(got, "\r\n\x1b\x00") || len(got) > 3*most {
			t.Errorf("%q", got)
		}
	})
}

func TestInterruptGuardReachesRunningCallOnly(t *testing.T) {
	var w InterruptGuard
	stopped := 0
	stop := func() { stopped++ }
	w.Interrupt()
	w.Begin(stop)
	if w.End() || stopped != 0 {
		t.Error("an interrupt from before has reached it")
	}
	w.Begin(stop)
	w.Interrupt()
	w.Interrupt()
	if !w.End() || stopped != 1 {
		t.Errorf("stopped %d times", stopped)
	}
	w.Interrupt()
	w.Begin(stop)
	if w.End() || stopped != 1 {
		t.Error("an interrupt from before has reached it")
	}
}

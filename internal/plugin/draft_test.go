package plugin

import (
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

func draft(p Point) (*Draft, *Verdict) {
	v := &Verdict{}
	d := &Draft{Budget: Usual}
	d.Begin(p, v)
	return d, v
}

func TestADraftTakesNoMoreThanAVerdictHolds(t *testing.T) {
	long := strings.Repeat("x", MostText+1)
	for what, f := range map[string]func(*Draft) error{ // any order
		"an empty tag":      func(d *Draft) error { return d.Tag("") },
		"a long tag":        func(d *Draft) error { return d.Tag(long[:MostTag+1]) },
		"a tag with a line": func(d *Draft) error { return d.Tag("a\nb") },
		"an empty tenant":   func(d *Draft) error { return d.Tenant("") },
		"a long tenant":     func(d *Draft) error { return d.Tenant(long) },
		"a long text":       func(d *Draft) error { return d.Text(long) },
		"a long wait":       func(d *Draft) error { return d.Wait(MostWait + 1) },
		"a wait below 0":    func(d *Draft) error { return d.Wait(-1) },
		"a verdict below 0": func(d *Draft) error { return d.End(-1) },
		"an unknown one":    func(d *Draft) error { return d.End(3) },
	} {
		d, _ := draft(OnRequest)
		if err := f(d); err == nil {
			t.Errorf("%s is taken", what)
		}
	}
	for _, p := range []Point{Load, Answered, ListChanged, Unload} {
		d, _ := draft(p)
		for what, err := range map[string]error{ // any order
			"tag": d.Tag("a"), "tenant": d.Tenant("a"), "text": d.Text("a"), "wait": d.Wait(1), "end": d.End(1),
		} {
			if err == nil {
				t.Errorf("%s is taken at the point %s", what, p)
			}
		}
	}
}

func TestWhatIsNotSaidWithAVerdictIsNotInIt(t *testing.T) {
	d, v := draft(OnRequest)
	d.Wait(5)
	d.Text("why")
	if err := d.End(int64(Pass)); err != nil || v.Wait != 0 || v.Text != "" {
		t.Errorf("%+v, %v", v, err)
	}
}

func TestABrokenDraftKeepsItsLinesAlone(t *testing.T) {
	d, v := draft(OnRequest)
	d.Tag("a")
	d.Tenant("b")
	d.Log("line")
	d.Broken()
	if len(v.Tags) > 0 || v.Tenant != "" || !slices.Equal(v.Log, []string{"line"}) {
		t.Errorf("%+v", v)
	}
	d.Begin(OnRequest, v)
	if len(v.Log) > 0 {
		t.Errorf("the next one begins with %q", v.Log)
	}
}

func TestPlainTextIsOneLineThatNoTerminalObeys(t *testing.T) {
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

func TestAnInterruptReachesTheCallThatRunsAndNoOther(t *testing.T) {
	var w Watch
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

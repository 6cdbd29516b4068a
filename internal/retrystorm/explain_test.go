package retrystorm

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// FuzzParseChange checks that any line is either rejected or parsed as a change that is the same after it is logged and parsed
// again.
func FuzzParseChange(f *testing.F) {
	f.Add("2026-05-01 storm: calm -> rising: asked 800/s, retries 45%, unserved 41%, caches away 0%, connections 120/s, " +
		"fresh 10%; bounds: retries 0.55, waits up to 250ms")
	f.Add("storm: storm -> calm:")
	f.Add("2026-05-01 " + logLine(Change{From: Calm, To: Rising, RequestRate: 800, RetryPercent: 45, RetryBudgetFraction: 0.55}))
	f.Fuzz(func(t *testing.T, line string) {
		c, ok := ParseChange(line)
		if !ok {
			return
		}
		if c.From >= stateCount || c.To >= stateCount {
			t.Fatalf("%q: got %+v with an unknown state", line, c)
		}
		if again, ok := ParseChange(logLine(c.Change)); !ok || again.Change != c.Change {
			t.Fatalf("%q: got %+v, and after logging and parsing again %+v", line, c, again)
		}
	})
}

// TestParseChangeReadsBothForms checks that a line of this release and the equivalent line of an earlier release give the same
// change.
func TestParseChangeReadsBothForms(t *testing.T) {
	change := Change{
		From: Calm, To: Rising, RequestRate: 800, RetryPercent: 45, UnservedPercent: 41, OutagePercent: 3, ConnectionRate: 120,
		FirstRequestPercent: 10, RetryBudgetFraction: 0.55, RetryAfterJitter: 250 * time.Millisecond,
	}
	want := LoggedChange{Prefix: "2026/05/01 10:00:00 n0", Change: change}
	for name, line := range map[string]string{
		"fields": "2026/05/01 10:00:00 n0 " + logLine(change),
		"legacy line": "2026/05/01 10:00:00 n0 storm: calm -> rising: asked 800/s, retries 45%, unserved 41%, caches away 3%, " +
			"connections 120/s, fresh 10%; bounds: retries 0.55, waits up to 250ms",
	} {
		if got, ok := ParseChange(line); !ok || got != want {
			t.Errorf("%s: %q: got %+v, %v, want %+v", name, line, got, ok, want)
		}
	}
	for _, line := range []string{
		"", "serving on 127.0.0.1:7000", "storm: calm -> rising", "storm: calm -> odd: asked 800/s",
		`level=WARN msg="retry storm state changed"`, `level=WARN msg="retry storm state changed" from=calm to=odd`,
		`level=WARN msg="retry storm" from=calm to=rising`,
	} {
		if got, ok := ParseChange(line); ok {
			t.Errorf("%q: got %+v, want no change", line, got)
		}
	}
}

// TestExplainDescribesCauses checks a log with one storm among other lines, and a log without a storm.
func TestExplainDescribesCauses(t *testing.T) {
	h := newHarness(t, nil)
	h.run(sec, h.retryingClients(50))
	h.run(10*sec, nil)
	var out strings.Builder
	log := "serving on 127.0.0.1:7000\n"
	for _, change := range h.changes {
		log += "2026/05/01 10:00:00 n0 " + logLine(change) + "\n"
	}
	log += "other line\n"
	if err := Explain(strings.NewReader(log), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"storm 1", "line 2", "were retries", "recovering", "calm", "maximum at state changes"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in the output:\n%s", want, out.String())
		}
	}
	if err := Explain(strings.NewReader("serving\n"), &out); !errors.Is(err, ErrNoStorm) {
		t.Errorf("log without a storm: got error %v, want ErrNoStorm", err)
	}
}

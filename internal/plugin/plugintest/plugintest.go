// Package plugintest holds what every engine of package plugin must do: one suite of tests for all of them. An engine
// brings the hooks that the suite asks for, written in its own way.
package plugintest

import (
	"errors"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"starlingwinch/internal/plugin"
)

// Hooks are the hooks that an engine brings, by name. What a hook does where nothing is said is to pass.
var Hooks = map[string]string{
	"judge": "on_request, by the first byte of the key: R refuses with a wait of 250 ms; F fails with the text " +
		`"no such call"; T tags "club" and "club", and names the tenant "guests"; L logs "seen"`,
	"echo": "on_request fails with a text, by the first byte of the key: v its verb, c its class, t its tenant, k its " +
		"key, V its value, if there is one; s refuses with a wait of as many ms as its size",
	"count":         "on_request counts its calls since the load, and refuses with as many ms of wait; with C it counts and then crashes",
	"crash":         `on_request tags "club" and logs "before", and then crashes`,
	"looks":         `on_answered logs the outcome's first letter (s, r, f); on_list logs "list"; on_load logs nothing`,
	"loop":          "on_request loops for ever where the key begins with L",
	"recurse":       "on_request calls itself for ever, or the like",
	"swell":         "on_request takes memory for ever",
	"wordless":      "on_request gives back what is no verdict",
	"judging look":  "on_answered refuses",
	"tagging look":  `on_answered tags "club"`,
	"long line":     "on_request logs a line of a megabyte",
	"many lines":    "on_request logs 10,000 lines",
	"long tag":      "on_request tags a name of 65 bytes",
	"bad tag":       `on_request tags "a b"`,
	"many tags":     "on_request tags nine names",
	"long wait":     "on_request refuses with a wait of 60,001 ms",
	"load crash":    "on_load crashes",
	"load loop":     "on_load loops for ever",
	"unload crash":  "on_request is there, and on_unload crashes",
	"answer crash":  "on_answered crashes",
	"alien":         "it is of version 2 of the contract",
	"pointless":     "it has no point",
	"versionless":   "it says no version",
	"bad shape":     "its on_request takes no parameter",
	"unknown words": "it uses a word that the contract does not have, such as send",
}

// Run checks an engine.
func Run(t *testing.T, e plugin.Engine, hooks map[string][]byte) {
	for name := range Hooks { // any order
		if hooks[name] == nil {
			t.Errorf("the engine brings no hook %q", name)
		}
	}
	s := suite{e, hooks}
	for _, test := range []struct {
		name string
		f    func(*testing.T, suite)
	}{
		{"SaysWhatTheHookSays", verdicts},
		{"HandsOverAllFields", fields},
		{"HidesTheValueUnlessAsked", hidesValue},
		{"TakesOnlyWhatIsAVerdict", wordless},
		{"CutsTheLog", cutsLog},
		{"LooksOnly", looks},
		{"ForgetsAnInstanceThatCrashed", forgets},
		{"SaysNothingAfterACrash", saysNothing},
		{"EndsWhatRunsWithoutEnd", ends},
		{"RunsOnAfterAnInterrupt", runsOn},
		{"InterruptBetweenCallsDoesNothing", idleInterrupt},
		{"RefusesWhatIsNoHook", refuses},
		{"UnloadCrashIsAnErrorAlone", unload},
		{"LoadsNothingOutOfRubbish", rubbish},
	} {
		t.Run(test.name, func(t *testing.T) { test.f(t, s) })
	}
}

type suite struct {
	engine plugin.Engine
	hooks  map[string][]byte
}

// budget has room for a machine under load: what is tested is that things end, and not how soon.
var budget = plugin.Budget{Time: 250_000, LoadTime: 500_000, Steps: 2_000_000, Depth: 64, Memory: 4 << 20, LogLines: 4, LogLineSize: 40}

func (s suite) load(t *testing.T, name string) *timedHook {
	t.Helper()
	h, err := s.engine.Load(name, s.hooks[name], budget)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	w := &timedHook{Hook: h}
	t.Cleanup(h.Close)
	return w
}

// timedHook is a hook whose calls are interrupted after the budget's time.
type timedHook struct{ plugin.Hook }

func (w *timedHook) call(c plugin.Call) (plugin.Verdict, error) {
	var v plugin.Verdict
	defer time.AfterFunc(time.Duration(budget.Time)*time.Microsecond, w.Interrupt).Stop()
	err := w.Call(&c, &v)
	return v, err
}

func request(key string) plugin.Call {
	return plugin.Call{Point: plugin.OnRequest, Verb: "C.GET", Class: "call-lookup", Tenant: "acme", Key: key, Size: 17, TimeLeft: 480_000}
}

func checkVerdict(t *testing.T, what string, v plugin.Verdict, err error, say plugin.Decision, wait plugin.Time, text string) {
	t.Helper()
	if err != nil || v.Decision != say || v.RetryAfter != wait || v.Text != text {
		t.Errorf("%s: %+v, %v; want %s, wait %d, text %q", what, v, err, say, wait, text)
	}
}

// checkFailure checks the kind of an error, and that its text is fit for a log.
func checkFailure(t *testing.T, what string, err error, kinds ...plugin.FailureKind) {
	t.Helper()
	var f *plugin.Failure
	if !errors.As(err, &f) {
		t.Errorf("%s: %v, want a failure of the kind %v", what, err, kinds)
		return
	}
	found := false
	for _, k := range kinds {
		found = found || f.Kind == k
	}
	if !found {
		t.Errorf("%s: %v, want the kind %v", what, err, kinds)
	}
	if f.Text == "" || len(f.Text) > 400 || strings.ContainsAny(f.Text, "\r\n\x1b\x00") || !utf8.ValidString(f.Text) {
		t.Errorf("%s: the text %q is not fit for a log", what, f.Text)
	}
}

func verdicts(t *testing.T, s suite) {
	h := s.load(t, "judge")
	if !h.Points().Has(plugin.OnRequest) || h.Points().Has(plugin.Answered) {
		t.Errorf("points %b", h.Points())
	}
	for range 3 {
		v, err := h.call(request("P1"))
		checkVerdict(t, "P", v, err, plugin.Pass, 0, "")
		if v.Tenant != "" || len(v.Tags)+len(v.Log) > 0 {
			t.Errorf("a pass says %+v", v)
		}
		v, err = h.call(request("R1"))
		checkVerdict(t, "R", v, err, plugin.Reject, 250_000, "")
		v, err = h.call(request("F1"))
		checkVerdict(t, "F", v, err, plugin.Fail, 0, "no such call")
		v, err = h.call(request("T1"))
		checkVerdict(t, "T", v, err, plugin.Pass, 0, "")
		if v.Tenant != "guests" || len(v.Tags) != 1 || v.Tags[0] != "club" {
			t.Errorf("T says %+v", v)
		}
		v, err = h.call(request("L1"))
		checkVerdict(t, "L", v, err, plugin.Pass, 0, "")
		if len(v.Log) != 1 || v.Log[0] != "seen" {
			t.Errorf("L says %+v", v)
		}
	}
	v, err := h.call(request(""))
	checkVerdict(t, "an empty key", v, err, plugin.Pass, 0, "")
}

func fields(t *testing.T, s suite) {
	h := s.load(t, "echo")
	long := strings.Repeat("x", 200)
	for key, want := range map[string]string{ // any order
		"v": "C.GET", "c": "call-lookup", "t": "acme", "k" + long: "k" + long,
	} {
		v, err := h.call(request(key))
		checkVerdict(t, key, v, err, plugin.Fail, 0, want)
	}
	v, err := h.call(request("s"))
	checkVerdict(t, "s", v, err, plugin.Reject, 17_000, "")
}

func hidesValue(t *testing.T, s suite) {
	h := s.load(t, "echo")
	v, err := h.call(request("V"))
	checkVerdict(t, "without a value", v, err, plugin.Pass, 0, "")
	c := request("V")
	c.Value = []byte("de OE1XYZ 599")
	v, err = h.call(c)
	checkVerdict(t, "with a value", v, err, plugin.Fail, 0, "de OE1XYZ 599")
	v, err = h.call(request("V"))
	checkVerdict(t, "without one, after one that had one", v, err, plugin.Pass, 0, "")
}

func wordless(t *testing.T, s suite) {
	for _, name := range []string{"wordless", "long tag", "bad tag", "many tags", "long wait"} {
		v, err := s.load(t, name).call(request("A"))
		checkFailure(t, name, err, plugin.InvalidVerdict)
		if v.Decision != plugin.Pass || len(v.Tags) > 0 || v.Tenant != "" || v.RetryAfter != 0 {
			t.Errorf("%s: says %+v all the same", name, v)
		}
	}
	for _, name := range []string{"judging look", "tagging look"} {
		_, err := s.load(t, name).call(plugin.Call{Point: plugin.Answered})
		checkFailure(t, name, err, plugin.InvalidVerdict)
	}
}

func cutsLog(t *testing.T, s suite) {
	v, err := s.load(t, "long line").call(request("A"))
	checkVerdict(t, "long line", v, err, plugin.Pass, 0, "")
	if len(v.Log) != 1 || len(v.Log[0]) != budget.LogLineSize {
		t.Errorf("long line: %d lines, %.100q", len(v.Log), v.Log)
	}
	v, err = s.load(t, "many lines").call(request("A"))
	checkVerdict(t, "many lines", v, err, plugin.Pass, 0, "")
	if len(v.Log) != budget.LogLines || v.Log[budget.LogLines-1] != "(9997 more lines dropped)" {
		t.Errorf("many lines: %d lines, %.300q", len(v.Log), v.Log)
	}
}

func looks(t *testing.T, s suite) {
	h := s.load(t, "looks")
	if h.Points().Has(plugin.OnRequest) || !h.Points().Has(plugin.Answered) || !h.Points().Has(plugin.ListChanged) {
		t.Errorf("points %b", h.Points())
	}
	for outcome, want := range []string{"s", "r", "f"} {
		v, err := h.call(plugin.Call{Point: plugin.Answered, Class: "x", Outcome: plugin.Outcome(outcome), Took: 5})
		if err != nil || len(v.Log) != 1 || v.Log[0] != want {
			t.Errorf("outcome %d: %+v, %v", outcome, v, err)
		}
	}
	v, err := h.call(plugin.Call{Point: plugin.ListChanged, Caches: 9, ServingCaches: 8})
	if err != nil || len(v.Log) != 1 || v.Log[0] != "list" {
		t.Errorf("list: %+v, %v", v, err)
	}
	v, err = h.call(request("A"))
	checkVerdict(t, "a point that it does not have", v, err, plugin.Pass, 0, "")
}

func forgets(t *testing.T, s suite) {
	h := s.load(t, "count")
	for i := range plugin.Time(3) {
		v, err := h.call(request("A"))
		checkVerdict(t, "count", v, err, plugin.Reject, (i+1)*1000, "")
	}
	for range 2 {
		_, err := h.call(request("C"))
		checkFailure(t, "C", err, plugin.Crashed)
		v, err := h.call(request("A"))
		checkVerdict(t, "after a crash", v, err, plugin.Reject, 1000, "")
	}
}

func saysNothing(t *testing.T, s suite) {
	v, err := s.load(t, "crash").call(request("A"))
	checkFailure(t, "crash", err, plugin.Crashed)
	if v.Decision != plugin.Pass || len(v.Tags) != 0 || v.Tenant != "" {
		t.Errorf("says %+v", v)
	}
	if len(v.Log) != 1 || v.Log[0] != "before" {
		t.Errorf("its lines are lost: %q", v.Log)
	}
	_, err = s.load(t, "answer crash").call(plugin.Call{Point: plugin.Answered})
	checkFailure(t, "answer crash", err, plugin.Crashed)
}

func ends(t *testing.T, s suite) {
	_, err := s.load(t, "loop").call(request("L"))
	checkFailure(t, "loop", err, plugin.BudgetExceeded)
	_, err = s.load(t, "recurse").call(request("A"))
	checkFailure(t, "recurse", err, plugin.BudgetExceeded, plugin.Crashed)
	_, err = s.load(t, "swell").call(request("A"))
	checkFailure(t, "swell", err, plugin.BudgetExceeded, plugin.Crashed, plugin.MemoryExceeded)
	_, err = s.engine.Load("load loop", s.hooks["load loop"], budget)
	checkFailure(t, "load loop", err, plugin.BudgetExceeded)
}

func runsOn(t *testing.T, s suite) {
	h := s.load(t, "loop")
	for range 2 {
		_, err := h.call(request("L"))
		checkFailure(t, "loop", err, plugin.BudgetExceeded)
		v, err := h.call(request("A"))
		checkVerdict(t, "after an interrupt", v, err, plugin.Pass, 0, "")
	}
}

func idleInterrupt(t *testing.T, s suite) {
	h := s.load(t, "count")
	for i := range plugin.Time(3) {
		h.Interrupt()
		v, err := h.call(request("A"))
		checkVerdict(t, "count", v, err, plugin.Reject, (i+1)*1000, "")
	}
}

func refuses(t *testing.T, s suite) {
	for name, kind := range map[string]plugin.FailureKind{ // any order
		"load crash": plugin.Crashed, "alien": plugin.VersionMismatch, "pointless": plugin.NotLoadable, "versionless": plugin.NotLoadable,
		"bad shape": plugin.NotLoadable, "unknown words": plugin.NotLoadable,
	} {
		h, err := s.engine.Load(name, s.hooks[name], budget)
		checkFailure(t, name, err, kind)
		if h != nil {
			t.Errorf("%s: there is a hook with the error", name)
		}
	}
}

func unload(t *testing.T, s suite) {
	h := s.load(t, "unload crash")
	_, err := h.call(plugin.Call{Point: plugin.Unload})
	checkFailure(t, "unload", err, plugin.Crashed)
}

func rubbish(t *testing.T, s suite) {
	whole := s.hooks["judge"]
	for _, code := range [][]byte{nil, []byte("x"), []byte("\x00asm"), []byte("def def"), whole[:len(whole)/2], whole[:len(whole)-1],
		make([]byte, plugin.MaxCode+1), []byte(strings.Repeat("(", 200_000))} {
		h, err := s.engine.Load("rubbish", code, budget)
		if h != nil {
			h.Close() // half a hook may be one
			continue
		}
		checkFailure(t, "rubbish", err, plugin.NotLoadable)
	}
}

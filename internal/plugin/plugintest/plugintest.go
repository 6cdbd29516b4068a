// Package plugintest is a test suite for the engines of package plugin. Each engine provides the hooks that the suite calls,
// written for that engine.
package plugintest

import (
	"errors"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"starlingwinch/internal/plugin"
)

// Hooks describes the hooks that an engine must provide, by name. In all cases that a description omits, the hook passes the
// request.
var Hooks = map[string]string{
	"verdicts": "on_request, by the first byte of the key: R refuses with a wait of 250 ms; F fails with the text " +
		`"no such call"; T tags "club" twice and sets the tenant "guests"; L logs "seen"`,
	"echo": "on_request fails with a text, by the first byte of the key: v its verb, c its class, t its tenant, k its " +
		"key, V its value, if there is one; s refuses with a wait in ms that equals its size",
	"count":                  "on_request counts its calls since the load, and refuses with that many ms of wait; with C it counts and then crashes",
	"crash":                  `on_request tags "club" and logs "before", and then crashes`,
	"notifications":          `on_answered logs the outcome's first letter (s, r, f); on_list logs "list"; on_load logs nothing`,
	"loop":                   "on_request loops forever where the key begins with L",
	"recurse":                "on_request recurses without end, directly or indirectly",
	"allocate":               "on_request allocates memory without end",
	"invalid decision":       "on_request returns a value that is not a verdict",
	"rejecting notification": "on_answered refuses",
	"tagging notification":   `on_answered tags "club"`,
	"long line":              "on_request logs a line of a megabyte",
	"many lines":             "on_request logs 10,000 lines",
	"long tag":               "on_request tags a name of 65 bytes",
	"bad tag":                `on_request tags "a b"`,
	"many tags":              "on_request tags nine names",
	"long wait":              "on_request refuses with a wait of 60,001 ms",
	"load crash":             "on_load crashes",
	"load loop":              "on_load loops forever",
	"unload crash":           "on_request is defined, and on_unload crashes",
	"answered crash":         "on_answered crashes",
	"other version":          "the hook is built for version 2 of the contract",
	"no point":               "the hook defines no point",
	"no version":             "the hook declares no version",
	"bad signature":          "on_request has no parameter",
	"unknown function":       "the hook uses a function that the contract does not have, such as send",
}

// Run tests an engine with its hooks.
func Run(t *testing.T, e plugin.Engine, hooks map[string][]byte) {
	for name := range Hooks { // any order
		if hooks[name] == nil {
			t.Errorf("the engine does not provide the hook %q", name)
		}
	}
	s := suite{e, hooks}
	for _, test := range []struct {
		name string
		f    func(*testing.T, suite)
	}{
		{"Verdicts", testVerdicts},
		{"AllFields", testFields},
		{"ValueOnlyWhereWanted", testValue},
		{"InvalidVerdicts", testInvalidVerdicts},
		{"LogBounds", testLogBounds},
		{"Notifications", testNotifications},
		{"NewInstanceAfterCrash", testNewInstance},
		{"NoVerdictAfterCrash", testVerdictOfCrash},
		{"EndlessCalls", testEndlessCalls},
		{"CallAfterInterrupt", testCallAfterInterrupt},
		{"InterruptBetweenCalls", testInterruptBetweenCalls},
		{"LoadFailures", testLoadFailures},
		{"UnloadCrash", testUnload},
		{"MalformedFiles", testMalformedFiles},
	} {
		t.Run(test.name, func(t *testing.T) { test.f(t, s) })
	}
}

// suite is an engine with its hooks.
type suite struct {
	engine plugin.Engine
	hooks  map[string][]byte
}

// budget is generous, so that the tests pass on a loaded machine: the suite tests that calls end, not how soon.
var budget = plugin.Budget{Time: 250_000, LoadTime: 500_000, Steps: 2_000_000, Depth: 64, Memory: 4 << 20, LogLines: 4, LogLineSize: 40}

// load loads a hook and closes it at the end of the test.
func (s suite) load(t *testing.T, name string) *timedHook {
	t.Helper()
	h, err := s.engine.Load(name, s.hooks[name], budget)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	timed := &timedHook{Hook: h}
	t.Cleanup(h.Close)
	return timed
}

// timedHook interrupts the calls of a hook after the budget's time, like a worker.
type timedHook struct{ plugin.Hook }

// call calls the hook and returns its verdict.
func (h *timedHook) call(c plugin.Call) (plugin.Verdict, error) {
	var v plugin.Verdict
	defer time.AfterFunc(time.Duration(budget.Time)*time.Microsecond, h.Interrupt).Stop()
	err := h.Call(&c, &v)
	return v, err
}

// request returns a call at OnRequest.
func request(key string) plugin.Call {
	return plugin.Call{Point: plugin.OnRequest, Verb: "C.GET", Class: "call-lookup", Tenant: "acme", Key: key, Size: 17, TimeLeft: 480_000}
}

// checkVerdict checks that a call succeeded with the given verdict.
func checkVerdict(t *testing.T, what string, v plugin.Verdict, err error, decision plugin.Decision, retryAfter plugin.Time, text string) {
	t.Helper()
	if err != nil || v.Decision != decision || v.RetryAfter != retryAfter || v.Text != text {
		t.Errorf("%s: got verdict %+v, error %v; want %s, wait %d, text %q", what, v, err, decision, retryAfter, text)
	}
}

// checkFailure checks that an error is a failure of one of the given kinds with a text that is safe to log.
func checkFailure(t *testing.T, what string, err error, kinds ...plugin.FailureKind) {
	t.Helper()
	var f *plugin.Failure
	if !errors.As(err, &f) {
		t.Errorf("%s: got error %v, want a failure of one of the kinds %v", what, err, kinds)
		return
	}
	found := false
	for _, k := range kinds {
		found = found || f.Kind == k
	}
	if !found {
		t.Errorf("%s: got failure %v, want one of the kinds %v", what, err, kinds)
	}
	if f.Text == "" || len(f.Text) > 400 || strings.ContainsAny(f.Text, "\r\n\x1b\x00") || !utf8.ValidString(f.Text) {
		t.Errorf("%s: the text %q is not safe to log", what, f.Text)
	}
}

// testVerdicts checks the verdicts of OnRequest.
func testVerdicts(t *testing.T, s suite) {
	h := s.load(t, "verdicts")
	if !h.Points().Has(plugin.OnRequest) || h.Points().Has(plugin.Answered) {
		t.Errorf("points %b", h.Points())
	}
	for range 3 {
		v, err := h.call(request("P1"))
		checkVerdict(t, "P", v, err, plugin.Pass, 0, "")
		if v.Tenant != "" || len(v.Tags)+len(v.Log) > 0 {
			t.Errorf("P: got %+v, want an empty verdict", v)
		}
		v, err = h.call(request("R1"))
		checkVerdict(t, "R", v, err, plugin.Reject, 250_000, "")
		v, err = h.call(request("F1"))
		checkVerdict(t, "F", v, err, plugin.Fail, 0, "no such call")
		v, err = h.call(request("T1"))
		checkVerdict(t, "T", v, err, plugin.Pass, 0, "")
		if v.Tenant != "guests" || len(v.Tags) != 1 || v.Tags[0] != "club" {
			t.Errorf("T: got %+v, want the tenant guests and the tag club", v)
		}
		v, err = h.call(request("L1"))
		checkVerdict(t, "L", v, err, plugin.Pass, 0, "")
		if len(v.Log) != 1 || v.Log[0] != "seen" {
			t.Errorf("L: got %+v, want the log line seen", v)
		}
	}
	v, err := h.call(request(""))
	checkVerdict(t, "an empty key", v, err, plugin.Pass, 0, "")
}

// testFields checks the fields of a request that are passed to a hook.
func testFields(t *testing.T, s suite) {
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

// testValue checks that a hook receives a value only if the call has one, also after a call with a value.
func testValue(t *testing.T, s suite) {
	h := s.load(t, "echo")
	v, err := h.call(request("V"))
	checkVerdict(t, "without a value", v, err, plugin.Pass, 0, "")
	c := request("V")
	c.Value = []byte("de OE1XYZ 599")
	v, err = h.call(c)
	checkVerdict(t, "with a value", v, err, plugin.Fail, 0, "de OE1XYZ 599")
	v, err = h.call(request("V"))
	checkVerdict(t, "without a value, after a call with a value", v, err, plugin.Pass, 0, "")
}

// testInvalidVerdicts checks that verdicts that exceed the bounds of the contract are failures.
func testInvalidVerdicts(t *testing.T, s suite) {
	for _, name := range []string{"invalid decision", "long tag", "bad tag", "many tags", "long wait"} {
		v, err := s.load(t, name).call(request("A"))
		checkFailure(t, name, err, plugin.InvalidVerdict)
		if v.Decision != plugin.Pass || len(v.Tags) > 0 || v.Tenant != "" || v.RetryAfter != 0 {
			t.Errorf("%s: got verdict %+v with the failure, want an empty one", name, v)
		}
	}
	for _, name := range []string{"rejecting notification", "tagging notification"} {
		_, err := s.load(t, name).call(plugin.Call{Point: plugin.Answered})
		checkFailure(t, name, err, plugin.InvalidVerdict)
	}
}

// testLogBounds checks that log lines beyond the budget are truncated or dropped.
func testLogBounds(t *testing.T, s suite) {
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

// testNotifications checks the points without a verdict.
func testNotifications(t *testing.T, s suite) {
	h := s.load(t, "notifications")
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
	checkVerdict(t, "a point that the hook does not have", v, err, plugin.Pass, 0, "")
}

// testNewInstance checks that a call after a crash runs in a new instance.
func testNewInstance(t *testing.T, s suite) {
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

// testVerdictOfCrash checks that a crashed call returns its log lines but no verdict.
func testVerdictOfCrash(t *testing.T, s suite) {
	v, err := s.load(t, "crash").call(request("A"))
	checkFailure(t, "crash", err, plugin.Crashed)
	if v.Decision != plugin.Pass || len(v.Tags) != 0 || v.Tenant != "" {
		t.Errorf("got verdict %+v after a crash, want an empty one", v)
	}
	if len(v.Log) != 1 || v.Log[0] != "before" {
		t.Errorf("got log lines %q after a crash, want the line before", v.Log)
	}
	_, err = s.load(t, "answered crash").call(plugin.Call{Point: plugin.Answered})
	checkFailure(t, "answered crash", err, plugin.Crashed)
}

// testEndlessCalls checks that endless loops, recursion and allocation are stopped.
func testEndlessCalls(t *testing.T, s suite) {
	_, err := s.load(t, "loop").call(request("L"))
	checkFailure(t, "loop", err, plugin.BudgetExceeded)
	_, err = s.load(t, "recurse").call(request("A"))
	checkFailure(t, "recurse", err, plugin.BudgetExceeded, plugin.Crashed)
	_, err = s.load(t, "allocate").call(request("A"))
	checkFailure(t, "allocate", err, plugin.BudgetExceeded, plugin.Crashed, plugin.MemoryExceeded)
	_, err = s.engine.Load("load loop", s.hooks["load loop"], budget)
	checkFailure(t, "load loop", err, plugin.BudgetExceeded)
}

// testCallAfterInterrupt checks that a hook handles calls after an interrupt.
func testCallAfterInterrupt(t *testing.T, s suite) {
	h := s.load(t, "loop")
	for range 2 {
		_, err := h.call(request("L"))
		checkFailure(t, "loop", err, plugin.BudgetExceeded)
		v, err := h.call(request("A"))
		checkVerdict(t, "after an interrupt", v, err, plugin.Pass, 0, "")
	}
}

// testInterruptBetweenCalls checks that an interrupt between calls has no effect.
func testInterruptBetweenCalls(t *testing.T, s suite) {
	h := s.load(t, "count")
	for i := range plugin.Time(3) {
		h.Interrupt()
		v, err := h.call(request("A"))
		checkVerdict(t, "count", v, err, plugin.Reject, (i+1)*1000, "")
	}
}

// testLoadFailures checks the kind of failure of each hook that must not load.
func testLoadFailures(t *testing.T, s suite) {
	for name, kind := range map[string]plugin.FailureKind{ // any order
		"load crash": plugin.Crashed, "other version": plugin.VersionMismatch, "no point": plugin.NotLoadable, "no version": plugin.NotLoadable,
		"bad signature": plugin.NotLoadable, "unknown function": plugin.NotLoadable,
	} {
		h, err := s.engine.Load(name, s.hooks[name], budget)
		checkFailure(t, name, err, kind)
		if h != nil {
			t.Errorf("%s: got a hook with the error, want nil", name)
		}
	}
}

// testUnload checks that a crash at Unload is returned as a failure.
func testUnload(t *testing.T, s suite) {
	h := s.load(t, "unload crash")
	_, err := h.call(plugin.Call{Point: plugin.Unload})
	checkFailure(t, "unload", err, plugin.Crashed)
}

// testMalformedFiles checks that malformed files do not load.
func testMalformedFiles(t *testing.T, s suite) {
	whole := s.hooks["verdicts"]
	for _, code := range [][]byte{nil, []byte("x"), []byte("\x00asm"), []byte("def def"), whole[:len(whole)/2], whole[:len(whole)-1],
		make([]byte, plugin.MaxCode+1), []byte(strings.Repeat("(", 200_000))} {
		h, err := s.engine.Load("malformed", code, budget)
		if h != nil {
			h.Close() // a truncated script may be valid
			continue
		}
		checkFailure(t, "malformed", err, plugin.NotLoadable)
	}
}

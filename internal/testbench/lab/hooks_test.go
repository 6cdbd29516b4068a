package lab_test

import (
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/script"
)

func TestScriptedHooksAffectOnlyTheirClass(t *testing.T) {
	for _, c := range []struct {
		kind, text string
		served     bool // whether some requests of the class are served
	}{
		{script.HookRefuse, "", false},
		{script.HookFail, "", false},
		{script.HookHang, "went on beyond its budget", false},
		{script.HookDie, "worker exited", false},
		{script.HookCrash, "crashed", false},
		{script.HookOverrun, "overran its budget", false},
		{script.HookNonsense, "violated its protocol", false},
		{script.HookTwice, "an unexpected reply", true},
		{script.HookLoadCrash, "does not load", false},
		{script.HookLoadHang, "did not load its hook in time", false},
		{script.HookLoadDie, "worker exited", false},
		{script.HookTag, "seen", true},
	} {
		t.Run(c.kind, func(t *testing.T) {
			s := calm(6 * time.Second)
			s.Hooks = []script.Hook{{Kind: c.kind, Class: "call-lookup", OnFailure: script.OnFailureRefuse}}
			logged := false
			r := mustRun(t, s, lab.Options{Node: node.Start, Timeline: func(_ lab.Time, line string) {
				logged = logged || strings.Contains(line, "hook=1-"+c.kind+" ") && strings.Contains(line, c.text)
			}})
			for _, b := range r.Broken {
				t.Error(b)
			}
			if c.text != "" && !logged {
				t.Errorf("%q is missing from the log", c.text)
			}
			for _, k := range r.Counts.Classes {
				switch all := k.Asked > 0 && k.Served+k.Refused+k.Failed == k.Asked; {
				case k.Class != "call-lookup" && k.Served < k.Asked*97/100:
					t.Errorf("class %s without a hook: got %d of %d requests served, want at least 97 %%", k.Class, k.Served, k.Asked)
				case k.Class == "call-lookup" && (!all || k.Served > 0 != c.served):
					t.Errorf("got %+v, want all requests answered, and some served: %v", k, c.served)
				}
			}
		})
	}
}

func TestDrawnHooksBreakNoRuleAndAreDeterministic(t *testing.T) {
	h := lab.Hunt{From: 1, To: 24 / inPart, Length: 4 * time.Second, Jobs: 4, Hooks: true, Options: lab.Options{Node: node.Start}}
	first, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range first.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken)
	}
	h.Jobs = 1
	again, err := h.Run(t.Context())
	if err != nil || again.Trace != first.Trace {
		t.Errorf("error %v, got trace %x, want %x", err, again.Trace, first.Trace)
	}
	h.Hooks = false
	without, err := h.Run(t.Context())
	if err != nil || without.Trace == first.Trace {
		t.Errorf("error %v, got trace %x without hooks, want none equal to %x", err, without.Trace, first.Trace)
	}
}

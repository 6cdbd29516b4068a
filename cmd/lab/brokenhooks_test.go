package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/worker"
)

// strikes are the failures of those that may be played inside of this process, with no bound on its memory.
var strikes = map[string]plugin.FailureKind{
	"loop.star": plugin.BudgetExceeded, "crash.star": plugin.Crashed, "no-verdict.star": plugin.InvalidVerdict,
	"loop.wasm": plugin.BudgetExceeded, "recursion.wasm": plugin.BudgetExceeded, "crash.wasm": plugin.Crashed,
	"memory.wasm": plugin.BudgetExceeded /* refused more, it asks on */, "no-verdict.wasm": plugin.InvalidVerdict,
}

func TestBrokenHooksLoadPassMostKeysAndStrikeAtTheOthers(t *testing.T) {
	for _, b := range brokenHooks() {
		name := b.name + b.ending
		t.Run(name, func(t *testing.T) {
			for _, always := range []bool{true, false} {
				h := loaded(t, b, always)
				defer h.Close()
				ask := func(key string) (plugin.Verdict, error) {
					end := time.AfterFunc(100*time.Millisecond, h.Interrupt)
					defer end.Stop()
					var v plugin.Verdict
					err := h.Call(&plugin.Call{Point: plugin.OnRequest, Class: touched, Key: key}, &v)
					return v, err
				}
				if !always {
					if v, err := ask("key1001"); err != nil || v.Decision != plugin.Pass || len(v.Log) > 0 {
						t.Errorf("a key that it is to pass: %+v, %v", v, err)
					}
				}
				v, err := plugin.Verdict{}, error(nil)
				kind, fails := strikes[name]
				if fails || b.name == "line" {
					v, err = ask("key1200")
				}
				var failure *plugin.Failure
				failed := errors.As(err, &failure)
				if failed != fails || failed && failure.Kind != kind {
					t.Errorf("always %v: %v, wanted %v", always, err, kind)
				}
				if b.name == "line" && (len(v.Log) != 1 || len(v.Log[0]) < 100 || len(v.Log[0]) > plugin.DefaultBudget.LogLineSize) {
					t.Errorf("it logged %q", v.Log)
				}
			}
		})
	}
}

func loaded(t *testing.T, b brokenHook, always bool) plugin.Hook {
	t.Helper()
	for _, e := range worker.Engines {
		if e.FileExtension() != b.ending {
			continue
		}
		h, err := e.Load(b.name, b.code(always), plugin.DefaultBudget)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	t.Fatalf("no engine for %s", b.ending)
	return nil
}

func TestBrokenHooksAreChosenByName(t *testing.T) {
	all, err := chosenHooks(nil)
	if err != nil || len(all) != len(brokenHooks()) {
		t.Errorf("%d of them, %v", len(all), err)
	}
	one, err := chosenHooks([]string{"memory.wasm"})
	if err != nil || len(one) != 1 || one[0].name != "memory" || one[0].ending != ".wasm" {
		t.Errorf("%+v, %v", one, err)
	}
	if _, err := chosenHooks([]string{"memory"}); err == nil || !strings.Contains(err.Error(), "memory") {
		t.Errorf("a name without its ending: %v", err)
	}
}

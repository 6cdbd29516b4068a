// Package hooks_test runs the example hooks in their engines.
package hooks_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/script"
	"starlingwinch/internal/plugin/wasm"
)

func load(t *testing.T, e plugin.Engine, path string) plugin.Hook {
	t.Helper()
	code, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b := plugin.DefaultBudget
	b.Memory, b.LoadTime = 64<<20, 30_000_000
	h, err := e.Load(filepath.Base(path), code, b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func call(t *testing.T, h plugin.Hook, c plugin.Call) plugin.Verdict {
	t.Helper()
	var v plugin.Verdict
	if err := h.Call(&c, &v); err != nil {
		t.Fatalf("%+v: %v", c, err)
	}
	return v
}

func TestCallsigns(t *testing.T) {
	for name, h := range map[string]plugin.Hook{ // any order
		"script": load(t, script.Engine{}, "callsigns.star"), "wasm": load(t, wasm.Engine{}, "callsigns.wasm"),
	} {
		for key, valid := range map[string]bool{ // any order
			"OE1XYZ": true, "K2A": true, "oe1xyz": true, "F/OE1XYZ/P": true, "OE1XYZ/M": true,
			"": false, "OE": false, "OEXYZ": false, "12345": false, "OE1 XYZ": false, "OE1XYZ\r\n": false, "/": false,
			"A1BCDEFGHIJKLMN": false, strings.Repeat("A1B/", 10): false, "OE1XYZ-7": false, "Ö1XYZ": false,
		} {
			v := call(t, h, plugin.Call{Point: plugin.OnRequest, Key: key})
			if (v.Decision == plugin.Pass) != valid || !valid && v.Text != "not a callsign" {
				t.Errorf("%s: %q: %+v", name, key, v)
			}
		}
	}
}

func checkClubTags(t *testing.T, h plugin.Hook) {
	for _, c := range []struct{ tenant, class, club string }{
		{"shack-1", "confirm-contact", "club-rajkot"}, {"shack-1", "call-lookup", ""}, {"acme", "confirm-contact", ""},
	} {
		v := call(t, h, plugin.Call{Point: plugin.OnRequest, Class: c.class, Tenant: c.tenant})
		if v.Decision != plugin.Pass || v.Tenant != c.club || (len(v.Tags) == 1 && v.Tags[0] == "club") != (c.club != "") {
			t.Errorf("%+v: %+v", c, v)
		}
	}
}

func TestClub(t *testing.T) { checkClubTags(t, load(t, script.Engine{}, "club.star")) }

func TestClubInGo(t *testing.T) {
	if testing.Short() {
		t.Skip("the test runs the Go tool chain")
	}
	file := filepath.Join(t.TempDir(), "club.wasm")
	cmd := exec.Command("go", "build", "-buildmode=c-shared", "-o", file, "./clubgo")
	cmd.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	h := load(t, wasm.Engine{}, file)
	for range 300 { // enough calls for several garbage collections inside the module
		checkClubTags(t, h)
	}
	long := strings.Repeat("x", 1024)
	call(t, h, plugin.Call{Point: plugin.OnRequest, Key: long, Verb: long, Class: long, Tenant: long, Value: make([]byte, 64<<10)})
	call(t, h, plugin.Call{Point: plugin.Answered, Key: long, Outcome: plugin.OutcomeFailed})
	call(t, h, plugin.Call{Point: plugin.ListChanged, Caches: 9})
	call(t, h, plugin.Call{Point: plugin.Unload})
}

func TestRate(t *testing.T) {
	h := load(t, script.Engine{}, "rate.star")
	now := plugin.Time(5_000_000)
	for i := range 119 {
		tenant := "acme"
		if i%3 == 0 {
			tenant = "club"
		}
		if v := call(t, h, plugin.Call{Point: plugin.Answered, Tenant: tenant, Now: now}); len(v.Log) > 0 {
			t.Fatalf("got log lines %q after %d answers, want none within the first minute", v.Log, i)
		}
		now += 500_000
	}
	now += 500_000
	v := call(t, h, plugin.Call{Point: plugin.Answered, Tenant: "acme", Now: now})
	if len(v.Log) != 1 || v.Log[0] != "busiest tenant acme: 80 answers in 60 s (2 tenants)" {
		t.Errorf("%q", v.Log)
	}
}

package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/baseline"
	"starlingwinch/internal/testbench/lab/planted"
	"starlingwinch/internal/testbench/lab/script"
)

// call runs a command line and returns what it has written.
func call(args ...string) (stdout, stderr string, err error) {
	var out, errs bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetErr(&errs)
	cmd.SetArgs(args)
	err = cmd.ExecuteContext(context.Background())
	return out.String(), errs.String(), err
}

// withNode has the commands run another router for one test.
func withNode(t *testing.T, other lab.Start) {
	before := router
	router = other
	t.Cleanup(func() { router = before })
}

// broken is a router that tells nobody of a failure.
func broken(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
	for _, d := range planted.InModule() {
		if d.Name == "failures that nobody tells" {
			var o lab.Options
			d.Apply(&o)
			c.Wrap = o.Wrap
		}
	}
	return baseline.Start(m, c)
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

var sumLine = regexp.MustCompile(`^seeds (\d+) broken (\d+) steps \d+ simulated \d+s took \d+s trace [0-9a-f]{16}$`)

func TestRunAndHuntEndWithTheLineOfTheSum(t *testing.T) {
	withNode(t, baseline.Start)
	for _, c := range []struct {
		args  string
		seeds string
	}{
		{"run --seed 3 --length 500ms", "1"}, {"run silent-as-it-drains", "1"},
		{"run --fault hang:c2@100ms+300ms --length 500ms", "1"}, {"hunt --seeds 1-5 --length 300ms --jobs 2", "5"},
		{"hunt --seeds 7 --length 300ms", "1"},
	} {
		out, stderr, err := call(strings.Fields(c.args)...)
		m := sumLine.FindStringSubmatch(lastLine(out))
		if err != nil || m == nil || m[1] != c.seeds || m[2] != "0" || strings.Contains(stderr, "\r") {
			t.Errorf("lab %s: %v, %q, stderr %q", c.args, err, lastLine(out), stderr)
		}
	}
}

func TestTraceDoesNotDependOnJobs(t *testing.T) {
	withNode(t, baseline.Start)
	trace := func(jobs string) string {
		out, _, err := call("hunt", "--seeds", "1-8", "--length", "300ms", "--jobs", jobs)
		if err != nil {
			t.Fatal(err)
		}
		_, after, _ := strings.Cut(lastLine(out), "trace ")
		return after
	}
	if one, four := trace("1"), trace("4"); one != four {
		t.Errorf("%s and %s", one, four)
	}
}

func TestBrokenRuleIsToldWithSeedAndTimeAndCutDown(t *testing.T) {
	withNode(t, broken)
	out, _, err := call("hunt", "--seeds", "1-4", "--length", "2s")
	line := regexp.MustCompile(`(?m)^seed (\d+): +\d+\.\d{6} s: lost, request ([0-9a-f]{16}), router r-\d`)
	m := line.FindStringSubmatch(out)
	if !errors.Is(err, errMissed) || m == nil {
		t.Fatalf("%v\n%s", err, out)
	}

	out, _, err = call("run", "--seed", m[1], "--length", "2s", "--request", m[2])
	if !errors.Is(err, errMissed) || !strings.Contains(out, "BROKEN: lost") || !strings.Contains(out, "asked of router") {
		t.Errorf("%v\n%s", err, out)
	}

	file := filepath.Join(t.TempDir(), "small.toml")
	if _, stderr, err := call("shrink", "--seed", m[1], "--length", "2s", "--out", file); err != nil {
		t.Fatal(err, stderr)
	}
	if out, _, err = call("run", "--script", file); !errors.Is(err, errMissed) {
		t.Errorf("what was cut down breaks nothing: %v\n%s", err, out)
	}
	small, err := script.Load(file)
	if err != nil || small.Length >= 2*time.Second {
		t.Errorf("%v, %s long", err, small.Length)
	}
	if _, _, err := call("shrink", "--script", file, "--rule", "stuck"); err == nil {
		t.Error("a script that breaks no such rule was cut down")
	}
}

func TestListNamesScriptsAndMeasurements(t *testing.T) {
	measured := func(_ context.Context, o lab.RunOptions) (string, bool, error) {
		return "figure " + strings.Join(o.Args, "+"), len(o.Args) < 2, nil
	}
	lab.Register(lab.Scenario{Name: "measured", Doc: "for the tests", Run: measured})
	out, _, err := call("list")
	if err != nil || !strings.Contains(out, "silent-as-it-drains") || !strings.Contains(out, "measured") {
		t.Errorf("%v\n%s", err, out)
	}
	if out, _, err := call("run", "measured", "1"); err != nil || out != "measured: figure 1\n" {
		t.Errorf("%q, %v", out, err)
	}
	if out, _, err := call("run", "measured", "1", "2"); !errors.Is(err, errMissed) || out != "measured: figure 1+2\n" {
		t.Errorf("%q, %v", out, err)
	}
}

func TestWrongCommandLineRunsNothing(t *testing.T) {
	withNode(t, func(machine.Machine, lab.NodeConfig) (lab.Node, error) {
		t.Error("a router was started")
		return nil, errors.New("no")
	})
	bad := filepath.Join(t.TempDir(), "bad.toml")
	text := "kind = \"faults\"\n[[fault]]\nat = \"1s\"\nkind = \"hangs\"\ntarget = \"c1\"\n"
	if err := os.WriteFile(bad, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, want string }{
		{"run", "--seed, --script or a name is wanted"}, {"run nothing", `unknown name "nothing"`},
		{"run --seed -5", "--seed"}, {"run --seed x", "--seed"}, {"run --fault hang@", "fault"},
		{"run --seed 1 --fault hang:c2@30s", "past the end"}, {"run --script " + bad, ":4:1: fault[0].kind: unknown fault"},
		{"hunt --seeds 5-1", "no range"}, {"hunt --seeds x", "no range"}, {"hunt --jobs 0", "--jobs"},
		{"hunt --seeds 1-99999999", "no range"}, {"shrink", "--seed or --script"}, {"run --no-such-flag", "unknown flag"},
	} {
		out, _, err := call(strings.Fields(c.args)...)
		if err == nil || !strings.Contains(err.Error(), c.want) || out != "" {
			t.Errorf("lab %s: %q, %v; wanted %q", c.args, out, err, c.want)
		}
	}
}

package lab_test

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/guard"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/baseline"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/script"
)

func mustRun(t testing.TB, s script.Script, o lab.Options) *lab.Result {
	t.Helper()
	if o.Node == nil {
		o.Node = baseline.Start
	}
	r, err := lab.Run(s, o)
	if err != nil {
		t.Fatalf("%v\n%s", err, script.Text(s))
	}
	return r
}

// calm returns a script without faults.
func calm(length time.Duration) script.Script {
	s := script.Default()
	s.Length = length
	return s
}

func TestCalmDayBreaksNoRuleAndServesNearlyAll(t *testing.T) {
	r := mustRun(t, calm(5*time.Second), lab.Options{})
	for _, b := range r.Broken {
		t.Error(b)
	}
	if c := r.Counts; c.Asked < 500 || c.Served < c.Asked*97/100 {
		t.Errorf("got %d of %d requests served, want at least 500 requests and 97 %% of them served", c.Served, c.Asked)
	}
}

func TestHardCasesBreakNoRule(t *testing.T) {
	names := lab.Scripts()
	if len(names) < 5 {
		t.Fatalf("got the scripts %v, want at least 5", names)
	}
	for _, name := range names {
		s, doc, err := lab.Script(name)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.HasSuffix(doc, ".") {
			t.Errorf("%s: the first line is %q, want a sentence that ends with a period", name, doc)
		}
		for seed := range int64(hardSeeds) {
			s.Seed = seed
			r := mustRun(t, s, lab.Options{Node: node.Start})
			for _, b := range r.Broken {
				t.Errorf("%s, seed %d: %v", name, seed, b)
			}
			if r.Counts.Asked < 200 {
				t.Errorf("%s: got %d requests, want at least 200", name, r.Counts.Asked)
			}
		}
	}
}

const short = 3 * time.Second

// TestHundredSeedsBreakNoRule is the hunt that every change must pass.
func TestHundredSeedsBreakNoRule(t *testing.T) {
	h := lab.Hunt{From: 1, To: 100, Length: short, Jobs: runtime.GOMAXPROCS(0), Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
	if sum.Seeds != 100 || sum.Steps < 100_000 {
		t.Errorf("got %d seeds with %d steps, want 100 seeds with at least 100000 steps", sum.Seeds, sum.Steps)
	}
}

// traceOf returns the combined trace of the runs of seeds 1 to 50, or of the first part of them with the race detector.
func traceOf(t testing.TB, jobs int) uint64 {
	t.Helper()
	h := lab.Hunt{From: 1, To: 50 / inPart, Length: time.Second, Jobs: jobs, Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(context.Background())
	if err != nil || sum.Seeds != 50/inPart {
		t.Fatal(sum.Seeds, err)
	}
	return sum.Trace
}

// childVariable is the environment variable that makes TestMain print a trace and exit.
const childVariable = "LAB_TRACE_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	fmt.Printf("%016x\n", traceOf(new(testing.B), 2))
}

func TestEqualSeedsGiveEqualRunsWithAnyParallelism(t *testing.T) {
	want := traceOf(t, 1)
	for _, procs := range []int{1, 2, 8} {
		before := runtime.GOMAXPROCS(procs)
		got := traceOf(t, procs)
		runtime.GOMAXPROCS(before)
		if got != want {
			t.Errorf("with %d processors: got trace %016x, want %016x", procs, got, want)
		}
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"=1")
	out, err := cmd.Output()
	raw, hexErr := hex.DecodeString(strings.TrimSpace(string(out)))
	if err != nil || hexErr != nil || binary.BigEndian.Uint64(raw) != want {
		t.Errorf("in another process: got trace %s (%v), want %016x", out, err, want)
	}
}

func TestDifferentSeedsGiveDifferentRuns(t *testing.T) {
	seen := map[uint64]uint64{}
	for seed := range uint64(20) {
		s := calm(500 * time.Millisecond)
		s.Seed = int64(seed)
		trace := mustRun(t, s, lab.Options{}).Trace
		if other, twice := seen[trace]; twice {
			t.Errorf("seeds %d and %d have the same trace", seed, other)
		}
		seen[trace] = seed
	}
}

// hooked wraps a module and calls before ahead of each event.
type hooked struct {
	guard.Module
	before func(now decide.Time, ev decide.Event)
}

func (h hooked) Handle(now decide.Time, ev decide.Event) []decide.Action {
	h.before(now, ev)
	return h.Module.Handle(now, ev)
}

func TestCrashIsABrokenRuleWithItsStack(t *testing.T) {
	crash := lab.Options{Wrap: func(m guard.Module) guard.Module {
		n := 0
		return hooked{m, func(_ decide.Time, ev decide.Event) {
			if _, ok := ev.(*decide.Request); ok {
				if n++; n == 50 {
					panic("the fiftieth")
				}
			}
		}}
	}}
	first := mustRun(t, calm(short), crash)
	if len(first.Broken) != 1 || first.First() != lab.Crash || !first.Breaks(lab.Crash) {
		t.Fatalf("%v", first.Broken)
	}
	b := first.Broken[0]
	if !strings.HasPrefix(b.Router, "r-") || !strings.HasPrefix(b.Text, "the fiftieth | ") ||
		!strings.Contains(b.Text, "baseline.(*node).tell") {
		t.Errorf("%v", b)
	}
	if again := mustRun(t, calm(short), crash); again.Broken[0] != b || again.Trace != first.Trace {
		t.Errorf("the second run got %v\nwant as in the first run %v", again.Broken[0], b)
	}
}

func TestEndlessRunIsReportedAsStuck(t *testing.T) {
	spinning := func(m machine.Machine, c lab.NodeConfig) (lab.Node, error) {
		var again func()
		again = func() { m.Post(again) }
		m.At(m.Now()+1_000_000, again)
		return baseline.Start(m, c)
	}
	r := mustRun(t, calm(short), lab.Options{Node: spinning})
	if len(r.Broken) != 1 || r.First() != lab.Stuck {
		t.Errorf("%v", r.Broken)
	}
}

func TestLeftoverResourcesAreReported(t *testing.T) {
	for _, c := range []struct{ what, want string }{
		{"timers", "timers"}, {"dials", "descriptors beyond its connections"},
	} {
		leaking := func(m machine.Machine, nc lab.NodeConfig) (lab.Node, error) {
			for i := range 2000 {
				if c.what == "timers" {
					m.At(m.Now()+3600_000_000, func() {})
				} else if i < 20 {
					m.Dial("10.1.0.1:7000", 1_000_000, func(machine.Conn, error) machine.Handler { return idle{} })
				}
			}
			return baseline.Start(m, nc)
		}
		r := mustRun(t, calm(time.Second), lab.Options{Node: leaking})
		found := false
		for _, b := range r.Broken {
			found = found || b.Rule == "left behind" && strings.Contains(b.Text, c.want)
		}
		if !found {
			t.Errorf("%s: %v", c.what, r.Broken)
		}
	}
}

type idle struct{}

func (idle) Readable() {}
func (idle) Writable() {}

func TestFollowedRequestHasItsHistoryInTheResult(t *testing.T) {
	s := calm(time.Second)
	id := ""
	mustRun(t, s, lab.Options{Wrap: func(m guard.Module) guard.Module { return m }, Timeline: func(lab.Time, string) {}})
	s.Faults = []script.Fault{{Kind: script.Errors, Target: "all", Chance: 1}}
	s.Faults[0].At = 10 * time.Millisecond
	defect := lab.Options{Wrap: func(m guard.Module) guard.Module { return requestDropper{m} }}
	r := mustRun(t, s, defect)
	if len(r.Broken) == 0 {
		t.Fatal("got no broken rule from a router that answers no request")
	}
	id = r.Broken[0].Request
	defect.Follow = id
	again := mustRun(t, s, defect)
	history := strings.Join(again.History, "\n")
	if again.Trace != r.Trace || !strings.Contains(history, "asked of router") || !strings.Contains(history, "BROKEN: lost") {
		t.Errorf("got trace %016x, want %016x; history:\n%s", again.Trace, r.Trace, history)
	}
}

// requestDropper wraps a module and drops each request before the module receives it.
type requestDropper struct{ guard.Module }

func (d requestDropper) Handle(now decide.Time, ev decide.Event) []decide.Action {
	if _, ok := ev.(*decide.Request); ok {
		return nil
	}
	return d.Module.Handle(now, ev)
}

func TestTimelineShowsFaultsAndCountsPerSecond(t *testing.T) {
	s := calm(short)
	for _, text := range []string{"hang:c2@500ms+1s", "drain:c1@1s+1s", "router-restart:router:2@1s+500ms"} {
		f, err := script.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = append(s.Faults, f)
	}
	var lines []string
	last := lab.Time(-1 << 62)
	mustRun(t, s, lab.Options{Timeline: func(at lab.Time, line string) {
		if at < last {
			t.Errorf("%q has an earlier time than the previous line", line)
		}
		last = at
		lines = append(lines, line)
	}})
	all := strings.Join(lines, "\n")
	for _, want := range []string{"FAULT hang:c2@500ms+1s", "fault hang:c2@500ms+1s ends", "r-2 has ended", "r-2 starts",
		"takes no work", "asked "} {
		if !strings.Contains(all, want) {
			t.Errorf("%q is missing from the timeline\n%s", want, all)
		}
	}
}

func TestInterruptedHuntReturnsFinishedRuns(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	h := lab.Hunt{From: 1, To: 1 << 40, Length: 200 * time.Millisecond, Jobs: 2, Options: lab.Options{Node: baseline.Start}}
	done := 0
	h.Done = func(uint64, *lab.Result) {
		if done++; done == 5 {
			stop()
		}
	}
	sum, err := h.Run(ctx)
	if err != nil || sum.Seeds < 5 || sum.Seeds > 7 {
		t.Errorf("got %d seeds and error %v, want 5 to 7 seeds and no error", sum.Seeds, err)
	}
}

func TestShrinkingLeavesOnlyTheCausalFault(t *testing.T) {
	s := calm(4 * time.Second)
	for _, text := range []string{
		"slow:c1@100ms+1s", "hang:c3@1s+1s", "burst:clients@500ms+1s", "errors:all@200ms+3s,chance=0.5",
		"list-down:discovery@2s+1s",
	} {
		f, err := script.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		s.Faults = append(s.Faults, f)
	}
	h := lab.Shrinking{Rule: lab.Crash, Options: lab.Options{Node: baseline.Start, Wrap: crashOnError}}
	small, runs := h.Shrink(context.Background(), s)
	if len(small.Faults) != 1 || small.Faults[0].Kind != script.Errors {
		t.Errorf("after %d runs: got faults %v, want one errors fault", runs, small.Faults)
	}
	if small.Length > time.Second || small.Rate >= s.Rate {
		t.Errorf("after %d runs:\n%s", runs, script.Text(small))
	}
	if r := mustRun(t, small, h.Options); !r.Breaks(lab.Crash) {
		t.Error("the shrunk script does not break the rule")
	}
}

func crashOnError(m guard.Module) guard.Module {
	return hooked{m, func(_ decide.Time, ev decide.Event) {
		if o, ok := ev.(*decide.AttemptResult); ok && o.Result == decide.Errored {
			panic("an error")
		}
	}}
}

func TestScenariosAreFoundByName(t *testing.T) {
	lab.Register(lab.Scenario{Name: "test-b"})
	lab.Register(lab.Scenario{Name: "test-a"})
	if s, ok := lab.Find("test-b"); !ok || s.Name != "test-b" {
		t.Error("test-b not found")
	}
	if _, ok := lab.Find("test-c"); ok {
		t.Error("found test-c, which is not registered")
	}
	all := lab.Scenarios()
	if len(all) < 2 || all[0].Name > all[1].Name {
		t.Errorf("got %v, want at least two scenarios sorted by name", all)
	}
}

func BenchmarkRun(b *testing.B) {
	steps := int64(0)
	for i := range b.N {
		steps += mustRun(b, script.Draw(uint64(i)), lab.Options{}).Steps
	}
	b.ReportMetric(float64(steps)/b.Elapsed().Seconds(), "steps/s")
	b.ReportMetric(float64(steps)/float64(b.N), "steps/op")
}

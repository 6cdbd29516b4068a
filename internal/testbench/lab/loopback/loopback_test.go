package loopback

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab/script"
	"starlingwinch/internal/testbench/rules"
)

// calm is a load that any machine carries: what a noisy one makes of times is then no router's fault.
func calm(length time.Duration, faults ...script.Fault) script.Script {
	s := script.Default()
	s.Length, s.Routers, s.Caches, s.Rate, s.Faults = length, 1, 4, 20, faults
	return s
}

// broken names the rules that were broken, but for those that a machine short of time breaks by itself.
func broken(r *Report) (all []string) {
	for _, f := range r.Broken {
		switch f.Rule {
		case rules.Lost, rules.Late, rules.LateDrain:
			continue
		}
		all = append(all, f.String())
	}
	return all
}

func TestRouterProcessServesAmongStandInsAndIsGoneAfterwards(t *testing.T) {
	var pids []int
	var dir string
	o := Options{Script: calm(3*time.Second,
		script.Fault{At: time.Second, For: time.Second, Kind: script.Hang, Target: "c2"},
		script.Fault{At: 1500 * time.Millisecond, Kind: script.HangUp, Target: "all"})}
	o.Ready = func(a Addresses) { dir = a.Dir }
	o.started = func(pid int) { pids = append(pids, pid) }
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	sum := r.Requests()
	if bad := broken(&r); len(bad) > 0 || len(r.ProcessFaults) > 0 {
		t.Errorf("broken %v, troubles %v", bad, r.ProcessFaults)
	}
	if sum.OnTime+sum.Late == 0 || r.Counts.Attempts == 0 {
		t.Errorf("nothing was served: %+v", sum)
	}
	if r.PeakRSS() == 0 || r.Descriptors() == 0 || r.Routers[0].Lines == 0 {
		t.Errorf("the process was not looked at: %+v", r.Routers)
	}
	wantGone(t, pids, 1)
	if _, err := os.Stat(dir); dir == "" || !os.IsNotExist(err) {
		t.Errorf("directory %q is left: %v", dir, err)
	}
}

func wantGone(t *testing.T, pids []int, n int) {
	t.Helper()
	if len(pids) != n {
		t.Errorf("%d processes were started, want %d", len(pids), n)
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
			t.Errorf("process %d is left: %v", pid, err)
		}
	}
}

// wantStartedTwice wants a sound run in which each router had two processes, of which none is left.
func wantStartedTwice(t *testing.T, r *Report, pids []int) {
	t.Helper()
	if bad := broken(r); len(bad) > 0 || len(r.ProcessFaults) > 0 {
		t.Errorf("broken %v, troubles %v", bad, r.ProcessFaults)
	}
	for _, rt := range r.Routers {
		if rt.Starts != 2 {
			t.Errorf("%s was started %d times, want 2", rt.Name, rt.Starts)
		}
	}
	wantGone(t, pids, 2*len(r.Routers))
}

func TestRoutersThatAreKilledAndToldToEndComeBack(t *testing.T) {
	s := calm(4*time.Second,
		// The killed process must have been reaped before it is started again, which takes longer on a busy machine.
		script.Fault{At: 300 * time.Millisecond, For: time.Second, Kind: script.RouterRestart, Target: "router:1"},
		script.Fault{At: 300 * time.Millisecond, Kind: script.RouterTerm, Target: "router:2"})
	s.Routers = 2
	var pids []int
	r, err := Run(Options{Script: s, started: func(pid int) { pids = append(pids, pid) }})
	if err != nil {
		t.Fatal(err)
	}
	wantStartedTwice(t, &r, pids)
}

func TestRouterThatEndsByItselfIsTrouble(t *testing.T) {
	_, err := Run(Options{Script: calm(time.Second), Program: "/bin/false"})
	if err == nil || !strings.Contains(err.Error(), "exit status 1") {
		t.Errorf("got %v", err)
	}
}

func TestImpossibleFaultIsRefusedBeforeAnythingStarts(t *testing.T) {
	s := calm(time.Second,
		script.Fault{Kind: script.Cut, Target: "surat<>rajkot"},
		script.Fault{Kind: script.Hang, Target: "c1"},
		script.Fault{Kind: script.ClockStep, Target: "router:1"})
	_, err := Run(Options{Script: s, Program: "/nowhere", started: func(int) { t.Error("a process was started") }})
	want := "not possible on loopback sockets: cut:surat<>rajkot@0s, clock-step:router:1@0s"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestOnlyWhatTheNetworkOrTheClockDoesIsImpossible(t *testing.T) {
	var not []string
	for _, k := range script.Kinds() {
		if faultHandlers[k.Name].begin == nil {
			not = append(not, k.Name)
		}
		if end := faultHandlers[k.Name].end; k.Instant && end != nil {
			t.Errorf("%s lasts no time and has an end", k.Name)
		}
	}
	if got := strings.Join(not, " "); got != "swallow-dials cut lag clock-step fail-calls" {
		t.Errorf("not possible: %s", got)
	}
}

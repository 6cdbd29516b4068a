package lab_test

import (
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
	"starlingwinch/internal/testbench/lab/script"
)

// TestRegistrySeedsBreakNoRule is the hunt of worlds with a registry that every change has to pass.
func TestRegistrySeedsBreakNoRule(t *testing.T) {
	h := lab.Hunt{From: 1, To: 60 / inPart, Length: 6 * time.Second, Jobs: runtime.GOMAXPROCS(0), Draw: script.DrawRegistry,
		Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
	if sum.Seeds != 60/inPart || sum.Steps < 100_000/inPart {
		t.Errorf("%d seeds, %d steps", sum.Seeds, sum.Steps)
	}
}

// timeline plays a hard case and returns what was told.
func timeline(t *testing.T, name string) (lines []string) {
	t.Helper()
	s, _, err := lab.Script(name)
	if err != nil {
		t.Fatal(err)
	}
	r := mustRun(t, s, lab.Options{Node: node.Start, Timeline: func(_ lab.Time, line string) { lines = append(lines, line) }})
	for _, b := range r.Broken {
		t.Errorf("%s: %v", name, b)
	}
	return lines
}

// count is how many lines fit.
func count(lines []string, pattern string) (n int) {
	fits := regexp.MustCompile(pattern)
	for _, line := range lines {
		if fits.MatchString(line) {
			n++
		}
	}
	return n
}

func TestCachesThatOneServerAloneLeavesOutStay(t *testing.T) {
	for _, name := range []string{"registry-comes-back-empty", "registry-half-hidden"} {
		lines := timeline(t, name)
		if n := count(lines, "endpoint mass removal awaits confirmation"); n < 3 {
			t.Errorf("%s: %d routers of 3 have asked again", name, n)
		}
		if n := count(lines, "status=removed"); n > 0 {
			t.Errorf("%s: caches were taken away %d times", name, n)
		}
	}
}

func TestCachesThatAreTrulyGoneAreTakenAwayByAll(t *testing.T) {
	lines := timeline(t, "registry-half-gone")
	if n := count(lines, "^r-.*status=removed"); n != 3*5 {
		t.Errorf("5 caches were taken away %d times by 3 routers", n)
	}
	if n := count(lines, "^r-. is told that .* takes no work"); n != 3*5 {
		t.Errorf("the watcher was told %d times", n)
	}
}

func TestSilentRegistryTakesNothingAwayAndItsDeadCacheIsFound(t *testing.T) {
	lines := timeline(t, "registry-silent-while-stale")
	end := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, "fault registry-silent") })
	if n := count(lines[:end], "status=removed"); n > 0 {
		t.Errorf("a registry that says nothing has taken caches away %d times", n)
	}
	if n := count(lines[:end], "cache unavailable"); n != 3 {
		t.Errorf("%d routers of 3 have found the dead cache by themselves", n)
	}
	if n := count(lines[end:], "status=removed"); n != 3 {
		t.Errorf("%d routers of 3 have learned of its end", n)
	}
}

func TestFlappingCacheIsHeldDownAfterThreeFlaps(t *testing.T) {
	lines := timeline(t, "registry-flaps")
	if n := count(lines, "^r-1: .*endpoint status changed.* status=draining"); n == 0 || n > 3 {
		t.Errorf("it was taken away %d times in 20 s", n)
	}
}

func TestNewCacheAtAnOldAddressIsAnotherOne(t *testing.T) {
	lines := timeline(t, "registry-address-reused")
	if gone, new := count(lines, "^r-.*status=removed"), count(lines, "^cache .* starts"); gone != 3 || new != 1 {
		t.Errorf("the old one went %d times, %d have started", gone, new)
	}
}

func TestLostDeltaIsMadeGoodByAWholeList(t *testing.T) {
	lines := timeline(t, "registry-deltas-go-wrong")
	if n := count(lines, "^r-.*status=draining source=eureka reason=OUT_OF_SERVICE"); n != 3*3 {
		t.Errorf("3 drains were learned %d times by 3 routers", n)
	}
}

// TestRoutersSendInRegistrySeed5133: three routers have hundreds of requests and begin no attempt though four caches serve.
func TestRoutersSendInRegistrySeed5133(t *testing.T) {
	const seed = 5133
	h := lab.Hunt{From: seed, To: seed, Length: 10 * time.Second, Jobs: 1, Draw: script.DrawRegistry, Options: lab.Options{Node: node.Start}}
	sum, err := h.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range sum.Found {
		t.Errorf("seed %d: %v", f.Seed, f.Broken[0])
	}
}

// TestRoutersSendInRegistrySeed20975: a router that starts just after its registry server came back empty sends nothing, though the other server
// shows nine caches.
func TestRoutersSendInRegistrySeed20975(t *testing.T) {
	s := script.DrawRegistry(20975, 10*time.Second)
	for _, b := range mustRun(t, s, lab.Options{Node: node.Start}).Broken {
		t.Error(b)
	}
}

// TestNewCachesCountOnceRoutersCanKnowThem: four caches join while all others drain, a few milliseconds before routers are found to send
// nothing.
func TestNewCachesCountOnceRoutersCanKnowThem(t *testing.T) {
	for _, seed := range []uint64{7045, 7737} {
		s := script.DrawRegistry(seed, 10*time.Second)
		for _, b := range mustRun(t, s, lab.Options{Node: node.Start}).Broken {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
}

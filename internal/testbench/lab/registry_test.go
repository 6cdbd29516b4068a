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

// TestRegistrySeedsBreakNoRule is the hunt with a registry that every change must pass.
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
		t.Errorf("got %d seeds with %d steps, want %d seeds with at least %d steps", sum.Seeds, sum.Steps, 60/inPart, 100_000/inPart)
	}
}

// timeline runs a hard case and returns the lines of its timeline.
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

// count returns the number of lines that match a pattern.
func count(lines []string, pattern string) (n int) {
	fits := regexp.MustCompile(pattern)
	for _, line := range lines {
		if fits.MatchString(line) {
			n++
		}
	}
	return n
}

func TestCachesMissingFromOnlyOneServerAreRetained(t *testing.T) {
	for _, name := range []string{"registry-comes-back-empty", "registry-half-hidden"} {
		lines := timeline(t, name)
		if n := count(lines, "endpoint mass removal awaits confirmation"); n < 3 {
			t.Errorf("%s: got %d logged confirmations of a mass removal, want at least 3", name, n)
		}
		if n := count(lines, "status=removed"); n > 0 {
			t.Errorf("%s: got %d removals of caches, want 0", name, n)
		}
	}
}

func TestCachesMissingFromAllServersAreRemovedByAllRouters(t *testing.T) {
	lines := timeline(t, "registry-half-gone")
	if n := count(lines, "^r-.*status=removed"); n != 3*5 {
		t.Errorf("got %d removals of 5 caches by 3 routers, want 15", n)
	}
	if n := count(lines, "^r-. is told that .* takes no work"); n != 3*5 {
		t.Errorf("got %d notifications of the watcher, want 15", n)
	}
}

func TestSilentRegistryRemovesNoCacheAndRoutersDetectADeadOne(t *testing.T) {
	lines := timeline(t, "registry-silent-while-stale")
	end := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, "fault registry-silent") })
	if n := count(lines[:end], "status=removed"); n > 0 {
		t.Errorf("got %d removals of caches while the registry is silent, want 0", n)
	}
	if n := count(lines[:end], "cache unavailable"); n != 3 {
		t.Errorf("got %d detections of the dead cache while the registry is silent, want 3", n)
	}
	if n := count(lines[end:], "status=removed"); n != 3 {
		t.Errorf("got %d removals of the dead cache after the silence, want 3", n)
	}
}

func TestFlappingCacheIsSuppressedAfterThreeFlaps(t *testing.T) {
	lines := timeline(t, "registry-flaps")
	if n := count(lines, "^r-1: .*endpoint status changed.* status=draining"); n == 0 || n > 3 {
		t.Errorf("got %d changes to draining in 20 s, want 1 to 3", n)
	}
}

func TestNewCacheAtAReusedAddressIsADifferentEndpoint(t *testing.T) {
	lines := timeline(t, "registry-address-reused")
	if gone, new := count(lines, "^r-.*status=removed"), count(lines, "^cache .* starts"); gone != 3 || new != 1 {
		t.Errorf("got %d removals and %d cache starts, want 3 and 1", gone, new)
	}
}

func TestLostDeltaIsRepairedByAFullFetch(t *testing.T) {
	lines := timeline(t, "registry-deltas-go-wrong")
	if n := count(lines, "^r-.*status=draining source=eureka reason=OUT_OF_SERVICE"); n != 3*3 {
		t.Errorf("got %d changes to draining for 3 drains and 3 routers, want 9", n)
	}
}

// TestRoutersSendInRegistrySeed5133 guards against three routers that receive hundreds of requests and begin no attempt although four
// caches serve.
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

// TestRoutersSendInRegistrySeed20975 guards against a router that begins no attempt although a registry server shows nine caches. The
// router starts just after its own registry server has restarted empty.
func TestRoutersSendInRegistrySeed20975(t *testing.T) {
	s := script.DrawRegistry(20975, 10*time.Second)
	for _, b := range mustRun(t, s, lab.Options{Node: node.Start}).Broken {
		t.Error(b)
	}
}

// TestNewCachesCountOnceRoutersCanKnowThem guards against a false report that routers send nothing: four caches join while all others
// drain, a few milliseconds before the report, so that the routers can't know the new caches yet.
func TestNewCachesCountOnceRoutersCanKnowThem(t *testing.T) {
	for _, seed := range []uint64{7045, 7737} {
		s := script.DrawRegistry(seed, 10*time.Second)
		for _, b := range mustRun(t, s, lab.Options{Node: node.Start}).Broken {
			t.Errorf("seed %d: %v", seed, b)
		}
	}
}

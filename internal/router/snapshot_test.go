package router

import (
	"fmt"
	"io/fs"
	"reflect"
	"strings"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/snapshotstore"
	"starlingwinch/internal/testbench/routertest"
	"starlingwinch/internal/testbench/sim"
)

const stateFolder = "/state"

// snapshotHost is a virtual machine with a snapshot folder, and the router that runs on it.
type snapshotHost struct {
	*testing.T
	w     *sim.World
	h     *sim.Host
	cfg   *Config
	r     *Router
	lines []string
	lived bool
}

// newSnapshotHost returns a host whose router has one cache for each start in milliseconds, c0 and so on.
func newSnapshotHost(t *testing.T, starts ...int) *snapshotHost {
	c := &snapshotHost{T: t, w: sim.New(1)}
	c.h = c.w.Host("r", "10.0.0.1", sim.HostOptions{})
	c.h.MakeFolder(stateFolder)
	c.h.Logged = func(line string) { c.lines = append(c.lines, line) }
	c.cfg = testConfig(t, "10.0.0.9:1", func(in map[string]any) {
		in["listen"] = "10.0.0.1:7000"
		in["settings"].(map[string]any)["limits"].(map[string]any)["probes"] = true
	}, cellHosts(starts...)...)
	c.cfg.SnapshotStore = snapshotstore.Default()
	c.cfg.SnapshotStore.Folder = stateFolder
	c.cfg.SnapshotStore.HalfLife.Limit, c.cfg.SnapshotStore.HalfLife.Retry = 10*time.Second, 10*time.Second
	return c
}

func cellHosts(starts ...int) (lines []string) {
	for i, start := range starts {
		line := host(fmt.Sprint("c", i), fmt.Sprintf("10.1.%d.%d:1", i/200, i%200+1), "in_service")
		lines = append(lines, strings.Replace(line, `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, start), 1))
	}
	return lines
}

// start starts the router, on a process of its own.
func (c *snapshotHost) start() {
	c.Helper()
	m := c.h.Machine()
	if c.lived {
		m = c.h.Restart()
	}
	c.lived, c.lines = true, nil
	cfg := *c.cfg
	var err error
	if c.r, err = Start(m, &cfg); err != nil {
		c.Fatal(err)
	}
	applyKnownList(c.r)
}

func (c *snapshotHost) run(d time.Duration) { c.w.Run(c.w.Now() + d.Microseconds()) }

// train has the module learn that a cache fails.
func (c *snapshotHost) train(id string) {
	c.Helper()
	was, ok := c.r.decider.EndpointSnapshot(id)
	if !ok {
		c.Fatal("no cache ", id)
	}
	was.ConcurrencyLimit, was.LateRatio, was.ErrorRatio, was.Healthy, was.FailedHealthChecks, was.Responsive = .25, .5, .5, false, 2, false
	was.CachedKeys = []uint64{1, 2, 3}
	l := endpointsOnlySnapshot()
	l.LostRatio = .25
	l.Caches = append(l.Caches, was)
	c.r.decider.Restore(l)
}

// isKnownBad reports whether the module knows that a cache fails.
func (c *snapshotHost) isKnownBad(id string) bool {
	was, ok := c.r.decider.EndpointSnapshot(id)
	return ok && was.ConcurrencyLimit < .5 && !was.Healthy && !was.Responsive && was.LateRatio > .4 && len(decide.SortKeys(c.r.decider.AppendCachedKeys(nil, id, 9), 9)) == 3
}

// logged counts the log lines that contain a text.
func (c *snapshotHost) logged(text string) (n int) {
	for _, line := range c.lines {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

func (c *snapshotHost) want(text string, n int) {
	c.Helper()
	if got := c.logged(text); got != n {
		c.Errorf("%q is logged %d times, want %d; log:\n%s", text, got, n, strings.Join(c.lines, "\n"))
	}
}

// newTrainedHost returns a host whose router was trained that c1 fails, has written a snapshot and was killed.
func newTrainedHost(t *testing.T, starts ...int) *snapshotHost {
	c := newSnapshotHost(t, starts...)
	c.start()
	c.run(100 * time.Millisecond)
	c.train("c1")
	c.run(2100 * time.Millisecond)
	c.h.Kill()
	return c
}

const long0 = 1_000_000_000 // ms; long before the world begins

func TestSnapshotRestoredAfterKill(t *testing.T) {
	c := newTrainedHost(t, 0, long0, 0)
	c.start()
	if c.r.Serving() {
		t.Error("it says that it serves before it has read its state")
	}
	c.run(10 * time.Millisecond)
	if !c.r.Serving() || !c.isKnownBad("c1") || c.isKnownBad("c0") {
		t.Errorf("serving %v, c1 %v, c0 %v\n%s", c.r.Serving(), c.isKnownBad("c1"), c.isKnownBad("c0"), strings.Join(c.lines, "\n"))
	}
	if lost := c.r.decider.SharedSnapshot().LostRatio; lost < .2 {
		t.Errorf("share of lost attempts %v", lost)
	}
	c.want(`msg="snapshot restored" caches=3 age=`, 1)
}

// TestSnapshotNotRestoredForRestartedCache lists a cache under the same name with another start.
func TestSnapshotNotRestoredForRestartedCache(t *testing.T) {
	c := newTrainedHost(t, 0, long0, 0)
	c.cfg.LastKnown = parse(t, hosts(1, true, cellHosts(0, int((sim.Start)/1000)+1000, 0)...))
	c.start()
	c.run(10 * time.Millisecond)
	if was, _ := c.r.decider.EndpointSnapshot("c1"); was.ConcurrencyLimit < 1 || !was.Healthy || len(decide.SortKeys(c.r.decider.AppendCachedKeys(nil, "c1", 9), 9)) > 0 {
		t.Errorf("the new process is held for the old one: %+v", was)
	}
}

// TestSnapshotRestoredForCachesListedLater restores a cache when a list names it, also where an older list named it
// with an earlier start.
func TestSnapshotRestoredForCachesListedLater(t *testing.T) {
	for _, known := range [][]string{cellHosts(0), cellHosts(0, long0-5)} {
		c := newTrainedHost(t, 0, long0, 0)
		c.cfg.LastKnown = parse(t, hosts(1, true, known...))
		c.start()
		c.run(10 * time.Millisecond)
		if c.isKnownBad("c1") {
			t.Error("c1 is known before its list")
		}
		c.w.At(c.w.Now(), func() {
			c.r.sources.ApplyDiscovery(parse(t, hosts(2, true, cellHosts(0, long0, 0)...)))
			c.r.ProcessEvents()
		})
		c.run(10 * time.Millisecond)
		if !c.isKnownBad("c1") {
			t.Errorf("c1 is not taken over with its list, known before: %v", known)
		}
	}
}

// TestSnapshotDecaysWhileDown restores less the longer the router was down.
func TestSnapshotDecaysWhileDown(t *testing.T) {
	c := newTrainedHost(t, 0, long0, 0)
	c.run(time.Minute)
	c.start()
	c.run(10 * time.Millisecond)
	if was, _ := c.r.decider.EndpointSnapshot("c1"); !was.Healthy || was.ConcurrencyLimit < 2 {
		t.Errorf("after a minute: %+v", was)
	}
	c.h.Kill()
	c.run(10 * time.Minute)
	c.start()
	c.run(10 * time.Millisecond)
	c.want("too old: ", 1)
}

// TestHealthNotRestoredWithoutHealthChecks restores no failed health check where none would ever clear it.
func TestHealthNotRestoredWithoutHealthChecks(t *testing.T) {
	c := newTrainedHost(t, 0, long0, 0)
	c.cfg.Settings.AllowHealthChecks = false
	c.start()
	c.run(10 * time.Millisecond)
	if was, _ := c.r.decider.EndpointSnapshot("c1"); !was.Healthy || was.ConcurrencyLimit > .5 {
		t.Errorf("got %+v", was)
	}
}

// TestSlowDiskDelaysServingUpToTimeout serves at the timeout; what is read later is restored for caches that nothing
// was sent to.
func TestSlowDiskDelaysServingUpToTimeout(t *testing.T) {
	c := newTrainedHost(t, 0, long0, 0)
	c.h.SlowDisk(5 * sim.Second)
	c.start()
	c.run(snapshotReadTimeout*time.Microsecond - time.Millisecond)
	if c.r.Serving() {
		t.Error("it serves before its state or the bound")
	}
	c.run(2 * time.Millisecond)
	if !c.r.Serving() {
		t.Error("it does not serve at the bound")
	}
	c.run(5 * time.Second)
	c.want("snapshot not read in time", 1)
	if was, _ := c.r.decider.EndpointSnapshot("c1"); was.ConcurrencyLimit > .9 {
		t.Errorf("got %+v", was)
	}
	c.run(30 * time.Second)
	c.want("snapshot disk is slow", 1)
}

// TestFailingDiskLoggedOnce logs one line when the disk fails and one when it works again.
func TestFailingDiskLoggedOnce(t *testing.T) {
	for what, trouble := range map[string]struct{ on, off func(h *sim.Host) }{
		"full":      {func(h *sim.Host) { h.FailDisk(sim.ErrFull) }, func(h *sim.Host) { h.FailDisk(nil) }},
		"read-only": {func(h *sim.Host) { h.FailDisk(fs.ErrPermission) }, func(h *sim.Host) { h.FailDisk(nil) }},
		"vanished":  {func(h *sim.Host) { h.RemoveFolder(stateFolder) }, func(h *sim.Host) { h.MakeFolder(stateFolder) }},
	} {
		c := newSnapshotHost(t, 0, 0)
		c.start()
		c.run(5 * time.Second)
		before := c.logged(`msg="snapshot`)
		trouble.on(c.h)
		c.run(time.Minute)
		if n := c.logged(`msg="snapshot`) - before; n != 1 {
			t.Errorf("%s: %d lines:\n%s", what, n, strings.Join(c.lines, "\n"))
		}
		c.want(`msg="snapshots not stored"`, 1)
		trouble.off(c.h)
		c.run(5 * time.Second)
		c.want(`msg="snapshots stored again"`, 1)
		c.start()
		c.run(10 * time.Millisecond)
		c.want(`msg="snapshot restored"`, 1)
	}
}

// TestSnapshotWriteInterval writes no more often than the operators allow.
func TestSnapshotWriteInterval(t *testing.T) {
	c := newSnapshotHost(t, 0, 0)
	c.cfg.SnapshotStore.WriteInterval = 7 * time.Second
	c.start()
	c.run(69 * time.Second)
	if n := c.r.snapshots.completedWrites; n != 9 {
		t.Errorf("%d writes in 69 s", n)
	}
}

// TestDrainWritesFinalSnapshot writes at the end of a drain, and waits for that no longer than the timeout.
func TestDrainWritesFinalSnapshot(t *testing.T) {
	for _, slow := range []sim.Time{0, 10 * sim.Second} {
		c := newSnapshotHost(t, 0, long0)
		c.cfg.SnapshotStore.WriteInterval = time.Hour
		c.cfg.SnapshotStore.MaxAge = time.Hour
		c.start()
		c.run(time.Second)
		c.train("c1")
		c.h.SlowDisk(slow)
		ended := sim.Time(0)
		began := c.w.Now()
		c.w.At(began, func() { c.r.Drain(func() { ended = c.w.Now() }) })
		c.run(time.Second)
		if took := ended - began; ended == 0 || took > drainAcceptGrace+finalWriteTimeout+1000 {
			t.Errorf("the drain took %d us", took)
		}
		c.h.Kill()
		c.start()
		c.run(10 * time.Millisecond)
		if slow == 0 && !c.isKnownBad("c1") {
			t.Error("what was known at its end is not kept")
		}
	}
}

// TestReloadMovesSnapshotFolder moves the snapshots to another folder, and switches them off.
func TestReloadMovesSnapshotFolder(t *testing.T) {
	c := newSnapshotHost(t, 0, long0)
	c.start()
	c.run(100 * time.Millisecond)
	c.train("c1")
	c.h.MakeFolder("/other")
	moved := *c.cfg
	moved.SnapshotStore.Folder = "/other"
	c.w.At(c.w.Now(), func() { c.r.Reload(&moved) })
	c.run(100 * time.Millisecond)
	c.want(`msg="snapshot folder changed" folder=/other`, 1)
	if !c.r.Serving() || len(c.h.Files("/other")) != 2 {
		t.Errorf("serving %v, files %v", c.r.Serving(), c.h.Files("/other"))
	}
	off := moved
	off.SnapshotStore.Folder = ""
	c.w.At(c.w.Now(), func() { c.r.Reload(&off) })
	c.run(10 * time.Millisecond)
	steps := c.h.DiskSteps()
	c.run(10 * time.Second)
	c.want(`msg="snapshots switched off"`, 1)
	if c.h.DiskSteps() != steps {
		t.Error("it is written on")
	}
	c.cfg.SnapshotStore.Folder = "/other"
	c.start()
	c.run(10 * time.Millisecond)
	if was, _ := c.r.decider.EndpointSnapshot("c1"); was.ConcurrencyLimit > 2 {
		t.Errorf("what it knew has not moved: %+v", was)
	}
}

// TestNoSnapshotFolderNoDiskWork leaves the disk alone where no folder is configured.
func TestNoSnapshotFolderNoDiskWork(t *testing.T) {
	c := newSnapshotHost(t, 0, 0)
	c.cfg.SnapshotStore = snapshotstore.Default()
	c.start()
	if !c.r.Serving() {
		t.Error("it does not serve at once")
	}
	c.run(10 * time.Second)
	if c.h.DiskSteps() != 0 || c.logged("state") != 0 {
		t.Errorf("%d steps; log %q", c.h.DiskSteps(), c.lines)
	}
}

// TestSnapshotFolderLockedByOneRouter starts two routers on one folder: the second one logs that it is locked, serves,
// and gets the folder once the first has ended.
func TestSnapshotFolderLockedByOneRouter(t *testing.T) {
	dir := t.TempDir()
	startOne := func(log routertest.Lines) *running {
		cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", "127.0.0.1:1", "in_service"))
		cfg.SnapshotStore.Folder, cfg.SnapshotStore.WriteInterval = dir, 50*time.Millisecond
		return start(t, cfg, log, nil)
	}
	log1, log2 := make(routertest.Lines, 1000), make(routertest.Lines, 1000)
	first := startOne(log1)
	first.Until("a write of the first", func() bool { return first.r.snapshots.completedWrites > 0 })
	second := startOne(log2)
	log2.Want(t, "locked=true")
	second.Until("service of the second", second.r.Serving)
	first.Do(first.r.Close)
	log2.Want(t, `msg="snapshots stored again"`)
	second.Until("a write of the second", func() bool { return second.r.snapshots.completedWrites > 0 })
}

// TestSnapshotOfLargeFleetGatheredInPieces gathers every cache over several turns, in the order of their names.
func TestSnapshotOfLargeFleetGatheredInPieces(t *testing.T) {
	starts := make([]int, 3*maxCachesPerTurn+7)
	c := newSnapshotHost(t, starts...)
	c.start()
	c.run(time.Second)
	k := c.r.snapshots
	k.beginGathering()
	turns := 1
	for k.gatherPart() {
		turns++
	}
	var got, want []string
	for _, cache := range k.gathering.Caches {
		got = append(got, cache.ID)
	}
	for _, cache := range c.r.decider.Snapshot(0).Caches {
		want = append(want, cache.ID)
	}
	k.gathering = nil
	if turns != 4 || !reflect.DeepEqual(got, want) || len(got) != len(starts) {
		t.Errorf("%d caches in %d turns", len(got), turns)
	}
}

// TestKeysOfAllCachesGatheredOverWrites gathers the keys of all caches over several writes where one write has no time
// for them.
func TestKeysOfAllCachesGatheredOverWrites(t *testing.T) {
	c := newSnapshotHost(t, make([]int, 10)...)
	c.cfg.SnapshotStore.WriteInterval = time.Second
	c.start()
	c.run(100 * time.Millisecond)
	l := endpointsOnlySnapshot()
	for i := range 10 {
		was, _ := c.r.decider.EndpointSnapshot(fmt.Sprint("c", i))
		for key := range uint64(maxKeysPerWrite / 4) {
			was.CachedKeys = append(was.CachedKeys, key+1)
		}
		l.Caches = append(l.Caches, was)
	}
	c.r.decider.Restore(l)
	c.run(4500 * time.Millisecond) // four writes, of three caches' keys each
	c.start()
	c.run(10 * time.Millisecond)
	for i := range 10 {
		if n := len(c.r.decider.AppendCachedKeys(nil, fmt.Sprint("c", i), 1000)); n == 0 {
			t.Errorf("no keys of c%d are kept", i)
		}
	}
}

// BenchmarkSnapshotGather measures the loop's time for one write, in all its turns, and the longest of them.
func BenchmarkSnapshotGather(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newBenchKeeper(b, n)
			longest := time.Duration(0)
			for b.Loop() {
				begin := time.Now()
				k.beginGathering()
				for more := true; more; {
					more = k.gatherPart()
					now := time.Now()
					longest = max(longest, now.Sub(begin))
					begin = now
				}
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-us")
		})
	}
}

// newBenchKeeper returns the keeper of a router with so many caches, which have 100 keys each.
func newBenchKeeper(b *testing.B, caches int) *snapshotKeeper {
	module, err := decide.New(decide.Settings{Routers: 3, MaxAttempts: 3, Classes: []decide.Class{{Name: "read", LatencyObjective: 1e6}}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &Router{m: sim.New(1).Host("r", "10.0.0.1", sim.HostOptions{}).Machine(), cfg: &Config{}, decider: module,
		endpoints: map[string]*listedEndpoint{}}
	list, l := &decide.EndpointList{Kind: decide.FullUpdate}, endpointsOnlySnapshot()
	for i := range caches {
		e := decide.Endpoint{ID: fmt.Sprintf("s-%08x", i), Zone: "a", Weight: 1}
		list.Endpoints = append(list.Endpoints, e)
		r.endpoints[e.ID] = &listedEndpoint{entry: e}
		was := decide.EndpointSnapshot{ID: e.ID, ConcurrencyLimit: 4, Healthy: true}
		for key := range uint64(100) {
			was.CachedKeys = append(was.CachedKeys, (key+1)*0x9e3779b97f4a7c15+uint64(i))
		}
		l.Caches = append(l.Caches, was)
	}
	module.Handle(1, list)
	module.Restore(l)
	return &snapshotKeeper{router: r, cfg: snapshotstore.Default()}
}

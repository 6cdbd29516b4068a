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

const snapshotFolder = "/state"

// snapshotHost is a virtual host with a snapshot folder and the router that runs on it.
type snapshotHost struct {
	*testing.T
	w       *sim.World
	host    *sim.Host
	cfg     *Config
	r       *Router
	lines   []string
	started bool // whether a router was started on the host
}

// newSnapshotHost returns a host whose router has one cache for each start time, in milliseconds. The caches are named c0, c1
// and so on.
func newSnapshotHost(t *testing.T, starts ...int) *snapshotHost {
	c := &snapshotHost{T: t, w: sim.New(1)}
	c.host = c.w.Host("r", "10.0.0.1", sim.HostOptions{})
	c.host.MakeFolder(snapshotFolder)
	c.host.Logged = func(line string) { c.lines = append(c.lines, line) }
	c.cfg = testConfig(t, "10.0.0.9:1", func(in map[string]any) {
		in["listen"] = "10.0.0.1:7000"
		in["settings"].(map[string]any)["limits"].(map[string]any)["probes"] = true
	}, hostsWithStarts(starts...)...)
	c.cfg.SnapshotStore = snapshotstore.Default()
	c.cfg.SnapshotStore.Folder = snapshotFolder
	c.cfg.SnapshotStore.HalfLife.Limit, c.cfg.SnapshotStore.HalfLife.Retry = 10*time.Second, 10*time.Second
	return c
}

// hostsWithStarts returns the lines of an endpoint list with one cache for each start time, in milliseconds.
func hostsWithStarts(starts ...int) (lines []string) {
	for i, start := range starts {
		line := host(fmt.Sprint("c", i), fmt.Sprintf("10.1.%d.%d:1", i/200, i%200+1), "in_service")
		lines = append(lines, strings.Replace(line, `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, start), 1))
	}
	return lines
}

// start starts the router in a new process on the host.
func (c *snapshotHost) start() {
	c.Helper()
	m := c.host.Machine()
	if c.started {
		m = c.host.Restart()
	}
	c.started, c.lines = true, nil
	cfg := *c.cfg
	var err error
	if c.r, err = Start(m, &cfg); err != nil {
		c.Fatal(err)
	}
	applyKnownList(c.r)
}

func (c *snapshotHost) run(d time.Duration) { c.w.Run(c.w.Now() + d.Microseconds()) }

// markFailing puts the module into the state of having learned that a cache fails.
func (c *snapshotHost) markFailing(id string) {
	c.Helper()
	endpoint, ok := c.r.decider.EndpointSnapshot(id)
	if !ok {
		c.Fatal("the module does not know cache ", id)
	}
	endpoint.ConcurrencyLimit, endpoint.LateRatio, endpoint.ErrorRatio = .25, .5, .5
	endpoint.Healthy, endpoint.FailedHealthChecks, endpoint.Responsive = false, 2, false
	endpoint.CachedKeys = []uint64{1, 2, 3}
	snapshot := endpointsOnlySnapshot()
	snapshot.LostRatio = .25
	snapshot.Caches = append(snapshot.Caches, endpoint)
	c.r.decider.Restore(snapshot)
}

// isMarkedFailing reports whether the module has the state that markFailing set for a cache.
func (c *snapshotHost) isMarkedFailing(id string) bool {
	endpoint, ok := c.r.decider.EndpointSnapshot(id)
	return ok && endpoint.ConcurrencyLimit < .5 && !endpoint.Healthy && !endpoint.Responsive && endpoint.LateRatio > .4 &&
		c.cachedKeys(id) == 3
}

// cachedKeys returns how many keys the module knows to be cached at a cache, up to 9.
func (c *snapshotHost) cachedKeys(id string) int {
	return len(decide.SortKeys(c.r.decider.AppendCachedKeys(nil, id, 9), 9))
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

// wantLogged checks how many log lines contain a text.
func (c *snapshotHost) wantLogged(text string, n int) {
	c.Helper()
	if got := c.logged(text); got != n {
		c.Errorf("%q was logged %d times, want %d; log:\n%s", text, got, n, strings.Join(c.lines, "\n"))
	}
}

// newHostWithFailingCache returns a host whose router learned that c1 fails, wrote a snapshot and was killed.
func newHostWithFailingCache(t *testing.T, starts ...int) *snapshotHost {
	c := newSnapshotHost(t, starts...)
	c.start()
	c.run(100 * time.Millisecond)
	c.markFailing("c1")
	c.run(2100 * time.Millisecond)
	c.host.Kill()
	return c
}

const longAgo = 1_000_000_000 // a start time in ms, long before the simulated time begins

func TestSnapshotRestoredAfterKill(t *testing.T) {
	c := newHostWithFailingCache(t, 0, longAgo, 0)
	c.start()
	if c.r.Serving() {
		t.Error("router reports that it serves before it has read its snapshot")
	}
	c.run(10 * time.Millisecond)
	if !c.r.Serving() || !c.isMarkedFailing("c1") || c.isMarkedFailing("c0") {
		t.Errorf("got serving %v, c1 failing %v, c0 failing %v, want true, true, false; log:\n%s",
			c.r.Serving(), c.isMarkedFailing("c1"), c.isMarkedFailing("c0"), strings.Join(c.lines, "\n"))
	}
	if lost := c.r.decider.SharedSnapshot().LostRatio; lost < .2 {
		t.Errorf("got ratio of lost attempts %v, want at least 0.2", lost)
	}
	c.wantLogged(`msg="snapshot restored" caches=3 age=`, 1)
}

// TestSnapshotNotRestoredForRestartedCache lists a cache under the same name with another start time: the snapshot describes the
// previous process and must not be restored.
func TestSnapshotNotRestoredForRestartedCache(t *testing.T) {
	c := newHostWithFailingCache(t, 0, longAgo, 0)
	c.cfg.LastKnown = parse(t, hosts(1, true, hostsWithStarts(0, int((sim.Start)/1000)+1000, 0)...))
	c.start()
	c.run(10 * time.Millisecond)
	if endpoint, _ := c.r.decider.EndpointSnapshot("c1"); endpoint.ConcurrencyLimit < 1 || !endpoint.Healthy || c.cachedKeys("c1") > 0 {
		t.Errorf("restarted cache has restored state %+v, want the initial state", endpoint)
	}
}

// TestSnapshotRestoredForCachesListedLater checks that the snapshot of a cache is restored when a list first names the cache, also
// if an older list named it with an earlier start time.
func TestSnapshotRestoredForCachesListedLater(t *testing.T) {
	for _, known := range [][]string{hostsWithStarts(0), hostsWithStarts(0, longAgo-5)} {
		c := newHostWithFailingCache(t, 0, longAgo, 0)
		c.cfg.LastKnown = parse(t, hosts(1, true, known...))
		c.start()
		c.run(10 * time.Millisecond)
		if c.isMarkedFailing("c1") {
			t.Error("c1 was restored before a list named its current process")
		}
		c.w.At(c.w.Now(), func() {
			c.r.sources.ApplyDiscovery(parse(t, hosts(2, true, hostsWithStarts(0, longAgo, 0)...)))
			c.r.ProcessEvents()
		})
		c.run(10 * time.Millisecond)
		if !c.isMarkedFailing("c1") {
			t.Errorf("c1 was not restored with its list; known list: %v", known)
		}
	}
}

// TestSnapshotDecaysWhileDown checks that restored values decay with the time that the router was down, and that a snapshot that
// is too old is not restored.
func TestSnapshotDecaysWhileDown(t *testing.T) {
	c := newHostWithFailingCache(t, 0, longAgo, 0)
	c.run(time.Minute)
	c.start()
	c.run(10 * time.Millisecond)
	if endpoint, _ := c.r.decider.EndpointSnapshot("c1"); !endpoint.Healthy || endpoint.ConcurrencyLimit < 2 {
		t.Errorf("got %+v after a minute, want a healthy cache with a concurrency limit of at least 2", endpoint)
	}
	c.host.Kill()
	c.run(10 * time.Minute)
	c.start()
	c.run(10 * time.Millisecond)
	c.wantLogged("too old: ", 1)
}

// TestHealthNotRestoredWithoutHealthChecks disables health checks before a restart. Failed health checks must not be restored then,
// because no later health check would clear them.
func TestHealthNotRestoredWithoutHealthChecks(t *testing.T) {
	c := newHostWithFailingCache(t, 0, longAgo, 0)
	c.cfg.Settings.AllowHealthChecks = false
	c.start()
	c.run(10 * time.Millisecond)
	if endpoint, _ := c.r.decider.EndpointSnapshot("c1"); !endpoint.Healthy || endpoint.ConcurrencyLimit > .5 {
		t.Errorf("got %+v, want a healthy cache with the restored concurrency limit", endpoint)
	}
}

// TestSlowDiskDelaysServingUpToTimeout checks that a router with a slow disk serves at the read timeout. A snapshot that is read
// later is restored for caches that received no request.
func TestSlowDiskDelaysServingUpToTimeout(t *testing.T) {
	c := newHostWithFailingCache(t, 0, longAgo, 0)
	c.host.SlowDisk(5 * sim.Second)
	c.start()
	c.run(snapshotReadTimeout*time.Microsecond - time.Millisecond)
	if c.r.Serving() {
		t.Error("router serves before its snapshot was read and before the timeout")
	}
	c.run(2 * time.Millisecond)
	if !c.r.Serving() {
		t.Error("router does not serve at the timeout")
	}
	c.run(5 * time.Second)
	c.wantLogged("snapshot not read in time", 1)
	if endpoint, _ := c.r.decider.EndpointSnapshot("c1"); endpoint.ConcurrencyLimit > .9 {
		t.Errorf("got %+v, want the restored concurrency limit", endpoint)
	}
	c.run(30 * time.Second)
	c.wantLogged("snapshot disk is slow", 1)
}

// TestFailingDiskLoggedOnce checks that the router logs one line when the disk fails and one when the disk works again.
func TestFailingDiskLoggedOnce(t *testing.T) {
	for name, failure := range map[string]struct{ begin, end func(h *sim.Host) }{
		"full":      {func(h *sim.Host) { h.FailDisk(sim.ErrFull) }, func(h *sim.Host) { h.FailDisk(nil) }},
		"read-only": {func(h *sim.Host) { h.FailDisk(fs.ErrPermission) }, func(h *sim.Host) { h.FailDisk(nil) }},
		"removed":   {func(h *sim.Host) { h.RemoveFolder(snapshotFolder) }, func(h *sim.Host) { h.MakeFolder(snapshotFolder) }},
	} {
		c := newSnapshotHost(t, 0, 0)
		c.start()
		c.run(5 * time.Second)
		before := c.logged(`msg="snapshot`)
		failure.begin(c.host)
		c.run(time.Minute)
		if n := c.logged(`msg="snapshot`) - before; n != 1 {
			t.Errorf("%s: %d lines were logged, want 1; log:\n%s", name, n, strings.Join(c.lines, "\n"))
		}
		c.wantLogged(`msg="snapshots not stored"`, 1)
		failure.end(c.host)
		c.run(5 * time.Second)
		c.wantLogged(`msg="snapshots stored again"`, 1)
		c.start()
		c.run(10 * time.Millisecond)
		c.wantLogged(`msg="snapshot restored"`, 1)
	}
}

// TestSnapshotWriteInterval checks that the router writes snapshots no more often than the configured interval.
func TestSnapshotWriteInterval(t *testing.T) {
	c := newSnapshotHost(t, 0, 0)
	c.cfg.SnapshotStore.WriteInterval = 7 * time.Second
	c.start()
	c.run(69 * time.Second)
	if n := c.r.snapshots.completedWrites; n != 9 {
		t.Errorf("got %d writes in 69 s, want 9", n)
	}
}

// TestDrainWritesFinalSnapshot checks that a drain ends with a snapshot write and waits no longer than the timeout for it.
func TestDrainWritesFinalSnapshot(t *testing.T) {
	for _, slow := range []sim.Time{0, 10 * sim.Second} {
		c := newSnapshotHost(t, 0, longAgo)
		c.cfg.SnapshotStore.WriteInterval = time.Hour
		c.cfg.SnapshotStore.MaxAge = time.Hour
		c.start()
		c.run(time.Second)
		c.markFailing("c1")
		c.host.SlowDisk(slow)
		endedAt := sim.Time(0)
		beganAt := c.w.Now()
		c.w.At(beganAt, func() { c.r.Drain(func() { endedAt = c.w.Now() }) })
		c.run(time.Second)
		if took := endedAt - beganAt; endedAt == 0 || took > drainAcceptGrace+finalWriteTimeout+1000 {
			t.Errorf("drain took %d us, want at most %d", took, drainAcceptGrace+finalWriteTimeout+1000)
		}
		c.host.Kill()
		c.start()
		c.run(10 * time.Millisecond)
		if slow == 0 && !c.isMarkedFailing("c1") {
			t.Error("state at the end of the drain was not restored")
		}
	}
}

// TestReloadMovesSnapshotFolder reloads with another snapshot folder, and then without one.
func TestReloadMovesSnapshotFolder(t *testing.T) {
	c := newSnapshotHost(t, 0, longAgo)
	c.start()
	c.run(100 * time.Millisecond)
	c.markFailing("c1")
	c.host.MakeFolder("/other")
	moved := *c.cfg
	moved.SnapshotStore.Folder = "/other"
	c.w.At(c.w.Now(), func() { c.r.Reload(&moved) })
	c.run(100 * time.Millisecond)
	c.wantLogged(`msg="snapshot folder changed" folder=/other`, 1)
	if !c.r.Serving() || len(c.host.Files("/other")) != 2 {
		t.Errorf("got serving %v and files %v in the new folder, want true and 2 files", c.r.Serving(), c.host.Files("/other"))
	}
	off := moved
	off.SnapshotStore.Folder = ""
	c.w.At(c.w.Now(), func() { c.r.Reload(&off) })
	c.run(10 * time.Millisecond)
	steps := c.host.DiskSteps()
	c.run(10 * time.Second)
	c.wantLogged(`msg="snapshots switched off"`, 1)
	if c.host.DiskSteps() != steps {
		t.Error("router uses the disk after snapshots were switched off")
	}
	c.cfg.SnapshotStore.Folder = "/other"
	c.start()
	c.run(10 * time.Millisecond)
	if endpoint, _ := c.r.decider.EndpointSnapshot("c1"); endpoint.ConcurrencyLimit > 2 {
		t.Errorf("got %+v from the new folder, want the restored concurrency limit", endpoint)
	}
}

// TestNoSnapshotFolderNoDiskWork checks that a router without a snapshot folder serves at once and does not use the disk.
func TestNoSnapshotFolderNoDiskWork(t *testing.T) {
	c := newSnapshotHost(t, 0, 0)
	c.cfg.SnapshotStore = snapshotstore.Default()
	c.start()
	if !c.r.Serving() {
		t.Error("router does not serve at once")
	}
	c.run(10 * time.Second)
	if c.host.DiskSteps() != 0 || c.logged("state") != 0 {
		t.Errorf("got %d disk steps, want 0, and no log line about state; log: %q", c.host.DiskSteps(), c.lines)
	}
}

// TestSnapshotFolderLockedByOneRouter starts two routers on one folder. The second router logs that the folder is locked, serves,
// and writes to the folder once the first router has stopped.
func TestSnapshotFolderLockedByOneRouter(t *testing.T) {
	dir := t.TempDir()
	startOne := func(log routertest.Lines) *runningRouter {
		cfg := testConfig(t, routertest.SilentDiscovery(t), nil, host("c1", "127.0.0.1:1", "in_service"))
		cfg.SnapshotStore.Folder, cfg.SnapshotStore.WriteInterval = dir, 50*time.Millisecond
		return start(t, cfg, log, nil)
	}
	log1, log2 := make(routertest.Lines, 1000), make(routertest.Lines, 1000)
	first := startOne(log1)
	first.Until("write by the first router", func() bool { return first.r.snapshots.completedWrites > 0 })
	second := startOne(log2)
	log2.Want(t, "locked=true")
	second.Until("serving second router", second.r.Serving)
	first.Do(first.r.Close)
	log2.Want(t, `msg="snapshots stored again"`)
	second.Until("write by the second router", func() bool { return second.r.snapshots.completedWrites > 0 })
}

// TestSnapshotOfLargeFleetGatheredInPieces checks that a snapshot of a large fleet contains all caches, ordered by name, and is
// gathered over several turns.
func TestSnapshotOfLargeFleetGatheredInPieces(t *testing.T) {
	starts := make([]int, 3*maxCachesPerTurn+7)
	c := newSnapshotHost(t, starts...)
	c.start()
	c.run(time.Second)
	keeper := c.r.snapshots
	keeper.beginGathering()
	turns := 1
	for keeper.gatherPart() {
		turns++
	}
	var got, want []string
	for _, cache := range keeper.gathering.Caches {
		got = append(got, cache.ID)
	}
	for _, cache := range c.r.decider.Snapshot(0).Caches {
		want = append(want, cache.ID)
	}
	keeper.gathering = nil
	if turns != 4 || !reflect.DeepEqual(got, want) || len(got) != len(starts) {
		t.Errorf("gathered %d caches in %d turns, want all %d by name in 4", len(got), turns, len(starts))
	}
}

// TestKeysOfAllCachesGatheredOverWrites checks that the keys of all caches are gathered over several writes if one write cannot
// scan all of them.
func TestKeysOfAllCachesGatheredOverWrites(t *testing.T) {
	c := newSnapshotHost(t, make([]int, 10)...)
	c.cfg.SnapshotStore.WriteInterval = time.Second
	c.start()
	c.run(100 * time.Millisecond)
	snapshot := endpointsOnlySnapshot()
	for i := range 10 {
		endpoint, _ := c.r.decider.EndpointSnapshot(fmt.Sprint("c", i))
		for key := range uint64(maxKeysPerWrite / 4) {
			endpoint.CachedKeys = append(endpoint.CachedKeys, key+1)
		}
		snapshot.Caches = append(snapshot.Caches, endpoint)
	}
	c.r.decider.Restore(snapshot)
	c.run(4500 * time.Millisecond) // four writes with the keys of three caches each
	c.start()
	c.run(10 * time.Millisecond)
	for i := range 10 {
		if n := len(c.r.decider.AppendCachedKeys(nil, fmt.Sprint("c", i), 1000)); n == 0 {
			t.Errorf("no keys of c%d were restored", i)
		}
	}
}

// BenchmarkSnapshotGather measures the event loop time of one snapshot write over all its turns, and the longest turn.
func BenchmarkSnapshotGather(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			keeper := newBenchKeeper(b, n)
			longest := time.Duration(0)
			for b.Loop() {
				begin := time.Now()
				keeper.beginGathering()
				for more := true; more; {
					more = keeper.gatherPart()
					now := time.Now()
					longest = max(longest, now.Sub(begin))
					begin = now
				}
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-us")
		})
	}
}

// newBenchKeeper returns the snapshot keeper of a router with a number of caches, which have 100 keys each.
func newBenchKeeper(b *testing.B, caches int) *snapshotKeeper {
	module, err := decide.New(decide.Settings{Routers: 3, MaxAttempts: 3, Classes: []decide.Class{{Name: "read", LatencyObjective: 1e6}}}, 1)
	if err != nil {
		b.Fatal(err)
	}
	r := &Router{m: sim.New(1).Host("r", "10.0.0.1", sim.HostOptions{}).Machine(), cfg: &Config{}, decider: module,
		endpoints: map[string]*listedEndpoint{}}
	list, snapshot := &decide.EndpointList{Kind: decide.FullUpdate}, endpointsOnlySnapshot()
	for i := range caches {
		e := decide.Endpoint{ID: fmt.Sprintf("s-%08x", i), Zone: "a", Weight: 1}
		list.Endpoints = append(list.Endpoints, e)
		r.endpoints[e.ID] = &listedEndpoint{entry: e}
		endpoint := decide.EndpointSnapshot{ID: e.ID, ConcurrencyLimit: 4, Healthy: true}
		for key := range uint64(100) {
			endpoint.CachedKeys = append(endpoint.CachedKeys, (key+1)*0x9e3779b97f4a7c15+uint64(i))
		}
		snapshot.Caches = append(snapshot.Caches, endpoint)
	}
	module.Handle(1, list)
	module.Restore(snapshot)
	return &snapshotKeeper{router: r, cfg: snapshotstore.Default()}
}

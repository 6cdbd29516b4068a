package registry

import (
	"fmt"
	"strings"
	"testing"

	"starlingwinch/internal/testbench/sim"
)

func TestHashCode(t *testing.T) {
	for _, c := range []struct{ statuses, want string }{
		{"", ""},
		{"UP", "UP_1_"},
		{"UP UP OUT_OF_SERVICE", "OUT_OF_SERVICE_1_UP_2_"},
		{"UP DOWN STARTING UNKNOWN DOWN UP OUT_OF_SERVICE UP", "DOWN_2_OUT_OF_SERVICE_1_STARTING_1_UNKNOWN_1_UP_3_"},
	} {
		var all []Instance
		for _, s := range strings.Fields(c.statuses) {
			all = append(all, Instance{Status: s})
		}
		if got := HashCode(all); got != c.want {
			t.Errorf("%s: %s, want %s", c.statuses, got, c.want)
		}
	}
}

func TestRenewedLeaseLastsTwiceItsDuration(t *testing.T) {
	f := newField(t, Options{NoPreservation: true, EvictEvery: Second})
	f.register("never", "once")
	f.after(Second)
	f.renew("once")
	f.after(88 * Second)
	f.shows("/apps", "never UP, once UP", "UP_2_")
	f.after(3 * Second)
	f.shows("/apps", "once UP", "UP_1_")
	f.after(87 * Second)
	f.shows("/apps", "once UP", "UP_1_")
	f.after(4 * Second)
	f.shows("/apps", "", "")
	if got := strings.Join(f.marks[2:], ", "); got != "never DELETED, once DELETED" {
		t.Errorf("marks: %s", got)
	}
}

func TestEvictionInParts(t *testing.T) {
	f := newField(t, Options{NoPreservation: true, EvictEvery: 100 * Second})
	for i := range 20 {
		f.register(fmt.Sprintf("i%02d", i))
	}
	for _, left := range []int{20, 17, 14, 11} { // 85 in 100 stay, rounded down
		if n := len(f.r.State()); n != left {
			t.Errorf("at %d s %d are left, want %d", f.world.Now()/Second%1000, n, left)
		}
		f.after(100 * Second)
	}
}

func TestSelfPreservation(t *testing.T) {
	f := newField(t, Options{})
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("i", i))
	}
	f.register(ids...)
	f.after(Second)
	for range 10 { // eight in ten renew, which is less than 85 in 100
		f.renew(ids[:8]...)
		f.after(30 * Second)
	}
	if n := len(f.r.State()); n != 10 || !f.r.Preserves() {
		t.Errorf("%d are left, preserves %t", n, f.r.Preserves())
	}
	for range 10 { // nine in ten
		f.renew(ids[:9]...)
		f.after(30 * Second)
	}
	if n := len(f.r.State()); n != 9 || f.r.Preserves() {
		t.Errorf("%d are left, preserves %t", n, f.r.Preserves())
	}
}

func TestOverrideGoesBeforeOwnStatus(t *testing.T) {
	f := newField(t, Options{})
	f.register("a", "b")
	f.does(200, "PUT", "/apps/LOG-CACHE/a/status?value=OUT_OF_SERVICE", "")
	f.shows("/apps", "a OUT_OF_SERVICE, b UP", "OUT_OF_SERVICE_1_UP_1_")
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"99999999999999",`))
	f.does(200, "PUT", "/apps/LOG-CACHE/a?status=UP", "")
	f.shows("/apps", "a OUT_OF_SERVICE, b UP", "OUT_OF_SERVICE_1_UP_1_")
	f.does(200, "DELETE", "/apps/LOG-CACHE/a/status?value=UP", "")
	f.shows("/apps", "a UP, b UP", "UP_2_")
	f.does(200, "DELETE", "/apps/LOG-CACHE/a/status?value=DOWN", "") // there is none any more
	f.shows("/apps", "a UP, b UP", "UP_2_")

	f.does(200, "PUT", "/apps/LOG-CACHE/a/status?value=OUT_OF_SERVICE", "")
	f.does(200, "DELETE", "/apps/LOG-CACHE/a/status", "") // without a word on what it is now
	f.shows("/apps", "a UNKNOWN, b UP", "UNKNOWN_1_UP_1_")
	f.does(404, "PUT", "/apps/LOG-CACHE/a", "")
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"99999999999999",`))
	f.shows("/apps", "a UP, b UP", "UP_2_")

	f.does(400, "PUT", "/apps/LOG-CACHE/a/status?value=ASLEEP", "")
	f.does(404, "PUT", "/apps/LOG-CACHE/c/status?value=UP", "")
	f.does(404, "DELETE", "/apps/LOG-CACHE/c/status", "")
}

func TestOwnStatusDownGoesBeforeOverride(t *testing.T) {
	f := newField(t, Options{})
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"5",`))
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"6","status":"DOWN",`))
	f.shows("/apps", "a DOWN", "DOWN_1_")
	f.does(204, "POST", "/apps/LOG-CACHE", body("a", `"lastDirtyTimestamp":"5","status":"UP",`)) // late
	f.shows("/apps", "a DOWN", "DOWN_1_")
	f.does(404, "PUT", "/apps/LOG-CACHE/a?lastDirtyTimestamp=7", "") // it has changed since
	f.does(200, "PUT", "/apps/LOG-CACHE/a?lastDirtyTimestamp=6", "")
	f.does(200, "PUT", "/apps/LOG-CACHE/a?lastDirtyTimestamp=5", "")
}

func TestDeltaHoldsRecentChangesAndHashOfList(t *testing.T) {
	f := newField(t, Options{})
	f.register("old")
	f.after(215 * Second) // the lease goes on: too few renewals come
	f.shows("/apps/delta", "", "UP_1_")
	f.register("a", "b", "c")
	f.does(200, "PUT", "/apps/LOG-CACHE/a/status?value=OUT_OF_SERVICE", "")
	f.does(200, "DELETE", "/apps/LOG-CACHE/b", "")
	f.shows("/apps/delta", "c UP ADDED, a OUT_OF_SERVICE MODIFIED, b UP DELETED", "OUT_OF_SERVICE_1_UP_2_")
	f.after(170 * Second)
	f.shows("/apps/delta", "c UP ADDED, a OUT_OF_SERVICE MODIFIED, b UP DELETED", "OUT_OF_SERVICE_1_UP_2_")
	f.after(45 * Second)
	f.shows("/apps/delta", "", "OUT_OF_SERVICE_1_UP_2_")
}

func TestResponseCacheLags(t *testing.T) {
	f := newField(t, Options{CacheTime: 30 * Second})
	f.after(Second)
	f.register("a")
	f.shows("/apps", "", "")
	f.shows("/apps/delta", "", "")
	f.does(404, "GET", "/apps/LOG-CACHE", "")
	f.does(200, "GET", "/apps/LOG-CACHE/a", "") // not from the cache
	if len(f.marks) != 0 {
		t.Errorf("marks: %v", f.marks)
	}
	f.after(30 * Second)
	f.shows("/apps", "a UP", "UP_1_")
	f.shows("/apps/delta", "a UP ADDED", "UP_1_")
	if strings.Join(f.marks, ", ") != "a UP" {
		t.Errorf("marks: %v", f.marks)
	}
}

func TestReplicasConverge(t *testing.T) {
	world := sim.New(1)
	a := newReplica(t, world, 1, Options{ReplicaDelay: 5 * Second})
	b := newReplica(t, world, 2, Options{ReplicaDelay: 5 * Second})
	Join(a.r, b.r)
	a.register("x", "y")
	a.does(200, "PUT", "/apps/LOG-CACHE/x/status?value=OUT_OF_SERVICE", "")
	b.shows("/apps", "", "")
	a.after(6 * Second)
	b.shows("/apps", "x OUT_OF_SERVICE, y UP", "OUT_OF_SERVICE_1_UP_1_")
	b.does(200, "DELETE", "/apps/LOG-CACHE/x/status?value=UP", "")
	a.shows("/apps", "x OUT_OF_SERVICE, y UP", "OUT_OF_SERVICE_1_UP_1_")
	b.does(200, "DELETE", "/apps/LOG-CACHE/y", "")
	a.after(6 * Second)
	a.shows("/apps", "x UP", "UP_1_")

	b.r.Empty()
	b.shows("/apps", "", "")
	a.does(200, "PUT", "/apps/LOG-CACHE/x", "") // a renewal brings it back
	a.after(6 * Second)
	b.shows("/apps", "x UP", "UP_1_")
	a.does(204, "POST", "/apps/LOG-CACHE", body("z", ""), "Content-Type", "application/json",
		"x-netflix-discovery-replication", "true") // another server tells the others itself
	a.after(6 * Second)
	b.shows("/apps", "x UP", "UP_1_")
}

func TestClosedReplicaIsLeftOut(t *testing.T) {
	world := sim.New(1)
	a, b := newReplica(t, world, 1, Options{ReplicaDelay: Second}), newReplica(t, world, 2, Options{})
	Join(a.r, b.r)
	a.register("x")
	b.r.Close()
	b.host.Kill()
	a.after(2 * Second)
	a.register("y")
	a.after(2 * Second)
	a.shows("/apps", "x UP, y UP", "UP_2_")
	if n := len(b.r.State()); n != 0 {
		t.Errorf("%d came to a closed registry", n)
	}
}

func TestDeltaQueueIsBounded(t *testing.T) {
	f := newField(t, Options{MaxInstances: 2})
	f.register("a", "b")
	for i := range 100 {
		f.r.SetStatus("a", []string{OutOfService, Up}[i%2])
	}
	if n := len(f.r.deltaQueue); n > 2*maxChangesPerInstance {
		t.Errorf("%d changes are kept", n)
	}
	f.shows("/apps/delta", "a UP MODIFIED", "UP_2_")
}

func TestStateChangedWithoutCalls(t *testing.T) {
	f := newField(t, Options{})
	in := Instance{ID: "a", App: "log-cache", HostName: "h", IPAddr: "10.9.0.1", Port: 1, PortOn: true}
	if err := f.r.Register(in); err != nil {
		t.Fatal(err)
	}
	if f.r.Register(Instance{ID: "a"}) == nil || f.r.Cancel("b") == nil || f.r.Renew("b") == nil ||
		f.r.SetStatus("b", Up) == nil || f.r.SetStatus("a", "ASLEEP") == nil {
		t.Error("what is wrong is let pass")
	}
	if err := f.r.SetStatus("a", OutOfService); err != nil {
		t.Error(err)
	}
	f.shows("/apps", "a OUT_OF_SERVICE", "OUT_OF_SERVICE_1_")
	if err := f.r.Cancel("a"); err != nil || len(f.r.State()) != 0 {
		t.Errorf("cancel: %v, %v", err, f.r.State())
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	run := func() (uint64, string) {
		f := newField(t, Options{NoPreservation: true, EvictEvery: 20 * Second, CacheTime: 3 * Second})
		for i := range 20 {
			f.register(fmt.Sprint("i", i))
		}
		f.after(150 * Second)
		f.does(200, "GET", "/apps", "", "Accept-Encoding", "gzip")
		f.does(400, "POST", "/apps/LOG-CACHE", body("a", `"metadata":{"c":[1],"a":[2],"b":[3]},`))
		return f.world.TraceHash(), strings.Join(f.marks, ",")
	}
	hash, marks := run()
	if !strings.Contains(marks, Deleted) || strings.Count(marks, Deleted) == 20 {
		t.Fatalf("no lot was drawn: %s", marks)
	}
	for range 3 {
		if h, m := run(); h != hash || m != marks {
			t.Errorf("%x with %s, %x with %s", hash, marks, h, m)
		}
	}
}

func TestClosedRegistryHoldsNothing(t *testing.T) {
	f := newField(t, Options{CacheTime: Second})
	f.register("a")
	f.r.Close()
	f.after(Second)
	if got := f.call("GET", "/apps", ""); got.err == nil {
		t.Error("it still answers")
	}
	if n := f.host.Pending(); n != 0 {
		t.Errorf("%d timers are left", n)
	}
}

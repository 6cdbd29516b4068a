package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingwinch/decide"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/snapshotstore"
)

// stateFile writes a snapshot that is as old as age.
func stateFile(t *testing.T, path, router string, age time.Duration) {
	t.Helper()
	at := time.Now().Add(-age).UnixMicro()
	s := snapshot.Snapshot{At: at, Router: decide.Snapshot{OriginLimit: 12, Zones: []decide.ZoneSnapshot{{Name: "surat", FailedConnections: 3}}},
		Caches: []snapshot.Endpoint{{At: at, KeysAt: at, EndpointSnapshot: decide.EndpointSnapshot{ID: "s-1", ConcurrencyLimit: 4.5, FailedHealthChecks: 2,
			CachedKeys: []uint64{1, 2}}}}}
	b, err := snapshotstore.Encode(snapshotstore.File{Written: at, Router: router, Sections: snapshot.Encode(s)})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestStateShowPrintsAges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state.1")
	written := time.Now()
	stateFile(t, path, "n0", time.Hour)
	code, out, errs := outcome(t, "state", "show", path)
	oldest := (time.Hour + time.Since(written)).Round(time.Second)
	if code != 0 || errs != "" {
		t.Fatalf("ended with %d: %s", code, errs)
	}
	for _, want := range []string{"written by \"n0\" at ", "zone surat", "s-1", "unhealthy, 2 failed", "4.5"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not shown:\n%s", want, out)
		}
	}
	ages := regexp.MustCompile(`(\d\S*) ago`).FindAllStringSubmatch(out, -1)
	if len(ages) == 0 {
		t.Errorf("no age is shown:\n%s", out)
	}
	for _, match := range ages {
		if age, err := time.ParseDuration(match[1]); err != nil || age < time.Hour || age > oldest {
			t.Errorf("shown as %s ago (%v), want %v to %v", match[1], err, time.Hour, oldest)
		}
	}
	os.Truncate(path, 100)
	if code, _, errs := outcome(t, "state", "show", path); code != exitFailure || !strings.Contains(errs, "torn: 100 bytes of") {
		t.Errorf("a torn file: %d, %q", code, errs)
	}
}

func TestStateVerify(t *testing.T) {
	dir := t.TempDir()
	if code, out, _ := outcome(t, "state", "verify", dir); code != 0 || !strings.Contains(out, "the folder holds no snapshot") {
		t.Errorf("an empty folder: %d, %q", code, out)
	}
	stateFile(t, filepath.Join(dir, "state.1"), "n0", 0)
	os.WriteFile(filepath.Join(dir, "set-aside.1"), []byte("bad"), 0o600)
	if code, out, errs := outcome(t, "state", "verify", dir); code != 0 || !strings.Contains(out, "not a state") {
		t.Errorf("a bad file that was set aside: %d, %q, %q", code, out, errs)
	}
	os.Symlink("/etc/passwd", filepath.Join(dir, "state.2"))
	code, out, errs := outcome(t, "state", "verify", dir)
	if code != exitFailure || !strings.Contains(out, "not a regular file") || !strings.Contains(errs, "1 of 2 files") {
		t.Errorf("a link: %d, %q, %q", code, out, errs)
	}
	if code, _, errs := outcome(t, "state", "verify", dir+"/none"); code != exitFailure || errs == "" {
		t.Errorf("no folder: %d, %q", code, errs)
	}
	if code, _, errs := outcome(t, "state", "verify"); code != exitUsage || !strings.Contains(errs, "one FOLDER is required") {
		t.Errorf("no argument: %d, %q", code, errs)
	}
}

// waitStored waits until the folder has two generations of snapshots, and one that is valid holds the cache of the
// configuration. A router that starts writes snapshots without caches until it has its endpoint list.
func waitStored(t *testing.T, folder string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		info, err := os.Stat(filepath.Join(folder, "state.2"))
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		for _, row := range snapshotstore.Verify(machine.Files(), folder, time.Now().UnixMicro()) {
			holdsCache := slices.ContainsFunc(row.Snapshot.Caches, func(c snapshot.Endpoint) bool { return c.ID == "c1" })
			if row.InUse && row.Rejected == nil && holdsCache {
				return
			}
		}
	}
	t.Fatal("no snapshot with the cache of the configuration is written to ", folder)
}

// TestSnapshotsSurviveKillAndReload checks that a router restores its snapshot after SIGKILL, and writes to a new folder
// after SIGHUP. In the folder stand a file of 1 GiB and a symbolic link to /dev/zero under the snapshots' names, which the
// router sets aside, and 100,000 other files, which it ignores.
func TestSnapshotsSurviveKillAndReload(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	config := file(t, "config.json", fmt.Sprintf(config, "127.0.0.1:0"))
	toml := filepath.Join(t.TempDir(), "state.toml")
	setFolder := func(folder string) {
		text := fmt.Sprintf("kind = \"state\"\nfolder = %q\nevery = \"50ms\"\n", folder)
		if err := os.WriteFile(toml, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	setFolder(dir)
	for i := range 100_000 {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprint("other.", i)), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "state.1"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(dir, "state.1"), 1<<30); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/dev/zero", filepath.Join(dir, "state.2")); err != nil {
		t.Fatal(err)
	}
	s := start(t, command(t, "run", "--config", config, "--operator", toml))
	s.wait(t, "state.1 is not used: too large: more than 16777216 bytes; set aside as set-aside.1")
	s.wait(t, "state.2 is not used: not a regular file; set aside as set-aside.2")
	waitStored(t, dir)
	s.cmd.Process.Kill()
	s.cmd.Wait()
	s = start(t, command(t, "run", "--config", config, "--operator", toml))
	s.wait(t, `msg="snapshot restored" caches=1 age=`)
	setFolder(other)
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.wait(t, `msg="snapshot folder changed" folder=`+other)
	waitStored(t, other)
	s.end(t)
	if code, _, errs := outcome(t, "state", "verify", other); code != 0 {
		t.Errorf("after a drain: %s", errs)
	}
}

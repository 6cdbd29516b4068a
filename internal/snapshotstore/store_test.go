package snapshotstore

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"reflect"
	"strings"
	"testing"

	"starlingwinch/internal/machine"
	"starlingwinch/internal/snapshot"
	"starlingwinch/internal/testbench/sim"
)

func pathOf(name string) string { return folder + "/" + name }

// TestWriteKeepsTwoGenerations checks that the folder holds two generations after many writes, and that either of them is
// sufficient for a start.
func TestWriteKeepsTwoGenerations(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(startTime)
	for n := 1; n <= 10; n++ {
		d.mustWrite(stateOf(n), stateOf(n).At)
	}
	want := []string{pathOf("lock"), pathOf("state.1"), pathOf("state.2")}
	if files := d.h.Files(folder); !reflect.DeepEqual(files, want) {
		t.Errorf("got files %v, want %v", files, want)
	}
	for i := 1; i <= 2; i++ {
		removed, _ := d.h.File(pathOf(slots[i-1]))
		d.h.RemoveFile(pathOf(slots[i-1]))
		d.restart()
		if got, ok := d.mustOpen(stateOf(11).At); !ok || got.Router.OriginLimit < 9 {
			t.Errorf("without %s: got %v, %v, want one of the last two states", slots[i-1], got.Router, ok)
		}
		d.h.PutFile(pathOf(slots[i-1]), removed)
	}
}

// TestOpenSetsAsideRejectedFiles checks that each rejected file is noted and set aside unchanged, and that the other generation
// is used.
func TestOpenSetsAsideRejectedFiles(t *testing.T) {
	good := encodeFile(t, router, stateOf(1), stateOf(1).At)
	flipped := bytes.Clone(good)
	flipped[70] ^= 4
	for _, c := range []struct {
		name string
		bad  []byte
		want string
	}{
		{"torn", good[:len(good)-1], "torn"},
		{"corrupt", flipped, "corrupt"},
		{"text", []byte("hello"), "not a state"},
		{"empty", nil, "torn"},
		{"other router", encodeFile(t, "r-2", stateOf(1), startTime), "other router"},
		{"future", encodeFile(t, router, stateOf(1), startTime+3600*second), "from the future"},
		{"old", encodeFile(t, router, stateOf(1), startTime-maxAge-second), "too old"},
		{"older", fileOfVersion(t, 0), "older version"},
		{"large", make([]byte, MaxFileBytes+1), "too large"},
	} {
		d := newHarness(t)
		d.h.PutFile(pathOf("state.1"), c.bad)
		d.h.PutFile(pathOf("state.2"), good)
		got, ok, notes, err := d.open(startTime + 2*second)
		if err != nil || !ok || !reflect.DeepEqual(got, stateOf(1)) {
			t.Errorf("%s: got %+v, %v, error %v, want the state of the other generation", c.name, got, ok, err)
		}
		if len(notes) != 1 || !strings.HasPrefix(notes[0], "state.1 is not used: "+c.want) ||
			!strings.HasSuffix(notes[0], "; set aside as set-aside.1") {
			t.Errorf("%s: got notes %q, want one with the reason %q", c.name, notes, c.want)
		}
		if aside, there := d.h.File(pathOf("set-aside.1")); !there || !bytes.Equal(aside, c.bad) {
			t.Errorf("%s: the file was not set aside unchanged", c.name)
		}
		d.mustWrite(stateOf(3), stateOf(3).At)
	}
}

// TestOpenSetsAsideIrregularAndUnreadableFiles checks an irregular file, such as a link or folder, and a file without read access.
func TestOpenSetsAsideIrregularAndUnreadableFiles(t *testing.T) {
	d := newHarness(t)
	d.h.PutOdd(pathOf("state.1"))
	d.h.FailFile(pathOf("state.2"), fs.ErrPermission)
	_, ok, notes, err := d.open(startTime)
	want := []string{"state.1 is not used: not a regular file; set aside as set-aside.1",
		"state.2 is not used: unreadable: permission denied; set aside as set-aside.2"}
	if ok || err != nil || !reflect.DeepEqual(notes, want) {
		t.Errorf("got %v, error %v, notes %q, want no state and notes %q", ok, err, notes, want)
	}
	d.mustWrite(stateOf(1), stateOf(1).At)
}

// TestOpenBoundsFilesSetAside checks that at most maxSetAside files are set aside, and that only the last one is replaced.
func TestOpenBoundsFilesSetAside(t *testing.T) {
	d := newHarness(t)
	for n := range 30 {
		d.h.PutFile(pathOf("state.1"), fmt.Append(nil, "bad ", n))
		d.restart()
		if _, _, notes, err := d.open(startTime); err != nil || len(notes) != 1 {
			t.Fatalf("got error %v, notes %q, want one note", err, notes)
		}
	}
	if files := d.h.Files(folder); len(files) != 1+maxSetAside {
		t.Errorf("got files %v, want the lock and %d set aside", files, maxSetAside)
	}
	first, _ := d.h.File(pathOf("set-aside.1"))
	last, _ := d.h.File(pathOf(setAsideName(maxSetAside - 1)))
	if string(first) != "bad 0" || string(last) != "bad 29" {
		t.Errorf("got %q first and %q last, want bad 0 and bad 29", first, last)
	}
}

// TestOpenLeavesFilesOfNewerVersion checks that files of a newer version stay unchanged, that states are written to the other
// slots, and that a folder without a free slot is an error.
func TestOpenLeavesFilesOfNewerVersion(t *testing.T) {
	newer := fileOfVersion(t, 2)
	for _, newerSlots := range [][]string{{"state.1"}, {"state.1", "state.2"}, {"state.1", "state.2", "state.3"}} {
		d := newHarness(t)
		for _, slot := range newerSlots {
			d.h.PutFile(pathOf(slot), newer)
		}
		_, ok, notes, err := d.open(startTime)
		if ok || err != nil || len(notes) != len(newerSlots) || !strings.HasSuffix(notes[0], "knows 1; it stays") {
			t.Fatalf("beside %v: got %v, error %v, notes %q, want a note on each file", newerSlots, ok, err, notes)
		}
		for n := 1; n <= 5; n++ {
			d.mustWrite(stateOf(n), stateOf(n).At)
		}
		for _, slot := range newerSlots {
			if b, _ := d.h.File(pathOf(slot)); !bytes.Equal(b, newer) {
				t.Errorf("the file %s of a newer version was changed", slot)
			}
		}
		d.restart()
		if got, ok, _, err := d.open(stateOf(6).At); err != nil || !ok || !reflect.DeepEqual(got, stateOf(5)) {
			t.Errorf("beside %v: got %+v, %v, error %v, want the last state", newerSlots, got, ok, err)
		}
	}
	d := newHarness(t)
	for _, slot := range slots {
		d.h.PutFile(pathOf(slot), newer)
	}
	if _, _, _, err := d.open(startTime); err == nil || d.s.Locked() {
		t.Errorf("without a free slot: got error %v, locked %v, want an error and no lock", err, d.s.Locked())
	}
}

// TestOpenLocksFolder checks that a second store can neither open nor write until the first store is closed.
func TestOpenLocksFolder(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(startTime)
	d.mustWrite(stateOf(1), stateOf(1).At)
	other := New(folder, router)
	openOther := func() (ok bool, err error) {
		d.do(func(disk machine.Disk) { _, ok, _, err = other.Open(disk, startTime+second, maxAge) })
		return
	}
	if _, err := openOther(); !errors.Is(err, machine.ErrLocked) {
		t.Fatalf("second store: got error %v, want ErrLocked", err)
	}
	d.do(func(disk machine.Disk) {
		if err := other.Write(disk, stateOf(2), startTime, maxAge); err == nil {
			t.Error("write of the second store: got no error")
		}
	})
	d.do(func(machine.Disk) { d.s.Close() })
	if ok, err := openOther(); err != nil || !ok {
		t.Errorf("second store after the first was closed: got %v, error %v, want a state", ok, err)
	}
}

// TestWriteNeedsLock checks that Write fails after the lock file was removed, because another process may have created a new
// lock.
func TestWriteNeedsLock(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(startTime)
	d.h.RemoveFile(pathOf("lock"))
	if err := d.write(stateOf(1), startTime); err == nil || d.s.Locked() {
		t.Errorf("write without the lock file: got error %v, locked %v, want an error and no lock", err, d.s.Locked())
	}
	d.mustOpen(startTime)
	d.mustWrite(stateOf(2), startTime)
}

// TestWriteAfterDiskError checks that a failed write returns the cause, and that the next write succeeds.
func TestWriteAfterDiskError(t *testing.T) {
	for _, cause := range []error{sim.ErrFull, fs.ErrPermission, errors.New("input/output error")} {
		d := newHarness(t)
		d.mustOpen(startTime)
		d.mustWrite(stateOf(1), stateOf(1).At)
		d.h.FailDisk(cause)
		if err := d.write(stateOf(2), stateOf(2).At); !errors.Is(err, cause) {
			t.Errorf("write: got error %v, want %v", err, cause)
		}
		d.h.FailDisk(nil)
		d.mustWrite(stateOf(3), stateOf(3).At)
		d.restart()
		if got, ok := d.mustOpen(stateOf(4).At); !ok || !reflect.DeepEqual(got, stateOf(3)) {
			t.Errorf("after %v: got %+v, %v, want the state of the next write", cause, got, ok)
		}
	}
}

// TestFolderRemovedAndRecreated checks that a removed folder is an error, and that the store uses the recreated folder.
func TestFolderRemovedAndRecreated(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(startTime)
	d.h.RemoveFolder(folder)
	if err := d.write(stateOf(1), startTime); err == nil {
		t.Error("write to a removed folder: got no error")
	}
	if _, _, _, err := d.open(startTime); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("open of a removed folder: got error %v, want ErrNotExist", err)
	}
	d.h.MakeFolder(folder)
	d.mustOpen(startTime)
	d.mustWrite(stateOf(1), startTime)
}

// TestStoreLeavesOtherFiles checks that the store does not remove files with other names.
func TestStoreLeavesOtherFiles(t *testing.T) {
	d := newHarness(t)
	for n := range 1000 {
		d.h.PutFile(pathOf(fmt.Sprint("other.", n)), []byte("x"))
	}
	d.mustOpen(startTime)
	d.mustWrite(stateOf(1), startTime)
	if n := len(d.h.Files(folder)); n != 1002 {
		t.Errorf("got %d files, want 1002", n)
	}
}

// TestVerifyReportsEachFile checks a valid file, a corrupt file, and a file from the future that was set aside.
func TestVerifyReportsEachFile(t *testing.T) {
	d := newHarness(t)
	d.h.PutFile(pathOf("state.1"), encodeFile(t, router, stateOf(1), startTime))
	d.h.PutFile(pathOf("state.2"), []byte("bad"))
	d.h.PutFile(pathOf("set-aside.3"), encodeFile(t, router, stateOf(1), startTime+100*second))
	var got []string
	d.do(func(disk machine.Disk) {
		for _, r := range Verify(disk, folder, startTime) {
			verdict := "valid"
			if r.Rejected != nil {
				verdict = r.Rejected.Reason.String()
			}
			got = append(got, fmt.Sprint(r.Name, " ", r.InUse, " ", verdict))
		}
	})
	want := []string{"state.1 true valid", "state.2 true not a state", "set-aside.3 false from the future"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		keys := min(64, benchmarkKeys/n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := largeState(n, keys)
			size := 0
			for b.Loop() {
				size = len(encodeFile(b, router, s, startTime))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// benchmarkKeys is the approximate number of keys in the state of a router.
const benchmarkKeys = 8000

func BenchmarkRead(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := encodeFile(b, router, largeState(n, min(64, benchmarkKeys/n)), startTime)
			for b.Loop() {
				f, err := Decode(raw)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := snapshot.Decode(f.Sections); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

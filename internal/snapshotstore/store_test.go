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

func at(name string) string { return folder + "/" + name }

// TestWriteKeepsTwoGenerations checks that the folder never holds more files, and that each of the two alone is enough.
func TestWriteKeepsTwoGenerations(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(now0)
	for n := 1; n <= 10; n++ {
		d.mustWrite(stateOf(n), stateOf(n).At)
	}
	want := []string{at("lock"), at("state.1"), at("state.2")}
	if files := d.h.Files(folder); !reflect.DeepEqual(files, want) {
		t.Errorf("files %v", files)
	}
	for i := 1; i <= 2; i++ { // each of the two alone is enough
		kept, _ := d.h.File(at(slots[i-1]))
		d.h.RemoveFile(at(slots[i-1]))
		d.restart()
		if got, ok := d.mustOpen(stateOf(11).At); !ok || got.Router.OriginLimit < 9 {
			t.Errorf("without %s: %v, %v", slots[i-1], ok, got.Router)
		}
		d.h.PutFile(at(slots[i-1]), kept)
	}
}

// TestOpenSetsAsideRejectedFiles checks that each file that does not fit is noted and set aside unchanged, and that the other
// generation is used.
func TestOpenSetsAsideRejectedFiles(t *testing.T) {
	good := encoded(t, router, stateOf(1), stateOf(1).At)
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
		{"other router", encoded(t, "r-2", stateOf(1), now0), "other router"},
		{"future", encoded(t, router, stateOf(1), now0+3600*second), "from the future"},
		{"old", encoded(t, router, stateOf(1), now0-oldest-second), "too old"},
		{"older", ofVersion(t, 0), "older version"},
		{"large", make([]byte, MaxFileBytes+1), "too large"},
	} {
		d := newHarness(t)
		d.h.PutFile(at("state.1"), c.bad)
		d.h.PutFile(at("state.2"), good)
		got, ok, notes, err := d.open(now0 + 2*second)
		if err != nil || !ok || !reflect.DeepEqual(got, stateOf(1)) {
			t.Errorf("%s: %v, %v, %+v", c.name, err, ok, got)
		}
		if len(notes) != 1 || !strings.HasPrefix(notes[0], "state.1 is not used: "+c.want) ||
			!strings.HasSuffix(notes[0], "; set aside as set-aside.1") {
			t.Errorf("%s: told %q", c.name, notes)
		}
		if aside, there := d.h.File(at("set-aside.1")); !there || !bytes.Equal(aside, c.bad) {
			t.Errorf("%s: it is not kept aside", c.name)
		}
		d.mustWrite(stateOf(3), stateOf(3).At)
	}
}

// TestOpenSetsAsideIrregularAndUnreadableFiles checks a link or folder, and a file without access.
func TestOpenSetsAsideIrregularAndUnreadableFiles(t *testing.T) {
	d := newHarness(t)
	d.h.PutOdd(at("state.1"))
	d.h.FailFile(at("state.2"), fs.ErrPermission)
	_, ok, notes, err := d.open(now0)
	want := []string{"state.1 is not used: not a regular file; set aside as set-aside.1",
		"state.2 is not used: unreadable: permission denied; set aside as set-aside.2"}
	if ok || err != nil || !reflect.DeepEqual(notes, want) {
		t.Errorf("%v, %v, %q", ok, err, notes)
	}
	d.mustWrite(stateOf(1), stateOf(1).At)
}

// TestOpenBoundsFilesSetAside checks that there are never more than maxSetAside, and that the first ones stay.
func TestOpenBoundsFilesSetAside(t *testing.T) {
	d := newHarness(t)
	for n := range 30 {
		d.h.PutFile(at("state.1"), fmt.Append(nil, "bad ", n))
		d.restart()
		if _, _, notes, err := d.open(now0); err != nil || len(notes) != 1 {
			t.Fatalf("%v, %q", err, notes)
		}
	}
	if files := d.h.Files(folder); len(files) != 1+maxSetAside {
		t.Errorf("files %v", files)
	}
	first, _ := d.h.File(at("set-aside.1"))
	last, _ := d.h.File(at(setAsideName(maxSetAside - 1)))
	if string(first) != "bad 0" || string(last) != "bad 29" {
		t.Errorf("the first is %q, the last %q", first, last)
	}
}

// TestOpenLeavesFilesOfNewerVersion checks that they stay, that states are written beside them, and that a folder without a
// free slot is an error.
func TestOpenLeavesFilesOfNewerVersion(t *testing.T) {
	newer := ofVersion(t, 2)
	for _, places := range [][]string{{"state.1"}, {"state.1", "state.2"}, {"state.1", "state.2", "state.3"}} {
		d := newHarness(t)
		for _, slot := range places {
			d.h.PutFile(at(slot), newer)
		}
		_, ok, notes, err := d.open(now0)
		if ok || err != nil || len(notes) != len(places) || !strings.HasSuffix(notes[0], "knows 1; it stays") {
			t.Fatalf("%v, %v, %q", ok, err, notes)
		}
		for n := 1; n <= 5; n++ {
			d.mustWrite(stateOf(n), stateOf(n).At)
		}
		for _, slot := range places {
			if b, _ := d.h.File(at(slot)); !bytes.Equal(b, newer) {
				t.Errorf("%s has changed", slot)
			}
		}
		d.restart()
		if got, ok, _, err := d.open(stateOf(6).At); err != nil || !ok || !reflect.DeepEqual(got, stateOf(5)) {
			t.Errorf("beside %v: %v, %v, %+v", places, ok, err, got)
		}
	}
	d := newHarness(t)
	for _, slot := range slots {
		d.h.PutFile(at(slot), newer)
	}
	if _, _, _, err := d.open(now0); err == nil || d.s.Locked() {
		t.Errorf("with no place left: %v", err)
	}
}

// TestOpenLocksFolder checks that a second store can neither open nor write, until the first has closed.
func TestOpenLocksFolder(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(now0)
	d.mustWrite(stateOf(1), stateOf(1).At)
	other := New(folder, router)
	try := func() (ok bool, err error) {
		d.do(func(disk machine.Disk) { _, ok, _, err = other.Open(disk, now0+second, oldest) })
		return
	}
	if _, err := try(); !errors.Is(err, machine.ErrLocked) {
		t.Fatalf("the second one: %v", err)
	}
	d.do(func(disk machine.Disk) {
		if err := other.Write(disk, stateOf(2), now0, oldest); err == nil {
			t.Error("the second one writes")
		}
	})
	d.do(func(machine.Disk) { d.s.Close() })
	if ok, err := try(); err != nil || !ok {
		t.Errorf("after the first one's end: %v, %v", ok, err)
	}
}

// TestWriteNeedsLock checks that a lock that was removed is not relied on: another process may have locked the folder anew.
func TestWriteNeedsLock(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(now0)
	d.h.RemoveFile(at("lock"))
	if err := d.write(stateOf(1), now0); err == nil || d.s.Locked() {
		t.Errorf("written without a lock: %v", err)
	}
	d.mustOpen(now0)
	d.mustWrite(stateOf(2), now0)
}

// TestWriteAfterDiskError checks that a failed write is reported and loses nothing, and that the next one succeeds.
func TestWriteAfterDiskError(t *testing.T) {
	for _, cause := range []error{sim.ErrFull, fs.ErrPermission, errors.New("input/output error")} {
		d := newHarness(t)
		d.mustOpen(now0)
		d.mustWrite(stateOf(1), stateOf(1).At)
		d.h.FailDisk(cause)
		if err := d.write(stateOf(2), stateOf(2).At); !errors.Is(err, cause) {
			t.Errorf("%v: the write gave %v", cause, err)
		}
		d.h.FailDisk(nil)
		d.mustWrite(stateOf(3), stateOf(3).At)
		d.restart()
		if got, ok := d.mustOpen(stateOf(4).At); !ok || !reflect.DeepEqual(got, stateOf(3)) {
			t.Errorf("%v: found %v", cause, got)
		}
	}
}

// TestFolderRemovedAndMadeAgain checks that a removed folder is an error and is used again once it is back.
func TestFolderRemovedAndMadeAgain(t *testing.T) {
	d := newHarness(t)
	d.mustOpen(now0)
	d.h.RemoveFolder(folder)
	if err := d.write(stateOf(1), now0); err == nil {
		t.Error("written to a folder that is gone")
	}
	if _, _, _, err := d.open(now0); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("opened: %v", err)
	}
	d.h.MakeFolder(folder)
	d.mustOpen(now0)
	d.mustWrite(stateOf(1), now0)
}

// TestStoreLeavesOtherFiles checks that files of other names stay.
func TestStoreLeavesOtherFiles(t *testing.T) {
	d := newHarness(t)
	for n := range 1000 {
		d.h.PutFile(at(fmt.Sprint("other.", n)), []byte("x"))
	}
	d.mustOpen(now0)
	d.mustWrite(stateOf(1), now0)
	if n := len(d.h.Files(folder)); n != 1002 {
		t.Errorf("%d files", n)
	}
}

// TestVerifyReportsEachFile checks sound, broken and future files, in use or set aside.
func TestVerifyReportsEachFile(t *testing.T) {
	d := newHarness(t)
	d.h.PutFile(at("state.1"), encoded(t, router, stateOf(1), now0))
	d.h.PutFile(at("state.2"), []byte("bad"))
	d.h.PutFile(at("set-aside.3"), encoded(t, router, stateOf(1), now0+100*second))
	var got []string
	d.do(func(disk machine.Disk) {
		for _, r := range Verify(disk, folder, now0) {
			verdict := "sound"
			if r.Rejected != nil {
				verdict = r.Rejected.Reason.String()
			}
			got = append(got, fmt.Sprint(r.Name, " ", r.InUse, " ", verdict))
		}
	})
	want := []string{"state.1 true sound", "state.2 true not a state", "set-aside.3 false from the future"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %q", got)
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		keys := min(64, stateKeys/n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := largeState(n, keys)
			size := 0
			for b.Loop() {
				size = len(encoded(b, router, s, now0))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// stateKeys is about what a router tells at a time.
const stateKeys = 8000

func BenchmarkRead(b *testing.B) {
	for _, n := range []int{14, 200, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			raw := encoded(b, router, largeState(n, min(64, stateKeys/n)), now0)
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

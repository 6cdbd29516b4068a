package snapshotstore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"starlingwinch/internal/snapshot"
)

// TestDecodeReadsEncodedFile checks that a state is read as it was written.
func TestDecodeReadsEncodedFile(t *testing.T) {
	want := largeState(30, 5)
	f, err := Decode(encoded(t, router, want, now0))
	if err != nil {
		t.Fatal(err)
	}
	got, err := snapshot.Decode(f.Sections)
	if err != nil || !reflect.DeepEqual(got, want) || f.Written != now0 || f.Router != router {
		t.Errorf("%v: %+v of %s at %d", err, got, f.Router, f.Written)
	}
}

// TestDecodeRejectsTruncatedFile cuts a file at each byte, and adds one.
func TestDecodeRejectsTruncatedFile(t *testing.T) {
	whole := encoded(t, router, stateOf(1), now0)
	for n := range whole {
		_, err := Decode(whole[:n])
		var r *RejectedError
		if !errors.As(err, &r) || r.Reason != Truncated {
			t.Errorf("cut at %d of %d: %v", n, len(whole), err)
		}
	}
	if _, err := Decode(append(bytes.Clone(whole), 0)); err == nil {
		t.Error("a byte too many is taken")
	}
}

// TestDecodeRejectsFlippedBit flips each bit of a file. None makes it pass for one of another version.
func TestDecodeRejectsFlippedBit(t *testing.T) {
	whole := encoded(t, router, stateOf(1), now0)
	for i := range 8 * len(whole) {
		bad := bytes.Clone(whole)
		bad[i/8] ^= 1 << (i % 8)
		_, err := Decode(bad)
		var r *RejectedError
		if !errors.As(err, &r) {
			t.Fatalf("bit %d of byte %d flipped: %v", i%8, i/8, err)
		}
		if r.Reason == NewerVersion || r.Reason == OlderVersion {
			t.Errorf("bit %d of byte %d flipped: taken for a file of a %v", i%8, i/8, r.Reason)
		}
	}
}

// ofVersion is a sound file of another version.
func ofVersion(t *testing.T, version uint16) []byte {
	b := encoded(t, router, stateOf(1), now0)
	binary.BigEndian.PutUint16(b[8:], version)
	body := b[:len(b)-checksumBytes]
	sum := sha256.Sum256(body)
	return append(body, sum[:]...)
}

// TestDecodeNamesOtherVersions checks sound files of older and newer versions, in which only the fixed places mean the same.
func TestDecodeNamesOtherVersions(t *testing.T) {
	for version, want := range map[uint16]Reason{0: OlderVersion, 2: NewerVersion, 65535: NewerVersion} {
		_, err := Decode(ofVersion(t, version))
		var r *RejectedError
		if !errors.As(err, &r) || r.Reason != want {
			t.Errorf("version %d: %v, want %v", version, err, want)
		}
	}
}

// TestDecodeSkipsUnknownSections checks that a section of an unknown kind does not keep the others from being read.
func TestDecodeSkipsUnknownSections(t *testing.T) {
	want := stateOf(3)
	sections := append([]snapshot.Section{{Kind: 900, Body: []byte("new")}}, snapshot.Encode(want)...)
	b, err := Encode(File{Written: now0, Router: router, Sections: sections})
	if err != nil {
		t.Fatal(err)
	}
	f, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := snapshot.Decode(f.Sections); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v: %+v", err, got)
	}
}

// TestFitsChecksRouterAndAge checks files of other routers, from the future and from long ago.
func TestFitsChecksRouterAndAge(t *testing.T) {
	f := File{Written: now0, Router: router}
	const hour, year = 3600 * second, 365 * 24 * 3600 * second
	for _, c := range []struct {
		name string
		now  Time
		want string
	}{
		{router, now0, ""}, {router, now0 + oldest, ""}, {router, now0 - second, ""},
		{router, now0 - hour, "from the future: by 1h0m0s"},
		{router, now0 + year, "too old: 365 days, at most 5m0s"},
		{router, now0 + oldest + 1, "too old: 5m0s, at most 5m0s"},
		{"r-2", now0, `other router: "r-1", this one is "r-2"`},
	} {
		got := ""
		if r := f.Fits(c.name, c.now, oldest); r != nil {
			got = r.Error()
		}
		if got != c.want {
			t.Errorf("%s at %d: %q, want %q", c.name, c.now-now0, got, c.want)
		}
	}
}

// FuzzDecode checks that any bytes are rejected or read, and that what is read is what would be written.
func FuzzDecode(f *testing.F) {
	whole := encoded(f, router, stateOf(1), now0)
	f.Add(whole)
	f.Add(whole[:20])
	f.Add([]byte{})
	f.Add(encoded(f, "", snapshot.Snapshot{}, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := Decode(b)
		if err != nil {
			var r *RejectedError
			if !errors.As(err, &r) {
				t.Fatalf("refused by %T", err)
			}
			// Behind the checksum stands the parser of the body: it must hold without it too.
			file, err = decodeBody(b)
			if err != nil {
				return
			}
		}
		again, err := Encode(file)
		if err != nil {
			t.Fatalf("what was taken can't be written: %v", err)
		}
		body := again[:len(again)-checksumBytes]
		if !bytes.HasSuffix(body, b[min(len(b), headBytes):min(len(b), len(body))]) {
			t.Fatalf("what was taken is written differently: %v", err)
		}
	})
}

// FuzzSections checks that any sections are rejected or read, and that what is read can be written.
func FuzzSections(f *testing.F) {
	for _, s := range snapshot.Encode(stateOf(1)) {
		f.Add(s.Kind, s.Body, s.Body)
	}
	f.Add(uint16(snapshot.KindKeys), []byte{0, 0, 0, 1}, []byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, kind uint16, a, b []byte) {
		for _, caches := range [][]byte{a, nil} {
			sections := []snapshot.Section{{Kind: kind, Body: b}}
			if caches != nil && kind != snapshot.KindCaches {
				sections = append(sections, snapshot.Section{Kind: snapshot.KindCaches, Body: caches})
			}
			s, err := snapshot.Decode(sections)
			if err != nil {
				continue
			}
			again, err := snapshot.Decode(snapshot.Encode(s))
			if err != nil || len(again.Caches) != len(s.Caches) {
				t.Fatalf("%v: what was taken can't be written: %+v", err, s)
			}
		}
	})
}

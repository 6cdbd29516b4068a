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

// TestDecodeReadsEncodedFile checks that decoding an encoded state returns the same state.
func TestDecodeReadsEncodedFile(t *testing.T) {
	want := largeState(30, 5)
	f, err := Decode(encodeFile(t, router, want, startTime))
	if err != nil {
		t.Fatal(err)
	}
	got, err := snapshot.Decode(f.Sections)
	if err != nil || !reflect.DeepEqual(got, want) || f.Written != startTime || f.Router != router {
		t.Errorf("got error %v, %+v of router %s at %d, want %+v of router %s at %d", err, got, f.Router, f.Written, want, router, startTime)
	}
}

// TestDecodeRejectsTruncatedFile checks a file truncated at each byte, and a file with an additional byte.
func TestDecodeRejectsTruncatedFile(t *testing.T) {
	whole := encodeFile(t, router, stateOf(1), startTime)
	for n := range whole {
		_, err := Decode(whole[:n])
		var r *RejectedError
		if !errors.As(err, &r) || r.Reason != Truncated {
			t.Errorf("truncated to %d of %d bytes: got error %v, want Truncated", n, len(whole), err)
		}
	}
	if _, err := Decode(append(bytes.Clone(whole), 0)); err == nil {
		t.Error("a file with an additional byte: got no error")
	}
}

// TestDecodeRejectsFlippedBit checks that a file with any single flipped bit is rejected, and not as a file of another version.
func TestDecodeRejectsFlippedBit(t *testing.T) {
	whole := encodeFile(t, router, stateOf(1), startTime)
	for i := range 8 * len(whole) {
		bad := bytes.Clone(whole)
		bad[i/8] ^= 1 << (i % 8)
		_, err := Decode(bad)
		var r *RejectedError
		if !errors.As(err, &r) {
			t.Fatalf("bit %d of byte %d flipped: got error %v, want a RejectedError", i%8, i/8, err)
		}
		if r.Reason == NewerVersion || r.Reason == OlderVersion {
			t.Errorf("bit %d of byte %d flipped: got reason %v, want no version mismatch", i%8, i/8, r.Reason)
		}
	}
}

// fileOfVersion returns a valid file with another version.
func fileOfVersion(t *testing.T, version uint16) []byte {
	b := encodeFile(t, router, stateOf(1), startTime)
	binary.BigEndian.PutUint16(b[8:], version)
	body := b[:len(b)-checksumBytes]
	sum := sha256.Sum256(body)
	return append(body, sum[:]...)
}

// TestDecodeRejectsOtherVersions checks the reasons for rejecting valid files of older and newer versions.
func TestDecodeRejectsOtherVersions(t *testing.T) {
	for version, want := range map[uint16]Reason{0: OlderVersion, 2: NewerVersion, 65535: NewerVersion} {
		_, err := Decode(fileOfVersion(t, version))
		var r *RejectedError
		if !errors.As(err, &r) || r.Reason != want {
			t.Errorf("version %d: got error %v, want %v", version, err, want)
		}
	}
}

// TestDecodeSkipsUnknownSections checks that the other sections are decoded if a section has an unknown kind.
func TestDecodeSkipsUnknownSections(t *testing.T) {
	want := stateOf(3)
	sections := append([]snapshot.Section{{Kind: 900, Body: []byte("new")}}, snapshot.Encode(want)...)
	b, err := Encode(File{Written: startTime, Router: router, Sections: sections})
	if err != nil {
		t.Fatal(err)
	}
	f, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := snapshot.Decode(f.Sections); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got error %v, %+v, want %+v", err, got, want)
	}
}

// TestValidateChecksRouterAndAge checks files of another router, from the future, and beyond the maximum age.
func TestValidateChecksRouterAndAge(t *testing.T) {
	f := File{Written: startTime, Router: router}
	const hour, year = 3600 * second, 365 * 24 * 3600 * second
	for _, c := range []struct {
		name string
		now  Time
		want string
	}{
		{router, startTime, ""}, {router, startTime + maxAge, ""}, {router, startTime - second, ""},
		{router, startTime - hour, "from the future: by 1h0m0s"},
		{router, startTime + year, "too old: 365 days, at most 5m0s"},
		{router, startTime + maxAge + 1, "too old: 5m0s, at most 5m0s"},
		{"r-2", startTime, `other router: "r-1", this one is "r-2"`},
	} {
		got := ""
		if r := f.Validate(c.name, c.now, maxAge); r != nil {
			got = r.Error()
		}
		if got != c.want {
			t.Errorf("router %s at %d: got %q, want %q", c.name, c.now-startTime, got, c.want)
		}
	}
}

// FuzzDecode checks that any input is either rejected with a *RejectedError or decoded, and that encoding a decoded file
// reproduces the input.
func FuzzDecode(f *testing.F) {
	whole := encodeFile(f, router, stateOf(1), startTime)
	f.Add(whole)
	f.Add(whole[:20])
	f.Add([]byte{})
	f.Add(encodeFile(f, "", snapshot.Snapshot{}, 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, err := Decode(b)
		if err != nil {
			var r *RejectedError
			if !errors.As(err, &r) {
				t.Fatalf("got an error of type %T, want *RejectedError", err)
			}
			// The checksum hides the decoder of the body from most inputs, so that decoder is also tested directly.
			file, err = decodeBody(b)
			if err != nil {
				return
			}
		}
		again, err := Encode(file)
		if err != nil {
			t.Fatalf("encoding the decoded file: %v", err)
		}
		body := again[:len(again)-checksumBytes]
		if !bytes.HasSuffix(body, b[min(len(b), headerBytes):min(len(b), len(body))]) {
			t.Fatalf("encoding the decoded file: got %x, want %x", body, b)
		}
	})
}

// FuzzSections checks that any sections are rejected or decoded, and that a decoded snapshot can be encoded and decoded again.
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
				t.Fatalf("decoding again: got error %v and %d caches, want %d: %+v", err, len(again.Caches), len(s.Caches), s)
			}
		}
	})
}
